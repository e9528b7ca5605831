/* ONC RPC (RFC 5531) over a non-blocking stream with record marking. Calls
 * and replies go both ways; many calls may be outstanding, and replies come in
 * any order by their transaction id (xid). A bit of the record mark that RFC
 * 5531 leaves to the length, which never grows so far, says that the record is
 * compressed. */
#ifndef CAROBWIND_SHARE_RPC_H
#define CAROBWIND_SHARE_RPC_H

#include <rpc/rpc.h>

#include "share/compression.h"
#include "share/stream.h"

/* Longest record, in bytes; longer ones close the connection. */
#define CbwRpc_RECORD_MAX ((size_t)8 * 1024 * 1024)

typedef struct cbw_rpc cbw_rpc_t;

typedef struct {
    void (*on_connected)(cbw_rpc_t *rpc); /* may be NULL */
    /* A call of `procedure`; its arguments are decoded from `arguments`.
     * Returns false when they are malformed. */
    bool (*on_call)(cbw_rpc_t *rpc, uint32_t xid, uint32_t procedure,
                    XDR *arguments);
    /* The reply to call `xid`; its result is decoded from `result`, which is
     * NULL when the call was refused. */
    void (*on_reply)(cbw_rpc_t *rpc, uint32_t xid, XDR *result);
    void (*on_close)(cbw_rpc_t *rpc, const char *reason);
} cbw_rpc_ops_t;

struct cbw_rpc {
    cbw_stream_t stream;
    const cbw_rpc_ops_t *ops;
    void *context;
    char *record; /* what has come of the present record */
    size_t record_size;
    size_t record_capacity;
    unsigned char mark[4]; /* of the present fragment */
    int mark_size;
    size_t fragment_remaining;
    bool last_fragment;
    bool compressed;      /* the present record is compressed */
    bool compress_output; /* records are sent compressed; set by the caller, or
                      by the first compressed record that comes */
    cbw_dictionary_t
        sent_dictionary; /* kept from the first compressed record on */
    cbw_dictionary_t received_dictionary; /* likewise */
};

void CbwRpc_Accept(cbw_rpc_t *rpc, struct ev_loop *loop, int fd,
                   const char *ip, const cbw_rpc_ops_t *ops, void *context);
/* Returns 0, or -1 with `error` set. */
int CbwRpc_Connect(cbw_rpc_t *rpc, struct ev_loop *loop, const char *local_ip,
                   const char *address, const cbw_rpc_ops_t *ops,
                   void *context, cbw_error_t *error);
/* Sends a call of the peer protocol. Returns the bytes sent; 0 when the
 * arguments cannot be encoded. */
size_t CbwRpc_Call(cbw_rpc_t *rpc, uint32_t xid, uint32_t procedure,
                   xdrproc_t encode, void *arguments);
/* Sends the result of call `xid`. Returns the bytes sent, or 0. */
size_t CbwRpc_Reply(cbw_rpc_t *rpc, uint32_t xid, xdrproc_t encode,
                    void *result);
/* Closes without a callback. Harmless when closed. */
void CbwRpc_Close(cbw_rpc_t *rpc);
/* Closes and frees what the connection owns; not from within its callbacks. */
void CbwRpc_Finish(cbw_rpc_t *rpc);
bool CbwRpc_IsOpen(const cbw_rpc_t *rpc);

/* Decodes one record and hands it to the table; the fuzz tests drive it. */
void CbwRpc_Dispatch(cbw_rpc_t *rpc, char *record, size_t size);

#endif
