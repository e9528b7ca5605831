#include "share/resp.h"

#include <hiredis/hiredis.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const cbw_resp_limits_t CbwResp_ServerLimits = {
    .words_max = 24,
    .word_max = Cbw_STATEMENT_MAX,
    .input_max = 2 * Cbw_STATEMENT_MAX,
};

const cbw_resp_limits_t CbwResp_ClientLimits = {
    .words_max = CbwResp_WORDS_MAX,
    .word_max = CbwResp_WORD_MAX,
    .input_max = 2 * CbwResp_WORD_MAX,
};

/* Object functions of the hiredis reader. Returning NULL stops the reader. */

/* Records the first error. Returns NULL, for use by the object functions. */
static void *
set_error(const redisReadTask *task, const char *reason)
{
    cbw_resp_decoder_t *decoder = task->privdata;

    if (decoder->error == NULL) {
        decoder->error = reason;
    }
    return NULL;
}

static cbw_resp_message_t *
new_message(int count)
{
    cbw_resp_message_t *message = calloc(1, sizeof(*message));

    if (message == NULL) {
        return NULL;
    }
    message->words = calloc((size_t)count + 1, sizeof(*message->words));
    message->sizes = calloc((size_t)count + 1, sizeof(*message->sizes));
    if (message->words == NULL || message->sizes == NULL) {
        CbwResp_FreeMessage(message);
        return NULL;
    }
    message->count = count;
    return message;
}

void
CbwResp_FreeMessage(cbw_resp_message_t *message)
{
    if (message == NULL) {
        return;
    }
    for (int i = 0; message->words != NULL && i < message->count; i++) {
        free(message->words[i]);
    }
    free(message->words);
    free(message->sizes);
    free(message);
}

static int
set_word(cbw_resp_message_t *message, int index, const char *bytes,
         size_t size)
{
    char *word = malloc(size + 1);

    if (word == NULL) {
        return -1;
    }
    memcpy(word, bytes, size);
    word[size] = '\0';
    message->words[index] = word;
    message->sizes[index] = size;
    return 0;
}

static void *
create_error(const redisReadTask *task, const char *bytes, size_t size)
{
    cbw_resp_message_t *message;

    if (task->parent != NULL) {
        return set_error(task, "an error inside an array");
    }
    message = new_message(1);
    if (message == NULL || set_word(message, 0, bytes, size) != 0) {
        CbwResp_FreeMessage(message);
        return set_error(task, "out of memory");
    }
    message->is_error = true;
    return message;
}

static void *
create_string(const redisReadTask *task, char *bytes, size_t size)
{
    cbw_resp_decoder_t *decoder = task->privdata;
    cbw_resp_message_t *message;

    if (size > decoder->limits.word_max) {
        return set_error(task, "a word is too long");
    }
    if (task->type == REDIS_REPLY_ERROR) {
        return create_error(task, bytes, size);
    }
    if (task->type != REDIS_REPLY_STRING || task->parent == NULL) {
        return set_error(task, "expected an array of bulk strings");
    }
    if (bytes[size] != '\r' || bytes[size + 1] != '\n') {
        return set_error(task, "a bulk string does not end where it said");
    }
    message = task->parent->obj;
    if (set_word(message, task->idx, bytes, size) != 0) {
        return set_error(task, "out of memory");
    }
    return message;
}

static void *
create_array(const redisReadTask *task, int count)
{
    cbw_resp_decoder_t *decoder = task->privdata;
    cbw_resp_message_t *message;

    if (task->parent != NULL) {
        return set_error(task, "an array inside an array");
    }
    if (count < 1 || count > decoder->limits.words_max) {
        return set_error(task, "the array is empty or has too many words");
    }
    message = new_message(count);
    return message != NULL ? message : set_error(task, "out of memory");
}

static void *
create_integer(const redisReadTask *task, long long value)
{
    (void)value;
    return set_error(task,
                     "expected an array of bulk strings, not an integer");
}

static void *
create_nil(const redisReadTask *task)
{
    return set_error(task, "expected an array of bulk strings, not null");
}

