/* Event counters of a process, and their Prometheus text format. */
#ifndef CAROBWIND_COUNTER_H
#define CAROBWIND_COUNTER_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
    CBW_COUNTER_REQUESTS,
    CBW_COUNTER_DONE,
    CBW_COUNTER_NOTRUN,           /* did not run and never will */
    CBW_COUNTER_UNKNOWN,          /* may or may not have run */
    CBW_COUNTER_REFUSED_AT_ENTRY, /* by admission control */
    CBW_COUNTER_REFUSED_BY_OWNER, /* the queue was too long */
    CBW_COUNTER_EXPIRED_IN_QUEUE,
    /* Refused by an owner, by cause (see cbw_refusal_t), or by an entry that
     * finds no owner. */
    CBW_COUNTER_REFUSED_QUOTA,
    CBW_COUNTER_REFUSED_NO_CAPACITY,
    CBW_COUNTER_REFUSED_NO_ENDPOINT,
    CBW_COUNTER_CANCELLED_IN_QUEUE, /* the caller left */
    CBW_COUNTER_MALFORMED,
    CBW_COUNTER_READS_PRIMARY,
    CBW_COUNTER_READS_REPLICA,
    CBW_COUNTER_READS_DISPATCHED, /* sent by a read dispatcher */
    /* Reads that a read dispatcher returned for the owner. */
    CBW_COUNTER_READS_HANDED_BACK,
    CBW_COUNTER_SAMPLES_ASKED, /* of owners */
    /* Requests sent to endpoints, by where those are from the host that sent
     * them; without regions, all are in its region. */
    CBW_COUNTER_SENT_DATA_CENTRE,
    CBW_COUNTER_SENT_REGION,
    CBW_COUNTER_SENT_OUTSIDE,
    /* Reads that left the region, by reason: see cbw_offload_reason_t. */
    CBW_COUNTER_LEFT_NO_ENDPOINT,
    CBW_COUNTER_LEFT_BEHIND,
    CBW_COUNTER_LEFT_QUEUE,
    CBW_COUNTER_WRITES,
    CBW_COUNTER_REPLICA_ANSWERS_REJECTED,
    CBW_COUNTER_FORWARDED,
    CBW_COUNTER_FORWARD_RETRIES,
    CBW_COUNTER_RETRIES,
    CBW_COUNTER_RETRIES_DENIED,
    CBW_COUNTER_CALLS_TIMED_OUT,
    CBW_COUNTER_KEYS_SETTLED,
    CBW_COUNTER_CONFIRMATION_ROUNDS,
    CBW_COUNTER_STATE_CALLS,
    CBW_COUNTER_PROMOTIONS_STARTED,
    CBW_COUNTER_PROMOTIONS_WON,
    CBW_COUNTER_PROMOTIONS_LOST,
    /* Promotions that waited for a better log (see cbw_pool_t), operators'
     * orders to end that wait, promotions of endpoints that were known to lack
     * acknowledged entries, and those that restored discarded entries. */
    CBW_COUNTER_VALID_LOG_WAITS,
    CBW_COUNTER_LOSSES_ACCEPTED,
    CBW_COUNTER_KNOWN_LOSSES,
    CBW_COUNTER_DISCARDED_LOGS_PROMOTED,
    CBW_COUNTER_ORDERS_CANCELLED, /* promotion requests without a reply */
    CBW_COUNTER_SWAPS_UNANSWERED, /* of the tenure record */
    /* Run by an endpoint, but not acknowledged, as another one may have been
     * promoted. */
    CBW_COUNTER_COMMITS_SUPERSEDED,
    CBW_COUNTER_CONNECTIONS_OPENED,
    CBW_COUNTER_CONNECTIONS_LOST,
    /* Replies that a prepared statement is unknown, though it was prepared on
     * the same connection. */
    CBW_COUNTER_STATEMENTS_UNKNOWN,
    /* Replies after which an endpoint reports an open transaction on a
     * connection that has none, or none on a connection that has one. */
    CBW_COUNTER_TRANSACTION_MISMATCHES,
    /* Opened though one of another workspace was idle. */
    CBW_COUNTER_CONNECTIONS_OPENED_FOR_WORKSPACE,
    /* Closed while idle, to make room for one of another workspace. */
    CBW_COUNTER_CONNECTIONS_CLOSED_FOR_WORKSPACE,
    CBW_COUNTER_STORE_CALLS,
    CBW_COUNTER_STORE_FAILURES,
    CBW_COUNTER_STORE_THROUGH_PEERS, /* store calls relayed by a peer */
    /* Store calls failed at once, as the store did not answer recent ones. */
    CBW_COUNTER_STORE_HELD_BACK,
    CBW_COUNTER_PEER_MESSAGES,
    CBW_COUNTER_PEER_BYTES,
    /* Bytes sent to peers, by kind of message. */
    CBW_COUNTER_PEER_BYTES_STATEMENTS,
    CBW_COUNTER_PEER_BYTES_PROBES,
    CBW_COUNTER_PEER_BYTES_MEMBERS,
    CBW_COUNTER_PEER_BYTES_REGISTRY,
    CBW_COUNTER_PEER_BYTES_OTHER,
    CBW_COUNTER_STORE_BYTES_READ, /* in the bodies of responses */
    CBW_COUNTER_PROBES,
    CBW_COUNTER_CONFIG_APPLIED,
    CBW_COUNTER_CONFIG_FETCHED,
    CBW_COUNTER_RECORDS_UNUSABLE, /* store records that were skipped */
    CBW_COUNTER_SESSIONS,
    CBW_COUNTER_KINDS_REFUSED,     /* sessions that named an unknown kind */
    CBW_COUNTER_KEYS_REFUSED,      /* sessions with an unknown key */
    CBW_COUNTER_SESSIONS_REVOKED,  /* their kind or key was removed */
    CBW_COUNTER_WORKSPACE_UNKNOWN, /* requests of removed workspaces */
    CBW_COUNTER_TRANSACTIONS,
    CBW_COUNTER_QUOTA_LENT,     /* shares newly lent */
    CBW_COUNTER_QUOTA_BORROWED, /* shares newly borrowed */
    CBW_COUNTER_QUOTA_MESSAGES, /* calls between owners and granters */
    /* Connections that other processes opened and this one closed, by cause
     * (cbw_close_reason_t). */
    CBW_COUNTER_CLIENTS_CLOSED_SLOW,
    CBW_COUNTER_CLIENTS_CLOSED_UNREAD,
    CBW_COUNTER_CLIENTS_CLOSED_MEMORY,
    CBW_COUNTER_CLIENTS_CLOSED_DESCRIPTORS,
    CBW_COUNTER_CLIENTS_CLOSED_DELIVERED, /* did not close after an error */
    CBW_COUNTER_MESSAGES_TOO_LARGE,
    CBW_COUNTER_SESSION_DATA_REFUSED, /* no memory for values, statements */
    CBW_COUNTER_ACCEPTS_PAUSED,       /* no descriptor was available */
    CBW_COUNTER_COUNT_,
} cbw_counter_id_t;

/* Metric name of each cbw_counter_id_t, without the "carobwind_" prefix. */
extern const char *const CbwCounter_String[];

typedef struct {
    uint64_t values[CBW_COUNTER_COUNT_];
} cbw_counters_t;

/* Adds `amount` to a counter. Does nothing when `counters` is NULL. */
void CbwCounter_Add(cbw_counters_t *counters, cbw_counter_id_t id,
                    uint64_t amount);
/* Writes all counters in the Prometheus text format to `text`, which holds
 * `size` bytes. Output that does not fit is truncated. Returns the length
 * written, without the terminating NUL. */
size_t CbwCounter_Format(const cbw_counters_t *counters, char *text,
                         size_t size);

#endif
