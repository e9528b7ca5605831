/* The story of one request, or of one database, from the logs of many hosts.
 */
#ifndef CAROBWINDCTL_INCIDENT_H
#define CAROBWINDCTL_INCIDENT_H

/* Prints, in the order of time, the lines of `files` that tell what became of
 * `subject`: a request's id, or a database. Of a request these are its own
 * lines and what was decided about its database, the store and the members in
 * the seconds before. Returns an exit code of sysexits. */
int Incident_Print(const char *subject, const char *const *files,
                   int file_count);

#endif
