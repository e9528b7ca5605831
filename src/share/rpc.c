#include "share/rpc.h"

#include <rpc/rpc_msg.h>
#include <stdlib.h>
#include <string.h>

#include "share/peer_rpc.h"

/* Flags of the record mark; the remaining bits are the fragment length. */
#define MARK_LAST_FRAGMENT 0x80000000U
#define MARK_COMPRESSED 0x40000000U
/* The record is compressed without a dictionary and does not update the
 * dictionaries. */
#define MARK_BULK 0x20000000U
#define MARK_FLAGS (MARK_LAST_FRAGMENT | MARK_COMPRESSED | MARK_BULK)
/* Longer records are compressed on all connections: lists of hundreds of
 * kilobytes would saturate the link of a small host, also within a data
 * centre. */
#define BULK_RECORD_MIN ((size_t)16 * 1024)
#define INITIAL_RECORD_CAPACITY 1024
#define INITIAL_ENCODE_SIZE 2048
/* A larger record buffer (in bytes) is freed after the record. */
#define RECORD_KEPT ((size_t)65536)

/* Encoding. */

typedef struct {
    struct rpc_msg message;
    xdrproc_t encode; /* encodes a call's arguments; unused for a reply */
    void *object;
} outgoing_t;

static bool
encode_into(char *bytes, size_t size, outgoing_t *outgoing, size_t *used)
{
    XDR xdr;
    bool ok;

    xdrmem_create(&xdr, bytes, (u_int)size, XDR_ENCODE);
    if (outgoing->message.rm_direction == CALL) {
        ok = xdr_callmsg(&xdr, &outgoing->message) &&
             outgoing->encode(&xdr, outgoing->object);
    }
    else {
        ok = xdr_replymsg(&xdr, &outgoing->message);
    }
    *used = xdr_getpos(&xdr);
    xdr_destroy(&xdr);
    return ok;
}

static size_t
write_record(cbw_rpc_t *rpc, char *bytes, size_t size, uint32_t flags)
{
    uint32_t mark = htonl((uint32_t)size | MARK_LAST_FRAGMENT | flags);

    memcpy(bytes, &mark, sizeof(mark));
    CbwStream_Write(&rpc->stream, bytes, size + 4);
    return size + 4;
}

/* Sends a long record, compressed without a dictionary. */
static size_t
send_bulk_record(cbw_rpc_t *rpc, char *bytes, size_t size)
{
    const cbw_dictionary_t none = {.size = 0};
    char *compressed = malloc(size + 4);
    size_t compressed_size =
        compressed != NULL
            ? CbwCompression_Compress(&none, bytes + 4, size, compressed + 4)
            : 0;
    size_t written =
        compressed_size > 0
            ? write_record(rpc, compressed, compressed_size, MARK_BULK)
            : write_record(rpc, bytes, size, 0);

    free(compressed);
    return written;
}

/* Sends a record, compressed if that is enabled and makes it smaller. Its
 * `size` bytes start at bytes + 4, after the space for the record mark. */
static size_t
send_record(cbw_rpc_t *rpc, char *bytes, size_t size)
{
    char *compressed;
    size_t compressed_size;
    size_t written;

    if (!rpc->compress_output) {
        return size >= BULK_RECORD_MIN ? send_bulk_record(rpc, bytes, size)
                                       : write_record(rpc, bytes, size, 0);
    }
    compressed = malloc(size + 4);
    compressed_size =
        compressed != NULL
            ? CbwCompression_Compress(&rpc->sent_dictionary, bytes + 4, size,
                                      compressed + 4)
            : 0;
    /* The first compressed record starts the remote end's dictionary. */
    if (compressed_size > 0) {
        CbwDictionary_Set(&rpc->sent_dictionary, bytes + 4, size);
        written =
            write_record(rpc, compressed, compressed_size, MARK_COMPRESSED);
    }
    else {
        if (rpc->sent_dictionary.size > 0) {
            CbwDictionary_Set(&rpc->sent_dictionary, bytes + 4, size);
        }
        written = write_record(rpc, bytes, size, 0);
    }
    free(compressed);
    return written;
}

/* Sends a message as one record of one fragment, retrying with a larger buffer
 * until the message fits. Returns the bytes sent, or 0. */
static size_t
send_message(cbw_rpc_t *rpc, outgoing_t *outgoing)
{
    for (size_t size = INITIAL_ENCODE_SIZE; size <= CbwRpc_RECORD_MAX;
         size *= 8) {
        char *bytes = malloc(size + 4);
        size_t written;
        size_t used;
        if (bytes == NULL) {
            return 0;
        }
        if (encode_into(bytes + 4, size, outgoing, &used)) {
            written = send_record(rpc, bytes, used);
            free(bytes);
            return written;
        }
        free(bytes);
    }
    return 0;
}

