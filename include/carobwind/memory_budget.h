/* Memory and descriptor limits of incoming connections: how much is read from
 * them, which of them wait, and which are closed.
 *
 * Load pattern: many clients send large messages at once, stop in the middle
 * of them, do not read their answers, or use up the descriptors.
 *
 * Each connection has an account of the bytes that are held for it. Small
 * messages are always read. A connection whose message is longer than
 * Cbw_MEMORY_SMALL needs a grant, which covers the message and its copies on
 * the way; while the budget does not allow one, the connection waits and is
 * not read from. Waiting connections get grants in order, first those of the
 * workspace with the least granted memory. A part of the budget is never
 * granted, so that small requests are always served.
 *
 * The module does no I/O, and the time is an argument. */
#ifndef CAROBWIND_MEMORY_BUDGET_H
#define CAROBWIND_MEMORY_BUDGET_H

#include "carobwind/list.h"
#include "carobwind/types.h"

/* Input of one message, in bytes, up to which no grant is needed. Ordinary
 * requests are shorter. */
#define Cbw_MEMORY_SMALL ((size_t)4096)
/* A grant, in bytes: a message of 1 MiB as input, as a queued statement, and
 * as output to an endpoint or a peer, whose buffer grows by doubling. */
#define Cbw_MEMORY_GRANT ((size_t)4 * 1024 * 1024)
/* Part of the budget that is never granted. */
#define Cbw_MEMORY_RESERVE_DIVISOR 4
/* Output of one connection, in bytes, above which no more is read from it. */
#define Cbw_MEMORY_OUTPUT_HIGH ((size_t)65536)

/* A connection is closed when its first message is not complete, a later one
 * is not complete, or its output makes no progress, for this long. Callers'
 * deadlines are at most 12 s. */
#define Cbw_MEMORY_FIRST_MESSAGE_TIME (10 * Cbw_SEC)
#define Cbw_MEMORY_MESSAGE_TIME (30 * Cbw_SEC)
#define Cbw_MEMORY_OUTPUT_TIME (30 * Cbw_SEC)
/* A connection that gets an error and is then closed may send the rest of its
 * message for this long: a close with unread input would discard the error. */
#define Cbw_MEMORY_CLOSING_TIME (2 * Cbw_SEC)
/* While others wait for a grant, a message with one must arrive at least at
 * this rate, in bytes per second, once this time has passed. */
#define Cbw_MEMORY_STALL_TIME (2 * Cbw_SEC)
#define Cbw_MEMORY_STALL_RATE 24576
/* When a new connection needs a descriptor and no connection is idle, one
 * whose transaction is idle for this long may be closed. */
#define Cbw_MEMORY_TRANSACTION_QUIET_TIME (1 * Cbw_SEC)

/* What bytes are held for. */
typedef enum {
    CBW_MEMORY_INPUT,      /* received and not yet handled */
    CBW_MEMORY_OUTPUT,     /* not yet written */
    CBW_MEMORY_STATEMENTS, /* requests in flight */
    CBW_MEMORY_SESSION,    /* session values and prepared statements */
    CBW_MEMORY_KIND_COUNT_,
} cbw_memory_kind_t;

/* The port to which a client connected. */
typedef enum {
    CBW_PORT_CALLERS,
    CBW_PORT_PEERS,
    CBW_PORT_HTTP, /* readiness and metrics */
    CBW_PORT_COUNT_,
} cbw_client_port_t;

/* Names of the members of cbw_client_port_t, in their order. */
extern const char *const CbwMemory_PortString[];

typedef enum {
    CBW_CLIENT_NEW, /* has not sent a complete message */
    CBW_CLIENT_IDLE,
    CBW_CLIENT_IN_TRANSACTION, /* otherwise idle */
    CBW_CLIENT_BUSY,           /* a request is outstanding */
    CBW_CLIENT_CLOSING,        /* its error is being delivered */
    CBW_CLIENT_GONE, /* the connection ended, its requests are outstanding */
} cbw_client_state_t;

/* Why a connection is closed. */
typedef enum {
    CBW_CLOSE_NONE,
    CBW_CLOSE_FIRST_MESSAGE, /* its first message timed out */
    CBW_CLOSE_MESSAGE,       /* a message timed out */
    CBW_CLOSE_OUTPUT,        /* it does not read */
    CBW_CLOSE_STALLED,       /* its message is slow and others wait */
    CBW_CLOSE_MEMORY,        /* the budget is used up */
    CBW_CLOSE_DESCRIPTORS,   /* a new connection needs its descriptor */
    CBW_CLOSE_DELIVERED,     /* the time to read its error has passed */
} cbw_close_reason_t;

/* Texts for the members of cbw_close_reason_t, in their order. */
extern const char *const CbwMemory_CloseString[];

/* The connections of one workspace. */
typedef struct {
    cbw_link_t link;
    char workspace[Cbw_NAME_MAX];
    size_t accounts;
    size_t granted; /* bytes */
} cbw_memory_share_t;

