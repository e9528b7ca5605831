#include "share/net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BACKLOG 1024

cbw_time_t
CbwNet_Now(void)
{
    struct timespec now;

    /* Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the host is
     * suspended, so that tenures (leases in the store) expire. */
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (cbw_time_t)now.tv_sec * Cbw_SEC + now.tv_nsec / 1000;
}

int
CbwNet_ParseAddress(const char *text, struct sockaddr_in *address,
                    cbw_error_t *error)
{
    char ip[CbwNet_IP_MAX];
    const char *colon = strrchr(text, ':');
    char *end;
    long port;

    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "address \"%s\" is not ip:port", text);
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    port = strtol(colon + 1, &end, 10);
    if (colon[1] < '0' || colon[1] > '9' || *end != '\0' || port > 65535 ||
        inet_pton(AF_INET, ip, &address->sin_addr) != 1) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "address \"%s\" is not ip:port", text);
    }
    address->sin_port = htons((uint16_t)port);
    return 0;
}

static int
close_with_error(int fd, const char *action, const char *address,
                 cbw_error_t *error)
{
    int saved_errno = errno;

    if (fd >= 0) {
        close(fd);
    }
    return CbwError_Set(error, CBW_ERROR_IO, "%s %s: %s", action, address,
                        strerror(saved_errno));
}

int
CbwNet_Listen(const char *text, cbw_error_t *error)
{
    struct sockaddr_in address;
    int enable = 1;
    int fd;

    if (CbwNet_ParseAddress(text, &address, error) != 0) {
        return -1;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return close_with_error(fd, "socket for", text, error);
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, BACKLOG) != 0) {
        return close_with_error(fd, "cannot listen on", text, error);
    }
    return fd;
}

static int
bind_local(int fd, const char *local_ip)
{
    struct sockaddr_in local = {.sin_family = AF_INET};
    int enable = 1;

    if (local_ip[0] == '\0') {
        return 0;
    }
    /* Defers the choice of the local port to connect(), which can use the same
     * port for several destinations. */
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enable,
               sizeof(enable));
    if (inet_pton(AF_INET, local_ip, &local.sin_addr) != 1) {
        errno = EINVAL;
        return -1;
    }
    return bind(fd, (struct sockaddr *)&local, sizeof(local));
}

void
CbwNet_ResetOnClose(int fd)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void
set_options(int fd, const cbw_net_options_t *options)
{
    int enable = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    if (options == NULL) {
        return;
    }
    if (options->reset_on_close) {
        CbwNet_ResetOnClose(fd);
    }
    if (options->acknowledge_timeout > 0) {
        unsigned timeout_ms =
            (unsigned)(options->acknowledge_timeout / Cbw_MSEC);
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                   sizeof(timeout_ms));
    }
}

int
CbwNet_Connect(const char *local_ip, const char *text,
               const cbw_net_options_t *options, cbw_error_t *error)
{
    struct sockaddr_in address;
    int fd;

    if (CbwNet_ParseAddress(text, &address, error) != 0) {
        return -1;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return close_with_error(fd, "socket for", text, error);
    }
    set_options(fd, options);
    if (bind_local(fd, local_ip) != 0) {
        return close_with_error(fd, "cannot bind to", local_ip, error);
    }
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        return close_with_error(fd, "cannot connect to", text, error);
    }
    return fd;
}

int
CbwNet_Accept(int listener, char *ip)
{
    struct sockaddr_in peer;
    socklen_t length = sizeof(peer);
    int enable = 1;
    int fd = accept4(listener, (struct sockaddr *)&peer, &length,
                     SOCK_NONBLOCK | SOCK_CLOEXEC);

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    inet_ntop(AF_INET, &peer.sin_addr, ip, CbwNet_IP_MAX);
    return fd;
}
