#include "share/stream.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "share/fault.h"

#define READ_SIZE 65536
/* Maximum number of reads per event, so that a busy connection does not delay
 * the others for long. */
#define READS_PER_EVENT 4
/* A larger output buffer (in bytes) is freed when it is empty. */
#define OUTPUT_KEPT ((size_t)65536)

bool
CbwStream_IsOpen(const cbw_stream_t *stream)
{
    return stream->fd >= 0;
}

/* Starts or stops reading according to the stream's state. */
static void
update_reading(cbw_stream_t *stream)
{
    bool reads = stream->fd >= 0 && !stream->connecting &&
                 (stream->discards_input ||
                  (!stream->paused && !stream->awaits_grant &&
                   !stream->output_full && !stream->close_when_written));

    if (reads && !ev_is_active(&stream->read_watcher)) {
        ev_io_start(stream->loop, &stream->read_watcher);
    }
    else if (!reads && stream->fd >= 0) {
        ev_io_stop(stream->loop, &stream->read_watcher);
    }
}

static void
free_output(cbw_stream_t *stream)
{
    free(stream->output);
    stream->output = NULL;
    stream->output_size = 0;
    stream->output_start = 0;
    stream->output_capacity = 0;
}

void
CbwStream_Close(cbw_stream_t *stream)
{
    if (stream->fd < 0) {
        return;
    }
    ev_io_stop(stream->loop, &stream->read_watcher);
    ev_io_stop(stream->loop, &stream->write_watcher);
    close(stream->fd);
    stream->fd = -1;
    free_output(stream);
    if (stream->account != NULL) {
        CbwMemoryAccount_Detach(stream->account);
    }
}

void
CbwStream_Reset(cbw_stream_t *stream)
{
    if (stream->fd >= 0) {
        CbwNet_ResetOnClose(stream->fd);
    }
    CbwStream_Close(stream);
}

/* Closes the stream and reports `reason`, an error or an orderly close. */
static void
close_with_reason(cbw_stream_t *stream, const char *reason)
{
    CbwStream_Close(stream);
    stream->ops->on_close(stream, reason);
}

/* Whether fault injection discards bytes in this direction. Once it has, the
 * stream stays silent. */
static bool
is_dropped(cbw_stream_t *stream, cbw_fault_direction_t direction)
{
    if (!stream->silent &&
        (CbwFault_IsCut(stream->ip, direction) ||
         CbwFault_IsSilenced(stream->ip, stream->silence_count))) {
        stream->silent = true;
    }
    return stream->silent;
}

/* Returns the number of bytes to read at once: few without a grant, so that
 * many connections that wait for one hold little memory. */
static size_t
read_size(const cbw_stream_t *stream)
{
    return stream->account == NULL || stream->account->granted > 0 ||
                   stream->discards_input
               ? READ_SIZE
               : Cbw_MEMORY_SMALL;
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    static char buffer[READ_SIZE];
    cbw_stream_t *stream = watcher->data;

    (void)loop;
    (void)events;
    for (int i = 0; i < READS_PER_EVENT; i++) {
        size_t wanted = read_size(stream);
        ssize_t size = read(stream->fd, buffer, wanted);
        if (size == 0) {
            if (!is_dropped(stream, CBW_FAULT_IN)) {
                close_with_reason(stream, "connection closed by remote end");
            }
            else {
                ev_io_stop(stream->loop, &stream->read_watcher);
            }
            return;
        }
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                close_with_reason(stream, strerror(errno));
            }
            return;
        }
        if (stream->discards_input || is_dropped(stream, CBW_FAULT_IN)) {
            continue;
        }
        stream->last_received_at = CbwNet_Now();
        stream->ops->on_bytes(stream, buffer, (size_t)size);
        if (stream->fd >= 0 && stream->account != NULL && !stream->paused &&
            !stream->output_full && !stream->close_when_written) {
            stream->awaits_grant = !CbwMemoryAccount_MayRead(
                stream->account, stream->last_received_at);
            update_reading(stream);
        }
        if (stream->fd < 0 || !ev_is_active(&stream->read_watcher) ||
            (size_t)size < wanted) {
            return;
        }
    }
}