typedef struct {
    size_t limit;  /* bytes for all connections */
    size_t used;   /* sum of max(total, granted) over the accounts */
    size_t grants; /* number */
    cbw_link_t accounts[CBW_PORT_COUNT_]; /* in the order of opening */
    cbw_link_t waiting;                   /* for a grant, oldest first */
    cbw_link_t shares;
} cbw_memory_budget_t;

/* The account of one connection, embedded in it. */
typedef struct {
    cbw_link_t link;
    cbw_link_t waiting_link;
    cbw_memory_budget_t *budget;
    cbw_memory_share_t *share;
    cbw_client_port_t port;
    cbw_client_state_t state;
    size_t held[CBW_MEMORY_KIND_COUNT_];
    size_t total; /* sum of `held` */
    size_t granted;
    uint64_t served;          /* answers so far */
    cbw_time_t quiet_since;   /* last message or answer; initially: opened */
    cbw_time_t message_since; /* first byte of an incomplete message, or when
                                 reading it resumed after a wait; 0: none */
    cbw_time_t granted_at;
    size_t granted_input;    /* input held at that time */
    cbw_time_t output_since; /* when output was last written, or began to be
                                buffered; 0: none is */
    bool lazy_start;         /* the first message has no deadline */
    void *owner;             /* the connection; for the user of the module */
} cbw_memory_account_t;

/* Initializes a budget of `limit` bytes. */
void CbwMemoryBudget_Init(cbw_memory_budget_t *budget, size_t limit);
/* Frees what the budget owns. All accounts must have been closed. */
void CbwMemoryBudget_Finish(cbw_memory_budget_t *budget);
/* Opens the account of a new connection, in no workspace. */
void CbwMemoryAccount_Open(cbw_memory_account_t *account,
                           cbw_memory_budget_t *budget, cbw_client_port_t port,
                           cbw_time_t now, void *owner);
/* Closes an account and returns its grant. No effect when it is closed. */
void CbwMemoryAccount_Close(cbw_memory_account_t *account);
/* The connection has ended; its requests in flight keep their memory. No
 * effect when the account is closed. */
void CbwMemoryAccount_Detach(cbw_memory_account_t *account);
/* Moves the account to a workspace; "": none. */
void CbwMemoryAccount_SetWorkspace(cbw_memory_account_t *account,
                                   const char *workspace);
/* Sets the bytes that are held for a purpose. The grant ends when neither
 * input nor statements are large. */
void CbwMemoryAccount_Set(cbw_memory_account_t *account,
                          cbw_memory_kind_t kind, size_t bytes);
/* Sets the bytes of output, some of which may have been written. */
void CbwMemoryAccount_SetOutput(cbw_memory_account_t *account, size_t bytes,
                                bool progressed, cbw_time_t now);
/* Sets the bytes of input that remain: an incomplete message, or none. */
void CbwMemoryAccount_SetInput(cbw_memory_account_t *account, size_t bytes,
                               cbw_time_t now);
/* A message arrived in full or was answered. */
void CbwMemoryAccount_OnMessage(cbw_memory_account_t *account,
                                cbw_client_state_t state, cbw_time_t now);
void CbwMemoryAccount_OnAnswer(cbw_memory_account_t *account,
                               cbw_client_state_t state, cbw_time_t now);
/* Returns whether to continue reading from the connection. If not, it waits
 * for a grant, with which CbwMemoryBudget_NextToResume returns it. */
bool CbwMemoryAccount_MayRead(cbw_memory_account_t *account, cbw_time_t now);
/* Returns whether `bytes` more may be kept for an unlimited time, as session
 * values are. */
bool CbwMemoryAccount_MayKeep(const cbw_memory_account_t *account,
                              size_t bytes);
/* Returns a waiting connection that has just got a grant, or NULL. */
cbw_memory_account_t *CbwMemoryBudget_NextToResume(cbw_memory_budget_t *budget,
                                                   cbw_time_t now);
/* Returns the connection to close because the budget is exceeded: first those
 * without an outstanding request, of these the largest, then the least served
 * one. NULL: none. */
cbw_memory_account_t *
CbwMemoryBudget_NextToClose(const cbw_memory_budget_t *budget);
/* Returns the connection to close in favour of a new one on the port, or NULL:
 * first one whose error is being delivered, then one without a complete
 * message, then an idle one, then one in a quiet transaction; of these the
 * least served, then the longest idle one. */
cbw_memory_account_t *
CbwMemoryBudget_LeastServed(const cbw_memory_budget_t *budget,
                            cbw_client_port_t port, cbw_time_t now);
/* Returns why a connection is to be closed now, or CBW_CLOSE_NONE. */
cbw_close_reason_t CbwMemoryAccount_Judge(const cbw_memory_account_t *account,
                                          cbw_time_t now);

/* How many descriptors connections may use, by port. */
typedef struct {
    size_t ports[CBW_PORT_COUNT_];
} cbw_descriptor_shares_t;

/* Divides the descriptors that a process may open. Up to 200 are left for
 * files, half of the rest is for callers, a quarter for peers, a sixteenth for
 * readiness and metrics; what remains is for connections that this process
 * opens: to endpoints, peers and the store. */
void CbwMemory_DivideDescriptors(size_t limit,
                                 cbw_descriptor_shares_t *shares);

#endif