/* The reader frees only root objects; words are freed with their message. */
static void
free_object(void *object)
{
    CbwResp_FreeMessage(object);
}

static redisReplyObjectFunctions reader_functions = {
    .createString = create_string,
    .createArray = create_array,
    .createInteger = create_integer,
    .createNil = create_nil,
    .freeObject = free_object,
};

int
CbwRespDecoder_Init(cbw_resp_decoder_t *decoder,
                    const cbw_resp_limits_t *limits)
{
    memset(decoder, 0, sizeof(*decoder));
    decoder->limits = *limits;
    decoder->reader = redisReaderCreateWithFunctions(&reader_functions);
    if (decoder->reader == NULL) {
        return -1;
    }
    decoder->reader->privdata = decoder;
    return 0;
}

void
CbwRespDecoder_Finish(cbw_resp_decoder_t *decoder)
{
    if (decoder->reader != NULL) {
        redisReaderFree(decoder->reader);
        decoder->reader = NULL;
    }
}

int
CbwRespDecoder_Feed(cbw_resp_decoder_t *decoder, const char *bytes,
                    size_t size)
{
    const redisReader *reader = decoder->reader;

    if (reader->len - reader->pos + size > decoder->limits.input_max) {
        decoder->error = "the message is too long";
        return -1;
    }
    if (redisReaderFeed(decoder->reader, bytes, size) != REDIS_OK) {
        decoder->error = "out of memory";
        return -1;
    }
    return 0;
}

int
CbwRespDecoder_Next(cbw_resp_decoder_t *decoder, cbw_resp_message_t **message)
{
    void *reply = NULL;

    *message = NULL;
    if (redisReaderGetReply(decoder->reader, &reply) != REDIS_OK) {
        if (decoder->error == NULL) {
            decoder->error = "it is not RESP";
        }
        return -1;
    }
    *message = reply;
    return 0;
}

/* Connection. */

/* Updates the input of the account. Complete words are no longer in the
 * reader's buffer, but in the message. */
static void
update_account(cbw_resp_t *resp)
{
    const redisReader *reader = resp->decoder.reader;
    size_t buffered = reader != NULL ? reader->len - reader->pos : 0;

    if (resp->stream.account != NULL && CbwStream_IsOpen(&resp->stream)) {
        CbwMemoryAccount_SetInput(
            resp->stream.account,
            resp->partial > buffered ? resp->partial : buffered, CbwNet_Now());
    }
}

static void
decode(cbw_resp_t *resp)
{
    if (resp->decoding) {
        return;
    }
    resp->decoding = true;
    while (!resp->paused && CbwStream_IsOpen(&resp->stream)) {
        cbw_resp_message_t *message;
        if (CbwRespDecoder_Next(&resp->decoder, &message) != 0) {
            CbwStream_Pause(&resp->stream);
            if (resp->ops->on_malformed != NULL) {
                resp->ops->on_malformed(resp, resp->decoder.error);
            }
            else {
                CbwStream_Close(&resp->stream);
                resp->ops->on_close(resp, resp->decoder.error);
            }
            break;
        }
        if (message == NULL) {
            break;
        }
        resp->partial = 0; /* update_account counts the remaining input */
        resp->ops->on_message(resp, message);
        CbwResp_FreeMessage(message);
    }
    resp->decoding = false;
    update_account(resp);
}

static void
on_bytes(cbw_stream_t *stream, const char *bytes, size_t size)
{
    cbw_resp_t *resp = stream->context;

    if (CbwRespDecoder_Feed(&resp->decoder, bytes, size) != 0) {
        CbwStream_Pause(stream);
        if (resp->ops->on_malformed != NULL) {
            resp->ops->on_malformed(resp, resp->decoder.error);
        }
        else {
            CbwStream_Close(stream);
            resp->ops->on_close(resp, resp->decoder.error);
        }
        return;
    }
    resp->partial += size;
    decode(resp);
}