static void
finish_connect(cbw_stream_t *stream)
{
    int socket_error = 0;
    socklen_t length = sizeof(socket_error);

    getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &socket_error, &length);
    if (socket_error != 0) {
        close_with_reason(stream, strerror(socket_error));
        return;
    }
    stream->connecting = false;
    update_reading(stream);
    if (stream->ops->on_connected != NULL) {
        stream->ops->on_connected(stream);
    }
}

static size_t
pending_output(const cbw_stream_t *stream)
{
    return stream->output_size - stream->output_start;
}

/* Updates the pending output of the account. While too much is pending, stops
 * reading until most of it is written. */
static void
update_output(cbw_stream_t *stream, bool progressed)
{
    size_t pending = pending_output(stream);
    bool was_full = stream->output_full;

    if (stream->account == NULL) {
        return;
    }
    CbwMemoryAccount_SetOutput(stream->account, pending, progressed,
                               CbwNet_Now());
    stream->output_full = pending > (was_full ? Cbw_MEMORY_OUTPUT_HIGH / 4
                                              : Cbw_MEMORY_OUTPUT_HIGH);
    update_reading(stream);
    if (was_full && !stream->output_full && !stream->close_when_written &&
        stream->ops->on_drained != NULL) {
        stream->ops->on_drained(stream);
    }
}

/* Called when all output is written. */
static void
finish_output(cbw_stream_t *stream)
{
    stream->output_start = 0;
    stream->output_size = 0;
    if (stream->output_capacity > OUTPUT_KEPT) {
        free_output(stream);
    }
    ev_io_stop(stream->loop, &stream->write_watcher);
    if (stream->discards_input) {
        shutdown(stream->fd, SHUT_WR);
    }
    else if (stream->close_when_written) {
        close_with_reason(stream, "closed after the last reply was written");
    }
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    cbw_stream_t *stream = watcher->data;
    bool progressed = false;

    (void)loop;
    (void)events;
    if (stream->connecting) {
        finish_connect(stream);
        if (stream->fd < 0) {
            return;
        }
    }
    while (stream->output_start < stream->output_size) {
        ssize_t size = write(stream->fd, stream->output + stream->output_start,
                             stream->output_size - stream->output_start);
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                close_with_reason(stream, strerror(errno));
                return;
            }
            break;
        }
        stream->output_start += (size_t)size;
        progressed |= size > 0;
    }
    if (stream->output_start == stream->output_size) {
        finish_output(stream);
    }
    if (stream->fd >= 0) {
        update_output(stream, progressed);
    }
}

static void
init_stream(cbw_stream_t *stream, struct ev_loop *loop, int fd, const char *ip,
            const cbw_stream_ops_t *ops, void *context)
{
    memset(stream, 0, sizeof(*stream));
    stream->loop = loop;
    stream->fd = fd;
    stream->ops = ops;
    stream->context = context;
    stream->silence_count = CbwFault_SilenceCount();
    stream->last_received_at = CbwNet_Now();
    snprintf(stream->ip, sizeof(stream->ip), "%s", ip);
    ev_io_init(&stream->read_watcher, on_readable, fd, EV_READ);
    ev_io_init(&stream->write_watcher, on_writable, fd, EV_WRITE);
    stream->read_watcher.data = stream;
    stream->write_watcher.data = stream;
}

void
CbwStream_Accept(cbw_stream_t *stream, struct ev_loop *loop, int fd,
                 const char *ip, const cbw_stream_ops_t *ops, void *context)
{
    init_stream(stream, loop, fd, ip, ops, context);
    update_reading(stream);
}

