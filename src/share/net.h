/* IPv4 addresses, non-blocking TCP sockets and the monotonic clock. */
#ifndef CAROBWIND_SHARE_NET_H
#define CAROBWIND_SHARE_NET_H

#include <netinet/in.h>

#include "carobwind/error.h"
#include "carobwind/types.h"

/* Size of a buffer for a dotted IPv4 address, with the terminating NUL. */
#define CbwNet_IP_MAX 16

/* How a connection treats the bytes that its remote end has not acknowledged.
 */
typedef struct {
    /* Closing the socket, also when the process is killed, resets the
     * connection and discards them. Otherwise the kernel continues to send
     * them. */
    bool reset_on_close;
    /* The kernel closes the connection when they have been unacknowledged for
     * this long; 0: its default of many minutes. */
    cbw_time_t acknowledge_timeout;
} cbw_net_options_t;

/* The current monotonic time, which includes the time that the host was
 * suspended. */
cbw_time_t CbwNet_Now(void);
/* Parses "ip:port". Returns 0, or -1 with `error` set. */
int CbwNet_ParseAddress(const char *text, struct sockaddr_in *address,
                        cbw_error_t *error);
/* Opens a non-blocking listening socket on `address` ("ip:port"). Returns the
 * socket, or -1 with `error` set. */
int CbwNet_Listen(const char *address, cbw_error_t *error);
/* Starts a non-blocking connection from `local_ip` ("" for any) to `address`
 * ("ip:port"). `options` may be NULL. Returns the socket, or -1 with `error`
 * set. */
int CbwNet_Connect(const char *local_ip, const char *address,
                   const cbw_net_options_t *options, cbw_error_t *error);
/* Sets reset_on_close of cbw_net_options_t for an open socket. */
void CbwNet_ResetOnClose(int fd);
/* Accepts a connection without blocking and writes the remote IP address to
 * `ip`, a buffer of CbwNet_IP_MAX bytes. Returns the socket, or -1 when there
 * is none to accept. */
int CbwNet_Accept(int listener, char *ip);

#endif
