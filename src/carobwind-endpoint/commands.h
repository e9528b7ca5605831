/* The commands of the endpoint stand-in. */
#ifndef CAROBWIND_ENDPOINT_COMMANDS_H
#define CAROBWIND_ENDPOINT_COMMANDS_H

#include "server.h"

typedef struct {
    cbw_link_t link;
    cbw_resp_t resp;
    server_t *server;
    bool replication; /* does not count towards the allowance */
    bool counted;
    bool gone;
    GString *transaction; /* statements of the open one; NULL: none */
    int work_count;       /* work items that point here */
    cbw_time_t usable_at;
    ev_timer opening;
} client_t;

/* A message on its way through the stand-in. */
typedef struct {
    cbw_link_t link;
    client_t *client;
    gchar **words;
    int count;
    cbw_time_t due;
    uint64_t position; /* parked: answered once it is reached */
    ev_timer service;
} work_t;

typedef struct {
    const char *name;
    int words;       /* with the name */
    bool needs_slot; /* else handled at once */
    void (*handle)(work_t *work);
} command_t;

/* The command of a message, or NULL when there is none with that name and
 * number of words. */
const command_t *Commands_Find(const work_t *work);
/* The number that stands at `index` of the message. */
uint64_t Commands_Number(const work_t *work, int index);
/* Answers a state call or a pull that was parked. */
void Commands_AnswerParked(work_t *work);

#endif
