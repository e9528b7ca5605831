/* Limits what connections that other processes opened may use: memory by the
 * budget of the process (carobwind/memory_budget.h), and descriptors by port.
 * The tasks open an account for each such connection; this module resumes the
 * connections that wait, and closes those that the budget selects. */
#ifndef CAROBWINDD_CLIENT_LIMITS_H
#define CAROBWINDD_CLIENT_LIMITS_H

#include "carobwind/memory_budget.h"
#include "messages.h"
#include "share/acceptor.h"
#include "share/stream.h"

/* Applies the limits in the settings and starts the timers. Called once. */
void ClientLimits_Start(daemon_t *daemon);
/* A listening socket for clients of one port. */
typedef struct {
    cbw_acceptor_t acceptor;
    cbw_client_port_t port;
    void (*on_accept)(void *context, int fd, const char *ip);
    void *context;
} client_listener_t;

/* Listens on `address` with the limit of the port. `on_accept` takes ownership
 * of an accepted socket; CbwAcceptor_Release reports the end of its
 * connection. Returns 0, or -1 with `error` set. */
int ClientLimits_Listen(client_listener_t *listener, cbw_client_port_t port,
                        const char *address,
                        void (*on_accept)(void *context, int fd,
                                          const char *ip),
                        void *context, cbw_error_t *error);
/* Opens the account of a connection that was accepted. */
void ClientLimits_Open(cbw_memory_account_t *account, cbw_stream_t *stream,
                       cbw_client_port_t port);
/* Counts and logs a message over the limit, at most 20 lines a second. */
void ClientLimits_OnTooLarge(const cbw_stream_t *stream);
/* Returns whether a client may keep `bytes` more for its session. Counts a
 * refusal. */
bool ClientLimits_MayKeep(const cbw_memory_account_t *account, size_t bytes);

#endif
