/* RESP messages over a stream: arrays of bulk strings, or a single error. They
 * are parsed by the hiredis reader with object functions that reject nested
 * arrays, oversized input and other types. */
#ifndef CAROBWIND_SHARE_RESP_H
#define CAROBWIND_SHARE_RESP_H

#include <hiredis/read.h>

#include "share/stream.h"

/* Maximum number of words (array elements) of a message. */
#define CbwResp_WORDS_MAX 16384
/* Maximum size of a word, in bytes. */
#define CbwResp_WORD_MAX ((size_t)4 * 1024 * 1024)

/* A decoded message. Each word is also NUL-terminated. A message passed to
 * on_message is freed when the callback returns. */
typedef struct {
    bool is_error; /* the only word is the error text */
    int count;
    char **words;
    size_t *sizes;
} cbw_resp_message_t;

typedef struct cbw_resp cbw_resp_t;

typedef struct {
    void (*on_connected)(cbw_resp_t *resp); /* may be NULL */
    void (*on_message)(cbw_resp_t *resp, const cbw_resp_message_t *message);
    /* The input is malformed and reading has stopped. When NULL, the
     * connection is closed and on_close is called. */
    void (*on_malformed)(cbw_resp_t *resp, const char *reason);
    /* The connection was closed by the remote end or by an error. */
    void (*on_close)(cbw_resp_t *resp, const char *reason);
    /* As in cbw_stream_ops_t; may be NULL. */
    void (*on_drained)(cbw_resp_t *resp);
} cbw_resp_ops_t;

typedef struct {
    int words_max;
    size_t word_max;  /* bytes of one word */
    size_t input_max; /* bytes buffered for an incomplete message */
} cbw_resp_limits_t;

/* Limits for accepted connections (callers), and for outgoing ones (platform
 * and endpoints). */
extern const cbw_resp_limits_t CbwResp_ServerLimits;
extern const cbw_resp_limits_t CbwResp_ClientLimits;

/* The decoder without a connection, also used by the fuzz tests. */
typedef struct {
    redisReader *reader;
    cbw_resp_limits_t limits;
    const char *error; /* why the input was rejected; NULL: no error */
} cbw_resp_decoder_t;

/* Returns 0, or -1 when out of memory. */
int CbwRespDecoder_Init(cbw_resp_decoder_t *decoder,
                        const cbw_resp_limits_t *limits);
void CbwRespDecoder_Finish(cbw_resp_decoder_t *decoder);
/* Appends input. Returns 0, or -1 with decoder->error set when the buffered
 * input exceeds the limit or when out of memory. */
int CbwRespDecoder_Feed(cbw_resp_decoder_t *decoder, const char *bytes,
                        size_t size);
/* Sets `message` to the next complete message, which the caller frees with
 * CbwResp_FreeMessage, or to NULL when more input is needed. Returns 0, or -1
 * with decoder->error set when the input is malformed. */
int CbwRespDecoder_Next(cbw_resp_decoder_t *decoder,
                        cbw_resp_message_t **message);
void CbwResp_FreeMessage(cbw_resp_message_t *message);

struct cbw_resp {
    cbw_stream_t stream;
    cbw_resp_decoder_t decoder;
    const cbw_resp_ops_t *ops;
    void *context;
    size_t partial; /* received bytes of the incomplete message */
    bool paused;    /* by CbwResp_Pause */
    bool decoding;  /* guards against recursion from callbacks */
};

/* Takes ownership of an accepted socket. Returns 0, or -1 when out of memory.
 */
int CbwResp_Accept(cbw_resp_t *resp, struct ev_loop *loop, int fd,
                   const char *ip, const cbw_resp_limits_t *limits,
                   const cbw_resp_ops_t *ops, void *context);
/* Starts connecting. Returns 0, or -1 with `error` set. */
int CbwResp_Connect(cbw_resp_t *resp, struct ev_loop *loop,
                    const char *local_ip, const char *address,
                    const cbw_resp_limits_t *limits, const cbw_resp_ops_t *ops,
                    void *context, cbw_error_t *error);
/* Sends an array of `count` words. `sizes` may be NULL when the words are
 * NUL-terminated. */
void CbwResp_Send(cbw_resp_t *resp, int count, const char *const *words,
                  const size_t *sizes);
/* Sends "-ERR text". */
void CbwResp_SendError(cbw_resp_t *resp, const char *text);
/* Sends an error and closes the connection once it is written. */
void CbwResp_Reject(cbw_resp_t *resp, const char *reason);
/* Stops reading and delivering messages. */
void CbwResp_Pause(cbw_resp_t *resp);
/* Delivers buffered messages and resumes reading. */
void CbwResp_Resume(cbw_resp_t *resp);
/* Closes the connection without calling on_close. No effect when it is
 * closed already. */
void CbwResp_Close(cbw_resp_t *resp);
/* Closes the connection and frees what it owns. Must not be called from its
 * callbacks. */
void CbwResp_Finish(cbw_resp_t *resp);
bool CbwResp_IsOpen(const cbw_resp_t *resp);

#endif
