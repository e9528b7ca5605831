/* Clients that write and read without pause, one operation after the other. */
#ifndef REVIEW_LOAD_H
#define REVIEW_LOAD_H

#include "world.h"

typedef struct {
    char id[64];
    char item[64];
    char data[64];
    char code[32]; /* "": success */
    ms_t sent_at;
    ms_t answered_at; /* 0: no answer yet */
} attempt_t;

extern attempt_t attempts[200000]; /* of writes */
extern int attempt_count;
extern int reads_done, reads_failed;

/* Starts a client of the route `database`, which pauses `pause` ms between
 * operations. It writes, or reads unless `writes`. After an error or a close
 * it goes on at another host. */
void load_client(const char *database, bool writes, ms_t pause);
/* Clients start no more operations. */
void load_stop(void);

/* The configuration with three routes, `pay` (primary), `own`
 * (read_your_writes) and `look` (bounded_staleness), to the service. */
const char *load_configuration(int sync_replicas);
/* Whether TROUBLE=0 is not set. */
bool load_has_trouble(void);

#endif
