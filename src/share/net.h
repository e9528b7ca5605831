/* Addresses, sockets and time. */
#ifndef CAROBWIND_SHARE_NET_H
#define CAROBWIND_SHARE_NET_H

#include <netinet/in.h>

#include "carobwind/error.h"
#include "carobwind/types.h"

/* Longest dotted IPv4 address, with its NUL. */
#define CbwNet_IP_MAX 16

/* The present time of the clock that counts suspensions too. */
cbw_time_t CbwNet_Now(void);
/* Parses "ip:port". Returns 0 or -1 with `error` set. */
int CbwNet_ParseAddress(const char *text, struct sockaddr_in *address,
                        cbw_error_t *error);
/* A non-blocking listening socket, or -1 with `error` set. */
int CbwNet_Listen(const char *address, cbw_error_t *error);
/* Begins a non-blocking connection from `local_ip` ("" for any) to `address`.
 * Returns the socket, or -1 with `error` set. */
int CbwNet_Connect(const char *local_ip, const char *address,
                   cbw_error_t *error);
/* Accepts a connection, non-blocking, and writes the peer's IP number to `ip`
 * of CbwNet_IP_MAX bytes. Returns the socket or -1. */
int CbwNet_Accept(int listener, char *ip);

#endif