size_t
CbwRpc_Call(cbw_rpc_t *rpc, uint32_t xid, uint32_t procedure, xdrproc_t encode,
            void *arguments)
{
    outgoing_t outgoing = {.encode = encode, .object = arguments};

    outgoing.message.rm_xid = xid;
    outgoing.message.rm_direction = CALL;
    outgoing.message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    outgoing.message.rm_call.cb_prog = CAROBWIND_PEER;
    outgoing.message.rm_call.cb_vers = CAROBWIND_PEER_V1;
    outgoing.message.rm_call.cb_proc = procedure;
    outgoing.message.rm_call.cb_cred = _null_auth;
    outgoing.message.rm_call.cb_verf = _null_auth;
    return send_message(rpc, &outgoing);
}

static outgoing_t
accepted_reply(uint32_t xid, enum accept_stat status)
{
    outgoing_t outgoing = {0};

    outgoing.message.rm_xid = xid;
    outgoing.message.rm_direction = REPLY;
    outgoing.message.rm_reply.rp_stat = MSG_ACCEPTED;
    outgoing.message.acpted_rply.ar_verf = _null_auth;
    outgoing.message.acpted_rply.ar_stat = status;
    return outgoing;
}

size_t
CbwRpc_Reply(cbw_rpc_t *rpc, uint32_t xid, xdrproc_t encode, void *result)
{
    outgoing_t outgoing = accepted_reply(xid, SUCCESS);

    outgoing.message.acpted_rply.ar_results.proc = encode;
    outgoing.message.acpted_rply.ar_results.where = result;
    return send_message(rpc, &outgoing);
}

/* Decoding. */

static void
refuse_call(cbw_rpc_t *rpc, uint32_t xid, enum accept_stat status)
{
    outgoing_t outgoing = accepted_reply(xid, status);

    if (status == PROG_MISMATCH) {
        outgoing.message.acpted_rply.ar_vers.low = CAROBWIND_PEER_V1;
        outgoing.message.acpted_rply.ar_vers.high = CAROBWIND_PEER_V1;
    }
    send_message(rpc, &outgoing);
}

static void
dispatch_call(cbw_rpc_t *rpc, XDR *xdr, struct rpc_msg *message)
{
    const struct call_body *call = &message->rm_call;

    if (call->cb_prog != CAROBWIND_PEER) {
        refuse_call(rpc, message->rm_xid, PROG_UNAVAIL);
    }
    else if (call->cb_vers != CAROBWIND_PEER_V1) {
        refuse_call(rpc, message->rm_xid, PROG_MISMATCH);
    }
    else if (call->cb_proc < PEER_PROBE || call->cb_proc > PEER_MEMBERS_DIFF) {
        refuse_call(rpc, message->rm_xid, PROC_UNAVAIL);
    }
    else if (!rpc->ops->on_call(rpc, message->rm_xid, call->cb_proc, xdr)) {
        refuse_call(rpc, message->rm_xid, GARBAGE_ARGS);
    }
}

static void
dispatch_reply(cbw_rpc_t *rpc, XDR *xdr, const struct rpc_msg *message)
{
    bool ok = message->rm_reply.rp_stat == MSG_ACCEPTED &&
              message->acpted_rply.ar_stat == SUCCESS;

    rpc->ops->on_reply(rpc, message->rm_xid, ok ? xdr : NULL);
}

/* Whether the record is a call: the message type is the second 32-bit word. */
static bool
is_call(const char *record, size_t size)
{
    uint32_t direction;

    if (size < 8) {
        return false;
    }
    memcpy(&direction, record + 4, sizeof(direction));
    return ntohl(direction) == CALL;
}

/* Leaves the result in the stream, to be decoded by on_reply. */
static bool_t
skip_result(XDR *xdr, ...)
{
    (void)xdr;
    return TRUE;
}