static void
on_close(cbw_stream_t *stream, const char *reason)
{
    cbw_resp_t *resp = stream->context;

    resp->ops->on_close(resp, reason);
}

static void
on_connected(cbw_stream_t *stream)
{
    cbw_resp_t *resp = stream->context;

    if (resp->ops->on_connected != NULL) {
        resp->ops->on_connected(resp);
    }
}

static void
on_drained(cbw_stream_t *stream)
{
    cbw_resp_t *resp = stream->context;

    if (resp->ops->on_drained != NULL) {
        resp->ops->on_drained(resp);
    }
}

static const cbw_stream_ops_t stream_ops = {
    .on_connected = on_connected,
    .on_bytes = on_bytes,
    .on_close = on_close,
    .on_drained = on_drained,
};

static int
init_resp(cbw_resp_t *resp, const cbw_resp_limits_t *limits,
          const cbw_resp_ops_t *ops, void *context)
{
    memset(resp, 0, sizeof(*resp));
    resp->stream.fd = -1;
    resp->ops = ops;
    resp->context = context;
    return CbwRespDecoder_Init(&resp->decoder, limits);
}

int
CbwResp_Accept(cbw_resp_t *resp, struct ev_loop *loop, int fd, const char *ip,
               const cbw_resp_limits_t *limits, const cbw_resp_ops_t *ops,
               void *context)
{
    if (init_resp(resp, limits, ops, context) != 0) {
        return -1;
    }
    CbwStream_Accept(&resp->stream, loop, fd, ip, &stream_ops, resp);
    return 0;
}

int
CbwResp_Connect(cbw_resp_t *resp, struct ev_loop *loop, const char *local_ip,
                const char *address, const cbw_resp_limits_t *limits,
                const cbw_resp_ops_t *ops, void *context, cbw_error_t *error)
{
    if (init_resp(resp, limits, ops, context) != 0) {
        return CbwError_Set(error, CBW_ERROR_MEMORY, "out of memory");
    }
    if (CbwStream_Connect(&resp->stream, loop, local_ip, address, NULL,
                          &stream_ops, resp, error) != 0) {
        CbwRespDecoder_Finish(&resp->decoder);
        return -1;
    }
    return 0;
}

void
CbwResp_Send(cbw_resp_t *resp, int count, const char *const *words,
             const size_t *sizes)
{
    char *bytes = NULL;
    long long size =
        redisFormatCommandArgv(&bytes, count, (const char **)words, sizes);

    if (size > 0) {
        CbwStream_Write(&resp->stream, bytes, (size_t)size);
        redisFreeCommand(bytes);
    }
}

void
CbwResp_SendError(cbw_resp_t *resp, const char *text)
{
    char line[256];
    int size = snprintf(line, sizeof(line), "-ERR %s\r\n", text);

    CbwStream_Write(&resp->stream, line, (size_t)size);
}

void
CbwResp_Reject(cbw_resp_t *resp, const char *reason)
{
    CbwResp_SendError(resp, reason);
    if (resp->stream.account != NULL) {
        CbwMemoryAccount_OnMessage(resp->stream.account, CBW_CLIENT_CLOSING,
                                   CbwNet_Now());
        CbwStream_CloseWhenRead(&resp->stream);
    }
    else {
        CbwStream_CloseWhenWritten(&resp->stream);
    }
}

void
CbwResp_Pause(cbw_resp_t *resp)
{
    resp->paused = true;
    CbwStream_Pause(&resp->stream);
}

void
CbwResp_Resume(cbw_resp_t *resp)
{
    resp->paused = false;
    CbwStream_Resume(&resp->stream);
    decode(resp);
}

void
CbwResp_Close(cbw_resp_t *resp)
{
    CbwStream_Close(&resp->stream);
}

void
CbwResp_Finish(cbw_resp_t *resp)
{
    CbwStream_Close(&resp->stream);
    CbwRespDecoder_Finish(&resp->decoder);
}

bool
CbwResp_IsOpen(const cbw_resp_t *resp)
{
    return CbwStream_IsOpen(&resp->stream);
}
