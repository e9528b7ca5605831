/* ONC RPC (RFC 5531) over a non-blocking stream with record marking. Either
 * end may call the other. Many calls may be in flight; replies come in any
 * order and are matched by transaction id (xid). The two bits below the
 * highest one of the record mark flag a compressed record, with or without
 * the connection's dictionary: RFC 5531 makes them part of the fragment
 * length, which never gets that large here. */
#ifndef CAROBWIND_SHARE_RPC_H
#define CAROBWIND_SHARE_RPC_H

#include <rpc/rpc.h>

#include "share/compression.h"
#include "share/stream.h"

/* Maximum size of a record, in bytes; a larger one closes the connection. */
#define CbwRpc_RECORD_MAX ((size_t)8 * 1024 * 1024)
/* Maximum size of a record on a connection that a peer opened: a statement
 * with its prepared text, of up to 1 MiB each, and its session's values. */
#define CbwRpc_CALL_MAX ((size_t)3 * 1024 * 1024)

typedef struct cbw_rpc cbw_rpc_t;

typedef struct {
    void (*on_connected)(cbw_rpc_t *rpc); /* may be NULL */
    /* A call of `procedure` was received. The callback decodes its arguments
     * from `arguments` and returns false when they are malformed. */
    bool (*on_call)(cbw_rpc_t *rpc, uint32_t xid, uint32_t procedure,
                    XDR *arguments);
    /* The reply to call `xid` was received. The callback decodes the result
     * from `result`, which is NULL when the remote end rejected the call. */
    void (*on_reply)(cbw_rpc_t *rpc, uint32_t xid, XDR *result);
    /* The connection was closed by the remote end or by an error. */
    void (*on_close)(cbw_rpc_t *rpc, const char *reason);
    /* Whether the next record may be handled. If not, it is deferred until
     * CbwRpc_Continue. NULL: always. */
    bool (*may_handle)(cbw_rpc_t *rpc);
} cbw_rpc_ops_t;

struct cbw_rpc {
    cbw_stream_t stream;
    const cbw_rpc_ops_t *ops;
    void *context;
    size_t record_max;
    char *record; /* received part of the current record */
    size_t record_size;
    size_t record_capacity;
    size_t received_bytes; /* on the wire, of the record being dispatched */
    unsigned char mark[4]; /* record mark of the current fragment */
    int mark_size;
    size_t fragment_remaining;
    bool last_fragment;
    bool compressed;      /* the current record is compressed */
    bool bulk;            /* it is compressed without the dictionary */
    bool compress_output; /* compress records that are sent; set by the user of
                             the connection, or when the first compressed
                             record is received */
    char *backlog;        /* input from the first deferred record on */
    size_t backlog_size;
    bool handling; /* guards against recursion from callbacks */
    cbw_dictionary_t sent_dictionary;     /* set from the first compressed
                                             record on */
    cbw_dictionary_t received_dictionary; /* likewise */
};

/* Takes ownership of an accepted socket. */
void CbwRpc_Accept(cbw_rpc_t *rpc, struct ev_loop *loop, int fd,
                   const char *ip, const cbw_rpc_ops_t *ops, void *context);
/* Starts connecting. Returns 0, or -1 with `error` set. */
int CbwRpc_Connect(cbw_rpc_t *rpc, struct ev_loop *loop, const char *local_ip,
                   const char *address, const cbw_rpc_ops_t *ops,
                   void *context, cbw_error_t *error);
/* Sends a call of the peer protocol (peer.x). Returns the bytes sent, or 0
 * when the arguments could not be encoded. */
size_t CbwRpc_Call(cbw_rpc_t *rpc, uint32_t xid, uint32_t procedure,
                   xdrproc_t encode, void *arguments);
/* Sends the result of call `xid`. Returns the bytes sent, or 0 when the result
 * could not be encoded. */
size_t CbwRpc_Reply(cbw_rpc_t *rpc, uint32_t xid, xdrproc_t encode,
                    void *result);
/* Resumes handling the records that may_handle has deferred. */
void CbwRpc_Continue(cbw_rpc_t *rpc);
/* Closes the connection without calling on_close. No effect when it is
 * closed already. */
void CbwRpc_Close(cbw_rpc_t *rpc);
/* Closes the connection and frees what it owns. Must not be called from its
 * callbacks. */
void CbwRpc_Finish(cbw_rpc_t *rpc);
bool CbwRpc_IsOpen(const cbw_rpc_t *rpc);

/* Decodes an uncompressed record and calls on_call or on_reply. Public for the
 * fuzz tests. */
void CbwRpc_Dispatch(cbw_rpc_t *rpc, char *record, size_t size);

#endif
