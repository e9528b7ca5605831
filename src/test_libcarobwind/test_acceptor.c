#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/acceptor.h"
#include "suites.h"

#define LIMIT 2
#define CLIENTS 4

typedef struct {
    cbw_acceptor_t acceptor;
    struct ev_loop *loop;
    struct sockaddr_in address;
    int clients[CLIENTS];
    int accepted[CLIENTS];
    int accepted_count;
    int closed_count; /* the first of them, by make_room */
    bool may_close;
    int asked; /* calls of make_room */
    int pauses;
} world_t;

static void
on_accept(void *context, int fd, const char *ip)
{
    world_t *world = context;

    (void)ip;
    world->accepted[world->accepted_count++] = fd;
}

static bool
make_room(void *context)
{
    world_t *world = context;

    world->asked++;
    if (world->may_close) {
        close(world->accepted[world->closed_count++]);
        CbwAcceptor_Release(&world->acceptor);
    }
    return world->may_close;
}

static void
on_pause(void *context)
{
    world_t *world = context;

    world->pauses++;
}

static const cbw_acceptor_ops_t ops = {
    .on_accept = on_accept, .make_room = make_room, .on_pause = on_pause};

static void
start(world_t *world, bool may_close)
{
    socklen_t length = sizeof(world->address);

    *world = (world_t){.loop = ev_loop_new(0), .may_close = may_close};
    g_assert_cmpint(CbwAcceptor_Start(&world->acceptor, world->loop,
                                      "127.0.0.1:0", LIMIT, &ops, world, NULL),
                    ==, 0);
    getsockname(world->acceptor.watcher.fd, (struct sockaddr *)&world->address,
                &length);
}

static void
connect_client(world_t *world, int i)
{
    world->clients[i] = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(world->clients[i],
                            (struct sockaddr *)&world->address,
                            sizeof(world->address)),
                    ==, 0);
}

static void
finish(world_t *world, int clients)
{
    CbwAcceptor_Close(&world->acceptor);
    g_assert_false(CbwAcceptor_IsOpen(&world->acceptor));
    for (int i = world->closed_count; i < world->accepted_count; i++) {
        close(world->accepted[i]);
    }
    for (int i = 0; i < clients; i++) {
        close(world->clients[i]);
    }
    ev_loop_destroy(world->loop);
}

/* Guards against closing a connection to make room when no further one is
 * waiting: the one that reached the limit would be closed. */
static void
test_at_limit(void)
{
    world_t world;

    start(&world, true);
    connect_client(&world, 0);
    connect_client(&world, 1);
    ev_run(world.loop, EVRUN_NOWAIT);
    ev_run(world.loop, EVRUN_NOWAIT);
    g_assert_cmpint(world.accepted_count, ==, 2);
    g_assert_cmpint(world.asked, ==, 0);
    connect_client(&world, 2);
    ev_run(world.loop, EVRUN_NOWAIT);
    ev_run(world.loop, EVRUN_NOWAIT);
    g_assert_cmpint(world.accepted_count, ==, 3);
    g_assert_cmpint(world.asked, ==, 1);
    g_assert_cmpint(world.pauses, ==, 0);
    finish(&world, 3);
}

/* Guards against a busy loop on a connection that cannot be accepted, and
 * against an acceptor that never resumes. */
static void
test_pause(void)
{
    world_t world;

    start(&world, false);
    for (int i = 0; i < 3; i++) {
        connect_client(&world, i);
    }
    for (int i = 0; i < 5; i++) {
        ev_run(world.loop, EVRUN_NOWAIT);
    }
    g_assert_cmpint(world.accepted_count, ==, 2);
    g_assert_cmpint(world.asked, ==, 1);
    g_assert_cmpint(world.pauses, ==, 1);
    close(world.accepted[world.closed_count++]);
    CbwAcceptor_Release(&world.acceptor);
    ev_run(world.loop, EVRUN_NOWAIT);
    g_assert_cmpint(world.accepted_count, ==, 3);
    finish(&world, 3);
}

void
Suite_AddAcceptor(void)
{
    g_test_add_func("/acceptor/at-limit", test_at_limit);
    g_test_add_func("/acceptor/pause", test_pause);
}
