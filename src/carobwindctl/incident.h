/* The timeline of one request or database, from the log files of several
 * hosts. */
#ifndef CAROBWINDCTL_INCIDENT_H
#define CAROBWINDCTL_INCIDENT_H

/* Prints the lines of `files` about `subject`, sorted by time. `subject` is
 * the id of a request or the name of a database. For a request these are the
 * lines that name it, and the decisions about its database, the store, the
 * configuration and the daemons from shortly before to shortly after it. For a
 * database these are the decisions of its owners. Returns an exit code of
 * sysexits.h. */
int Incident_Print(const char *subject, const char *const *files,
                   int file_count);

#endif
