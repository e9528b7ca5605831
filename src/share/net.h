/* IPv4 addresses, non-blocking TCP sockets and the monotonic clock. */
#ifndef CAROBWIND_SHARE_NET_H
#define CAROBWIND_SHARE_NET_H

#include <netinet/in.h>

#include "carobwind/error.h"
#include "carobwind/types.h"

/* Size of a buffer for a dotted IPv4 address, with the terminating NUL. */
#define CbwNet_IP_MAX 16

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
 * ("ip:port"). Returns the socket, or -1 with `error` set. */
int CbwNet_Connect(const char *local_ip, const char *address,
                   cbw_error_t *error);
/* Accepts a connection without blocking and writes the remote IP address to
 * `ip`, a buffer of CbwNet_IP_MAX bytes. Returns the socket, or -1 when there
 * is none to accept. */
int CbwNet_Accept(int listener, char *ip);

#endif
