/* A listening socket with a limit on the number of accepted connections. At
 * the limit, or without descriptors or memory for another connection, it stops
 * watching the socket until a connection ends or a short delay has passed,
 * instead of waking up for connections that it cannot accept. */
#ifndef CAROBWIND_SHARE_ACCEPTOR_H
#define CAROBWIND_SHARE_ACCEPTOR_H

#include <ev.h>

#include "carobwind/error.h"
#include "carobwind/types.h"

typedef struct {
    /* Takes ownership of an accepted socket. CbwAcceptor_Release must be
     * called when the connection ends. */
    void (*on_accept)(void *context, int fd, const char *ip);
    /* Closes a connection to make room for a new one. Returns false when none
     * may be closed. NULL: never. */
    bool (*make_room)(void *context);
    /* Accepting is paused: new connections stay in the listen queue. May be
     * NULL. */
    void (*on_pause)(void *context);
} cbw_acceptor_ops_t;

typedef struct {
    struct ev_loop *loop;
    const cbw_acceptor_ops_t *ops;
    void *context;
    ev_io watcher;
    ev_timer retry; /* active while paused */
    size_t count;   /* accepted connections that have not ended */
    size_t limit;
    bool paused;
    bool closed;
} cbw_acceptor_t;

/* Listens on `address`. Returns 0, or -1 with `error` set. */
int CbwAcceptor_Start(cbw_acceptor_t *acceptor, struct ev_loop *loop,
                      const char *address, size_t limit,
                      const cbw_acceptor_ops_t *ops, void *context,
                      cbw_error_t *error);
/* To be called when the descriptor of an accepted connection is closed. */
void CbwAcceptor_Release(cbw_acceptor_t *acceptor);
/* Accepts the pending connections, up to the limit, and closes the listening
 * socket. No effect when it is closed. */
void CbwAcceptor_Close(cbw_acceptor_t *acceptor);
bool CbwAcceptor_IsOpen(const cbw_acceptor_t *acceptor);

#endif
