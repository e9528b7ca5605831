/* A non-blocking TCP connection on the event loop, with a bounded output
 * buffer. It obeys the faults of share/fault.h. */
#ifndef CAROBWIND_SHARE_STREAM_H
#define CAROBWIND_SHARE_STREAM_H

#include <ev.h>

#include "carobwind/error.h"
#include "carobwind/types.h"
#include "share/net.h"

/* Output that waits beyond this closes the connection. */
#define CbwStream_OUTPUT_MAX ((size_t)16 * 1024 * 1024)

typedef struct cbw_stream cbw_stream_t;

/* Callbacks may call CbwStream_Close, but must leave freeing the memory to
 * CbwReaper_Defer. */
typedef struct {
    void (*on_connected)(cbw_stream_t *stream); /* may be NULL */
    void (*on_bytes)(cbw_stream_t *stream, const char *bytes, size_t size);
    /* The other side or an error ended it; it is already closed. */
    void (*on_close)(cbw_stream_t *stream, const char *reason);
} cbw_stream_ops_t;

struct cbw_stream {
    struct ev_loop *loop;
    const cbw_stream_ops_t *ops;
    void *context;
    int fd; /* -1: closed */
    bool connecting;
    bool silent;
    unsigned silence_count;
    bool close_when_written;
    char ip[CbwNet_IP_MAX]; /* of the other side */
    ev_io read_watcher;
    ev_io write_watcher;
    char *output;
    size_t output_size;
    size_t output_start;
    size_t output_capacity;
    cbw_time_t last_received_at;
};

/* Takes over an accepted socket. */
void CbwStream_Accept(cbw_stream_t *stream, struct ev_loop *loop, int fd,
                      const char *ip, const cbw_stream_ops_t *ops,
                      void *context);
/* Begins to connect. Returns 0, or -1 with `error` set and nothing open. */
int CbwStream_Connect(cbw_stream_t *stream, struct ev_loop *loop,
                      const char *local_ip, const char *address,
                      const cbw_stream_ops_t *ops, void *context,
                      cbw_error_t *error);
/* Queues bytes; ignored on a closed stream. */
void CbwStream_Write(cbw_stream_t *stream, const char *bytes, size_t size);
/* Closes at once, without a callback. Harmless when closed. */
void CbwStream_Close(cbw_stream_t *stream);
/* Closes once the queued output is written. */
void CbwStream_CloseWhenWritten(cbw_stream_t *stream);
/* Stops and resumes reading. */
void CbwStream_Pause(cbw_stream_t *stream);
void CbwStream_Resume(cbw_stream_t *stream);
bool CbwStream_IsOpen(const cbw_stream_t *stream);

#endif