void
CbwRpc_Dispatch(cbw_rpc_t *rpc, char *record, size_t size)
{
    char credentials[2][MAX_AUTH_BYTES];
    struct rpc_msg message;
    XDR xdr;

    memset(&message, 0, sizeof(message));
    xdrmem_create(&xdr, record, (u_int)size, XDR_DECODE);
    if (is_call(record, size)) {
        message.rm_call.cb_cred.oa_base = credentials[0];
        message.rm_call.cb_verf.oa_base = credentials[1];
        if (xdr_callmsg(&xdr, &message)) {
            dispatch_call(rpc, &xdr, &message);
        }
        else {
            CbwStream_Close(&rpc->stream);
            rpc->ops->on_close(rpc, "malformed call");
        }
    }
    else {
        message.acpted_rply.ar_verf.oa_base = credentials[0];
        message.acpted_rply.ar_results.proc = skip_result;
        if (xdr_replymsg(&xdr, &message)) {
            dispatch_reply(rpc, &xdr, &message);
        }
        else {
            CbwStream_Close(&rpc->stream);
            rpc->ops->on_close(rpc, "malformed reply");
        }
    }
    xdr_destroy(&xdr);
}

static int
append_record(cbw_rpc_t *rpc, const char *bytes, size_t size)
{
    size_t needed = rpc->record_size + size;
    size_t capacity =
        rpc->record_capacity ? rpc->record_capacity : INITIAL_RECORD_CAPACITY;
    char *record;

    if (needed > rpc->record_max) {
        return -1;
    }
    if (needed > rpc->record_capacity) {
        while (capacity < needed) {
            capacity *= 2;
        }
        record = realloc(rpc->record, capacity);
        if (record == NULL) {
            return -1;
        }
        rpc->record = record;
        rpc->record_capacity = capacity;
    }
    memcpy(rpc->record + rpc->record_size, bytes, size);
    rpc->record_size += size;
    return 0;
}

/* Reads the record mark, which may arrive in parts. Returns the number of
 * bytes consumed. */
static size_t
read_mark(cbw_rpc_t *rpc, const char *bytes, size_t size)
{
    size_t consumed = 0;
    uint32_t mark;

    while (consumed < size && rpc->mark_size < 4) {
        rpc->mark[rpc->mark_size++] = (unsigned char)bytes[consumed++];
    }
    if (rpc->mark_size == 4) {
        memcpy(&mark, rpc->mark, sizeof(mark));
        mark = ntohl(mark);
        rpc->last_fragment = (mark & MARK_LAST_FRAGMENT) != 0;
        rpc->compressed = (mark & MARK_COMPRESSED) != 0;
        rpc->bulk = (mark & MARK_BULK) != 0;
        rpc->fragment_remaining = mark & ~MARK_FLAGS;
    }
    return consumed;
}

static void
dispatch_compressed(cbw_rpc_t *rpc, const char *compressed, size_t size)
{
    const cbw_dictionary_t none = {.size = 0};
    bool bulk = rpc->bulk;
    size_t record_size;
    char *record = CbwCompression_Decompress(
        bulk ? &none : &rpc->received_dictionary, compressed, size,
        rpc->record_max, &record_size);

    if (record == NULL) {
        CbwStream_Close(&rpc->stream);
        rpc->ops->on_close(rpc, "malformed compressed record");
        return;
    }
    if (!bulk) {
        rpc->compress_output = true;
        CbwDictionary_Set(&rpc->received_dictionary, record, record_size);
    }
    CbwRpc_Dispatch(rpc, record, record_size);
    free(record);
}

static void
end_fragment(cbw_rpc_t *rpc)
{
    size_t size = rpc->record_size;

    rpc->mark_size = 0;
    if (!rpc->last_fragment) {
        return;
    }
    rpc->record_size = 0;
    rpc->received_bytes = size + sizeof(rpc->mark);
    if (rpc->compressed || rpc->bulk) {
        dispatch_compressed(rpc, rpc->record, size);
        return;
    }
    if (rpc->received_dictionary.size > 0) {
        CbwDictionary_Set(&rpc->received_dictionary, rpc->record, size);
    }
    CbwRpc_Dispatch(rpc, rpc->record, size);
}

static bool
may_handle(cbw_rpc_t *rpc)
{
    return rpc->ops->may_handle == NULL || rpc->ops->may_handle(rpc);
}

/* Handles received bytes up to the first deferred record. Returns the number
 * of bytes handled. */
static size_t
handle_bytes(cbw_rpc_t *rpc, const char *bytes, size_t size)
{
    size_t done = 0;

    rpc->handling = true;
    while (done < size && CbwStream_IsOpen(&rpc->stream) && may_handle(rpc)) {
        size_t consumed;
        if (rpc->mark_size < 4) {
            consumed = read_mark(rpc, bytes + done, size - done);
        }
        else {
            consumed = size - done < rpc->fragment_remaining
                           ? size - done
                           : rpc->fragment_remaining;
            if (append_record(rpc, bytes + done, consumed) != 0) {
                CbwStream_Close(&rpc->stream);
                rpc->ops->on_close(rpc, "record too long");
                break;
            }
            rpc->fragment_remaining -= consumed;
        }
        done += consumed;
        if (rpc->mark_size == 4 && rpc->fragment_remaining == 0) {
            end_fragment(rpc);
        }
    }
    rpc->handling = false;
    return done;
}

