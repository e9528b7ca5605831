/* RESP messages (arrays of bulk strings, or one error) over a stream, parsed
 * by hiredis' reader with a table of functions that refuses what is nested,
 * too long or of another type. */
#ifndef CAROBWIND_SHARE_RESP_H
#define CAROBWIND_SHARE_RESP_H

#include <hiredis/read.h>

#include "share/stream.h"

/* Most words of one message. */
#define CbwResp_WORDS_MAX 16384
/* Longest word, in bytes. */
#define CbwResp_WORD_MAX ((size_t)4 * 1024 * 1024)

/* One message. Its words are NUL-terminated, and freed after the callback. */
typedef struct {
    bool is_error; /* the only word is the error's text */
    int count;
    char **words;
    size_t *sizes;
} cbw_resp_message_t;

typedef struct cbw_resp cbw_resp_t;

typedef struct {
    void (*on_connected)(cbw_resp_t *resp); /* may be NULL */
    void (*on_message)(cbw_resp_t *resp, const cbw_resp_message_t *message);
    /* The input is malformed; nothing more is read. May be NULL: closes. */
    void (*on_malformed)(cbw_resp_t *resp, const char *reason);
    void (*on_close)(cbw_resp_t *resp, const char *reason);
} cbw_resp_ops_t;

typedef struct {
    int words_max;
    size_t word_max;  /* bytes of one word */
    size_t input_max; /* bytes of one message that is not complete */
} cbw_resp_limits_t;

/* Limits towards callers, and towards the platform and endpoints. */
extern const cbw_resp_limits_t CbwResp_ServerLimits;
extern const cbw_resp_limits_t CbwResp_ClientLimits;

/* The decoder alone, which the fuzz tests drive. */
typedef struct {
    redisReader *reader;
    cbw_resp_limits_t limits;
    const char *error; /* what the table of functions refused */
} cbw_resp_decoder_t;

int CbwRespDecoder_Init(cbw_resp_decoder_t *decoder,
                        const cbw_resp_limits_t *limits);
void CbwRespDecoder_Finish(cbw_resp_decoder_t *decoder);
/* Takes in bytes. Returns 0, or -1 when they are too many. */
int CbwRespDecoder_Feed(cbw_resp_decoder_t *decoder, const char *bytes,
                        size_t size);
/* Sets `message` to the next one, or NULL when more bytes are needed. Returns
 * 0, or -1 with decoder->error set. */
int CbwRespDecoder_Next(cbw_resp_decoder_t *decoder,
                        cbw_resp_message_t **message);
void CbwResp_FreeMessage(cbw_resp_message_t *message);

struct cbw_resp {
    cbw_stream_t stream;
    cbw_resp_decoder_t decoder;
    const cbw_resp_ops_t *ops;
    void *context;
    bool paused;
    bool decoding;
};

/* Takes over an accepted socket. Returns 0, or -1 when memory ran out. */
int CbwResp_Accept(cbw_resp_t *resp, struct ev_loop *loop, int fd,
                   const char *ip, const cbw_resp_limits_t *limits,
                   const cbw_resp_ops_t *ops, void *context);
/* Begins to connect. Returns 0, or -1 with `error` set. */
int CbwResp_Connect(cbw_resp_t *resp, struct ev_loop *loop,
                    const char *local_ip, const char *address,
                    const cbw_resp_limits_t *limits, const cbw_resp_ops_t *ops,
                    void *context, cbw_error_t *error);
/* Sends an array of `count` words; `sizes` may be NULL for NUL-terminated
 * words. */
void CbwResp_Send(cbw_resp_t *resp, int count, const char *const *words,
                  const size_t *sizes);
/* Sends "-ERR text". */
void CbwResp_SendError(cbw_resp_t *resp, const char *text);
/* Sends an error and closes once it is written. */
void CbwResp_Reject(cbw_resp_t *resp, const char *reason);
/* Holds back further messages, and goes on with them. */
void CbwResp_Pause(cbw_resp_t *resp);
void CbwResp_Resume(cbw_resp_t *resp);
/* Closes without a callback. Harmless when closed. */
void CbwResp_Close(cbw_resp_t *resp);
/* Closes and frees what the connection owns; not from within its callbacks. */
void CbwResp_Finish(cbw_resp_t *resp);
bool CbwResp_IsOpen(const cbw_resp_t *resp);

#endif
