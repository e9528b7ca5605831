/* Rendezvous (highest random weight) hashing of databases onto hosts. */
#ifndef CAROBWIND_RENDEZVOUS_H
#define CAROBWIND_RENDEZVOUS_H

#include <stdint.h>

/* Returns the weight of `host` for `database`. The host of the highest weight
 * is the first choice, that of the next one its successor. */
uint64_t CbwRendezvous_Weight(const char *database, const char *host);

#endif