/* Frees the buffer of a large record that has been handled, and updates the
 * input of the account. */
static void
update_account(cbw_rpc_t *rpc)
{
    if (rpc->stream.account == NULL || !CbwStream_IsOpen(&rpc->stream)) {
        return;
    }
    if (rpc->record_size == 0 && rpc->record_capacity > RECORD_KEPT) {
        free(rpc->record);
        rpc->record = NULL;
        rpc->record_capacity = 0;
    }
    CbwMemoryAccount_SetInput(rpc->stream.account,
                              rpc->record_size + rpc->backlog_size +
                                  (size_t)rpc->mark_size,
                              CbwNet_Now());
}

static void
on_bytes(cbw_stream_t *stream, const char *bytes, size_t size)
{
    cbw_rpc_t *rpc = stream->context;
    size_t done = handle_bytes(rpc, bytes, size);

    if (done < size && CbwStream_IsOpen(stream)) {
        rpc->backlog = malloc(size - done);
        if (rpc->backlog == NULL) {
            abort();
        }
        memcpy(rpc->backlog, bytes + done, size - done);
        rpc->backlog_size = size - done;
        CbwStream_Pause(stream);
    }
    update_account(rpc);
}

void
CbwRpc_Continue(cbw_rpc_t *rpc)
{
    size_t done;

    if (rpc->backlog == NULL || rpc->handling ||
        !CbwStream_IsOpen(&rpc->stream)) {
        return;
    }
    done = handle_bytes(rpc, rpc->backlog, rpc->backlog_size);
    if (!CbwStream_IsOpen(&rpc->stream)) {
        return;
    }
    rpc->backlog_size -= done;
    memmove(rpc->backlog, rpc->backlog + done, rpc->backlog_size);
    if (rpc->backlog_size == 0) {
        free(rpc->backlog);
        rpc->backlog = NULL;
        CbwStream_Resume(&rpc->stream);
    }
    update_account(rpc);
}

static void
on_drained(cbw_stream_t *stream)
{
    CbwRpc_Continue(stream->context);
}

static void
on_close(cbw_stream_t *stream, const char *reason)
{
    cbw_rpc_t *rpc = stream->context;

    rpc->ops->on_close(rpc, reason);
}

static void
on_connected(cbw_stream_t *stream)
{
    cbw_rpc_t *rpc = stream->context;

    if (rpc->ops->on_connected != NULL) {
        rpc->ops->on_connected(rpc);
    }
}

static const cbw_stream_ops_t stream_ops = {
    .on_connected = on_connected,
    .on_bytes = on_bytes,
    .on_close = on_close,
    .on_drained = on_drained,
};

void
CbwRpc_Accept(cbw_rpc_t *rpc, struct ev_loop *loop, int fd, const char *ip,
              const cbw_rpc_ops_t *ops, void *context)
{
    memset(rpc, 0, sizeof(*rpc));
    rpc->ops = ops;
    rpc->context = context;
    rpc->record_max = CbwRpc_CALL_MAX;
    CbwStream_Accept(&rpc->stream, loop, fd, ip, &stream_ops, rpc);
}

int
CbwRpc_Connect(cbw_rpc_t *rpc, struct ev_loop *loop, const char *local_ip,
               const char *address, const cbw_rpc_ops_t *ops, void *context,
               cbw_error_t *error)
{
    memset(rpc, 0, sizeof(*rpc));
    rpc->ops = ops;
    rpc->context = context;
    rpc->record_max = CbwRpc_RECORD_MAX;
    return CbwStream_Connect(&rpc->stream, loop, local_ip, address, NULL,
                             &stream_ops, rpc, error);
}

void
CbwRpc_Close(cbw_rpc_t *rpc)
{
    CbwStream_Close(&rpc->stream);
}

void
CbwRpc_Finish(cbw_rpc_t *rpc)
{
    CbwStream_Close(&rpc->stream);
    free(rpc->record);
    rpc->record = NULL;
    free(rpc->backlog);
    rpc->backlog = NULL;
    CbwDictionary_Finish(&rpc->sent_dictionary);
    CbwDictionary_Finish(&rpc->received_dictionary);
}

bool
CbwRpc_IsOpen(const cbw_rpc_t *rpc)
{
    return CbwStream_IsOpen(&rpc->stream);
}