int
CbwStream_Connect(cbw_stream_t *stream, struct ev_loop *loop,
                  const char *local_ip, const char *address,
                  const cbw_net_options_t *options,
                  const cbw_stream_ops_t *ops, void *context,
                  cbw_error_t *error)
{
    char ip[CbwNet_IP_MAX];
    size_t length = strcspn(address, ":");
    int fd;

    stream->fd = -1;
    fd = CbwNet_Connect(local_ip, address, options, error);
    if (fd < 0) {
        return -1;
    }
    if (length >= sizeof(ip)) {
        length = sizeof(ip) - 1;
    }
    memcpy(ip, address, length);
    ip[length] = '\0';
    init_stream(stream, loop, fd, ip, ops, context);
    stream->connecting = true;
    ev_io_start(loop, &stream->write_watcher);
    return 0;
}

/* Makes room for `size` more bytes of output. */
static int
reserve_output(cbw_stream_t *stream, size_t size)
{
    size_t pending = pending_output(stream);
    size_t capacity = stream->output_capacity ? stream->output_capacity : 1024;
    char *output;

    if (pending + size > CbwStream_OUTPUT_MAX) {
        return -1;
    }
    if (stream->output_size + size <= stream->output_capacity) {
        return 0;
    }
    /* Reclaims the written part, unless more bytes would have to be moved. */
    if (stream->output_start > 0 && stream->output_start >= pending) {
        memmove(stream->output, stream->output + stream->output_start,
                pending);
        stream->output_start = 0;
        stream->output_size = pending;
    }
    if (stream->output_size + size <= stream->output_capacity) {
        return 0;
    }
    while (capacity < stream->output_size + size) {
        capacity *= 2;
    }
    output = realloc(stream->output, capacity);
    if (output == NULL) {
        return -1;
    }
    stream->output = output;
    stream->output_capacity = capacity;
    return 0;
}

void
CbwStream_Write(cbw_stream_t *stream, const char *bytes, size_t size)
{
    ssize_t written = 0;

    if (stream->fd < 0 || is_dropped(stream, CBW_FAULT_OUT)) {
        return;
    }
    if (!stream->connecting && stream->output_size == 0) {
        written = write(stream->fd, bytes, size);
        if (written < 0) {
            written = 0; /* the event loop reports the error */
        }
        if ((size_t)written == size) {
            return;
        }
    }
    if (reserve_output(stream, size - (size_t)written) != 0) {
        shutdown(stream->fd, SHUT_RDWR); /* the event loop reports the close */
        return;
    }
    memcpy(stream->output + stream->output_size, bytes + written,
           size - (size_t)written);
    stream->output_size += size - (size_t)written;
    ev_io_start(stream->loop, &stream->write_watcher);
    update_output(stream, false);
}

void
CbwStream_CloseWhenWritten(cbw_stream_t *stream)
{
    if (stream->fd < 0) {
        return;
    }
    stream->close_when_written = true;
    update_reading(stream);
    ev_io_start(stream->loop, &stream->write_watcher);
}

void
CbwStream_CloseWhenRead(cbw_stream_t *stream)
{
    if (stream->fd >= 0) {
        stream->discards_input = true;
        CbwStream_CloseWhenWritten(stream);
    }
}

void
CbwStream_Abort(cbw_stream_t *stream, const char *reason)
{
    if (stream->fd >= 0) {
        close_with_reason(stream, reason);
    }
}

void
CbwStream_SetAccount(cbw_stream_t *stream, cbw_memory_account_t *account)
{
    stream->account = account;
    account->owner = stream;
}

bool
CbwStream_IsOutputFull(const cbw_stream_t *stream)
{
    return stream->output_full;
}

void
CbwStream_OnGranted(cbw_stream_t *stream)
{
    stream->awaits_grant = false;
    update_reading(stream);
}

void
CbwStream_Pause(cbw_stream_t *stream)
{
    stream->paused = true;
    update_reading(stream);
}

void
CbwStream_Resume(cbw_stream_t *stream)
{
    stream->paused = false;
    update_reading(stream);
}
