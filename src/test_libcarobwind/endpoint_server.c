#include "endpoint_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/net.h"

/* Rounds of the event loop, 1 ms each, until a wait has failed. */
#define ROUNDS_MAX 500

endpoint_link_t *
EndpointServer_Open(endpoint_server_t *server, const endpoint_driver_t *driver,
                    daemon_t *daemon, int connections_max,
                    const endpoint_events_t *events)
{
    cbw_endpoint_t *endpoint = &server->endpoint;
    struct sockaddr_in local = {.sin_port = 0};
    socklen_t length = sizeof(local);

    daemon->loop = server->loop;
    server->listener = CbwNet_Listen("127.0.0.1:0", NULL);
    getsockname(server->listener, (struct sockaddr *)&local, &length);
    g_strlcpy(endpoint->name, "ep1", sizeof(endpoint->name));
    snprintf(endpoint->address, sizeof(endpoint->address), "127.0.0.1:%d",
             ntohs(local.sin_port));
    return driver->open(daemon, "db", endpoint, connections_max, events, NULL);
}

void
EndpointServer_Serve(endpoint_server_t *server, const int *replies)
{
    char ip[CbwNet_IP_MAX];

    for (int i = 0; i < ROUNDS_MAX && *replies == 0; i++) {
        int fd = CbwNet_Accept(server->listener, ip);
        if (fd >= 0) {
            g_assert_cmpint(server->count, <, EndpointServer_CONNECTIONS_MAX);
            server->fds[server->count++] = fd;
            if (server->ops->on_accept != NULL) {
                server->ops->on_accept(server->context, server->count - 1);
            }
        }
        for (int j = 0; j < server->count; j++) {
            server->ops->on_poll(server->context, j);
        }
        ev_run(server->loop, EVRUN_NOWAIT);
        g_usleep(1000);
    }
    g_assert_cmpint(*replies, ==, 1);
}

void
EndpointServer_Close(endpoint_server_t *server,
                     const endpoint_driver_t *driver,
                     endpoint_link_t *endpoint_link)
{
    driver->close(endpoint_link);
    ev_run(server->loop, EVRUN_NOWAIT);
    for (int i = 0; i < server->count; i++) {
        close(server->fds[i]);
    }
    close(server->listener);
}
