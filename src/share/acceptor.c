#include "share/acceptor.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "share/net.h"
#include "share/tick.h"

/* Maximum number of connections accepted per event, so that a burst of new
 * connections does not delay the established ones for long. */
#define ACCEPTS_PER_EVENT 64
#define RETRY_SECONDS 0.1

static void
pause_accepting(cbw_acceptor_t *acceptor)
{
    if (acceptor->paused) {
        return;
    }
    acceptor->paused = true;
    ev_io_stop(acceptor->loop, &acceptor->watcher);
    ev_timer_again(acceptor->loop, &acceptor->retry);
    if (acceptor->ops->on_pause != NULL) {
        acceptor->ops->on_pause(acceptor->context);
    }
}

static void
resume_accepting(cbw_acceptor_t *acceptor)
{
    if (acceptor->paused && !acceptor->closed) {
        acceptor->paused = false;
        ev_timer_stop(acceptor->loop, &acceptor->retry);
        ev_io_start(acceptor->loop, &acceptor->watcher);
    }
}

static bool
make_room(cbw_acceptor_t *acceptor)
{
    return acceptor->ops->make_room != NULL &&
           acceptor->ops->make_room(acceptor->context);
}

/* Accepts one connection. Returns false when no further one is to be accepted
 * in this event. */
static bool
accept_one(cbw_acceptor_t *acceptor)
{
    char ip[CbwNet_IP_MAX];
    bool full = acceptor->count >= acceptor->limit;
    int fd;

    if (full && !make_room(acceptor)) {
        pause_accepting(acceptor);
        return false;
    }
    fd = CbwNet_Accept(acceptor->watcher.fd, ip);
    if (fd >= 0) {
        acceptor->count++;
        acceptor->ops->on_accept(acceptor->context, fd, ip);
        /* At the limit, make_room is only called once an event reports another
         * pending connection. */
        return acceptor->count < acceptor->limit;
    }
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
        errno == ENOMEM) {
        make_room(acceptor);
        pause_accepting(acceptor);
        return false;
    }
    /* Not the end of the queue: an aborted connection, or a signal. */
    return errno == ECONNABORTED || errno == EINTR;
}

static void
on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
    cbw_acceptor_t *acceptor = watcher->data;

    (void)loop;
    (void)events;
    for (int i = 0; i < ACCEPTS_PER_EVENT && accept_one(acceptor); i++) {
    }
}

static void
on_retry(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    resume_accepting(watcher->data);
}

int
CbwAcceptor_Start(cbw_acceptor_t *acceptor, struct ev_loop *loop,
                  const char *address, size_t limit,
                  const cbw_acceptor_ops_t *ops, void *context,
                  cbw_error_t *error)
{
    int fd = CbwNet_Listen(address, error);

    if (fd < 0) {
        return -1;
    }
    memset(acceptor, 0, sizeof(*acceptor));
    acceptor->loop = loop;
    acceptor->ops = ops;
    acceptor->context = context;
    acceptor->limit = limit;
    ev_io_init(&acceptor->watcher, on_acceptable, fd, EV_READ);
    acceptor->watcher.data = acceptor;
    ev_io_start(loop, &acceptor->watcher);
    CbwTick_Init(&acceptor->retry, on_retry, RETRY_SECONDS, RETRY_SECONDS);
    acceptor->retry.data = acceptor;
    return 0;
}

void
CbwAcceptor_Release(cbw_acceptor_t *acceptor)
{
    acceptor->count--;
    resume_accepting(acceptor);
}

void
CbwAcceptor_Close(cbw_acceptor_t *acceptor)
{
    if (acceptor->closed) {
        return;
    }
    while (acceptor->count < acceptor->limit && accept_one(acceptor)) {
    }
    acceptor->closed = true;
    ev_io_stop(acceptor->loop, &acceptor->watcher);
    ev_timer_stop(acceptor->loop, &acceptor->retry);
    close(acceptor->watcher.fd);
}

bool
CbwAcceptor_IsOpen(const cbw_acceptor_t *acceptor)
{
    return !acceptor->closed;
}
