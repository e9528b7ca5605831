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
    bool closed;
    GString *transaction; /* statements of the open one; NULL: none */
    int call_count;       /* work items that point here */
    cbw_time_t usable_at;
    ev_timer opening_timer;
} client_t;

/* A message on its way through the stand-in. */
typedef struct {
    cbw_link_t link;
    client_t *client;
    gchar **words;
    int count;
    cbw_time_t due_at;
    uint64_t position; /* parked: answered once it is reached */
    ev_timer service_timer;
} client_call_t;

typedef struct {
    const char *name;
    int words;       /* with the name */
    bool needs_slot; /* else handled at once */
    void (*handle)(client_call_t *work);
} command_t;

/* The command of a message, or NULL when there is none with that name and
 * number of words. */
const command_t *Commands_Find(const client_call_t *work);
/* The number that stands at `index` of the message. */
uint64_t Commands_ParseNumber(const client_call_t *work, int index);
/* Answers a state call or a pull that was parked. */
void Commands_AnswerLongPoll(client_call_t *work);

#endif
