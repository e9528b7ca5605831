/* Rendezvous (highest random weight) hashing of databases onto hosts. */
#ifndef CAROBWIND_RENDEZVOUS_H
#define CAROBWIND_RENDEZVOUS_H

#include <stdint.h>

/* The weight of `host` for `database`; the highest weight comes first. */
uint64_t CbwRendezvous_Weight(const char *database, const char *host);

#endif
