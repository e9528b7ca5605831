/* A non-blocking TCP connection on the event loop, with a bounded output
 * buffer. Subject to the fault injection of share/fault.h. */
#ifndef CAROBWIND_SHARE_STREAM_H
#define CAROBWIND_SHARE_STREAM_H

#include <ev.h>

#include "carobwind/error.h"
#include "carobwind/memory_budget.h"
#include "carobwind/types.h"
#include "share/net.h"

/* Maximum size of the buffered output; the connection is closed beyond it. */
#define CbwStream_OUTPUT_MAX ((size_t)16 * 1024 * 1024)

typedef struct cbw_stream cbw_stream_t;

/* Callbacks may call CbwStream_Close, but must not free the stream, except by
 * CbwReaper_Defer. */
typedef struct {
    void (*on_connected)(cbw_stream_t *stream); /* may be NULL */
    void (*on_bytes)(cbw_stream_t *stream, const char *bytes, size_t size);
    /* The connection was closed by the remote end or by an error. The stream
     * is closed already. */
    void (*on_close)(cbw_stream_t *stream, const char *reason);
    /* The output of a stream with an account is no longer full, see
     * CbwStream_IsOutputFull. May be NULL. */
    void (*on_drained)(cbw_stream_t *stream);
} cbw_stream_ops_t;

struct cbw_stream {
    struct ev_loop *loop;
    const cbw_stream_ops_t *ops;
    void *context;
    int fd; /* -1: closed */
    bool connecting;
    bool silent; /* discards all traffic permanently, see share/fault.h */
    unsigned silence_count; /* CbwFault_SilenceCount() when it was opened */
    bool close_when_written;
    bool paused;         /* by CbwStream_Pause */
    bool awaits_grant;   /* reads nothing until the budget grants it */
    bool output_full;    /* reads nothing until most output is written */
    bool discards_input; /* see CbwStream_CloseWhenRead */
    cbw_memory_account_t *account; /* NULL: not limited */
    char ip[CbwNet_IP_MAX];        /* of the remote end */
    ev_io read_watcher;
    ev_io write_watcher;
    char *output;
    size_t output_size;  /* offset of the end of the buffered bytes */
    size_t output_start; /* offset of the first unwritten byte */
    size_t output_capacity;
    cbw_time_t last_received_at; /* initially the time of opening */
};

/* Takes ownership of an accepted socket. */
void CbwStream_Accept(cbw_stream_t *stream, struct ev_loop *loop, int fd,
                      const char *ip, const cbw_stream_ops_t *ops,
                      void *context);
/* Starts connecting. `options` may be NULL. Returns 0, or -1 with `error` set
 * and the stream closed. */
int CbwStream_Connect(cbw_stream_t *stream, struct ev_loop *loop,
                      const char *local_ip, const char *address,
                      const cbw_net_options_t *options,
                      const cbw_stream_ops_t *ops, void *context,
                      cbw_error_t *error);
/* Writes or buffers bytes. No effect on a closed stream. */
void CbwStream_Write(cbw_stream_t *stream, const char *bytes, size_t size);
/* Closes immediately without calling on_close and discards buffered output. No
 * effect when closed already. */
void CbwStream_Close(cbw_stream_t *stream);
/* Like CbwStream_Close, but also resets the connection, so that the kernel
 * discards unacknowledged output. */
void CbwStream_Reset(cbw_stream_t *stream);
/* Stops reading and closes once the buffered output is written; on_close is
 * then called. */
void CbwStream_CloseWhenWritten(cbw_stream_t *stream);
/* Like CbwStream_CloseWhenWritten, but receives and discards input until the
 * remote end closes: closing with unread input would reset the connection and
 * lose the output. The account's CBW_CLIENT_CLOSING limits the time. */
void CbwStream_CloseWhenRead(cbw_stream_t *stream);
/* Closes and calls on_close. No effect when closed already. */
void CbwStream_Abort(cbw_stream_t *stream, const char *reason);
/* Limits the memory of the stream by an open account, and sets the account's
 * `owner` to the stream. The user of the stream updates the account's input
 * and requests, and closes the account when it frees the stream. */
void CbwStream_SetAccount(cbw_stream_t *stream, cbw_memory_account_t *account);
/* Whether so much output is pending that no message should be handled until
 * on_drained. Always false without an account. */
bool CbwStream_IsOutputFull(const cbw_stream_t *stream);
/* Resumes reading after the budget has granted what the stream waits for. */
void CbwStream_OnGranted(cbw_stream_t *stream);
/* Stops reading. */
void CbwStream_Pause(cbw_stream_t *stream);
/* Resumes reading, unless the stream is closing. */
void CbwStream_Resume(cbw_stream_t *stream);
bool CbwStream_IsOpen(const cbw_stream_t *stream);

#endif
