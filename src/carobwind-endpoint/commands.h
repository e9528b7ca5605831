/* The commands that clients send to the endpoint stand-in. */
#ifndef CAROBWIND_ENDPOINT_COMMANDS_H
#define CAROBWIND_ENDPOINT_COMMANDS_H

#include "server.h"

/* A connection from a host or from a replica. */
typedef struct {
    cbw_link_t link;
    cbw_resp_t resp;
    server_t *server;
    bool replication;     /* from a replica: carries PULL commands */
    bool counted;         /* towards the connection limit; not for a replica */
    bool closed;          /* freed once it has no calls */
    GString *transaction; /* its statements, one per line; NULL: none */
    int call_count;       /* calls that refer to this client */
    cbw_time_t usable_at; /* not used */
    ev_timer opening_timer; /* delays the first command */
} client_t;

/* A command that has not been answered yet. */
typedef struct {
    cbw_link_t link;
    client_t *client;
    gchar **words;
    int count;
    cbw_time_t due_at; /* end of the network delay or of the long poll */
    uint64_t position; /* long poll: answered once the log reaches it */
    ev_timer service_timer;
} client_call_t;

typedef struct {
    const char *name;
    int words;       /* including the name; 0: any number */
    bool needs_slot; /* takes the service time in a slot; else immediate */
    void (*handle)(client_call_t *call);
} command_t;

/* Returns the command with the name and the number of words of `call`, or NULL
 * when there is none. */
const command_t *Commands_Find(const client_call_t *call);
/* Parses the word at `index` of `call` as a number. */
uint64_t Commands_ParseNumber(const client_call_t *call, int index);
/* Answers a STATE or PULL call that was waiting for a log position. */
void Commands_AnswerLongPoll(client_call_t *call);

#endif
