/* The inventory: data centres, databases with their endpoints and connection
 * allowances, ranks and kinds of work.
 *
 * It comes from one of two sources: a text that operators write, which
 * CbwInventory_Parse parses and checks as a whole, or the platform's
 * configuration and the registrations of endpoints, which a registry driver
 * parses. Members marked "registry only" are set by the latter; after
 * CbwInventory_Parse they are 0. */
#ifndef CAROBWIND_INVENTORY_H
#define CAROBWIND_INVENTORY_H

#include "carobwind/error.h"
#include "carobwind/types.h"
#include "carobwind/workspace.h"

/* What must be confirmed before a write is acknowledged. A level includes
 * those before it. */
typedef enum {
    /* Only the primary's answer. For comparison in benchmarks. */
    CBW_CONFIRM_NONE,
    CBW_CONFIRM_TERM,     /* a majority was still in the primary's term */
    CBW_CONFIRM_POSITION, /* a majority holds the write */
} cbw_confirm_level_t;

/* Consistency level of a read: which commits it must see. */
typedef enum {
    CBW_READ_SESSION, /* those of its session, and others older than `age` */
    CBW_READ_BOUNDED, /* all older than `age` */
    CBW_READ_LATEST,  /* all acknowledged before it; linearizable */
} cbw_read_consistency_t;

/* Name of each cbw_read_consistency_t. */
extern const char *const CbwInventory_ConsistencyString[];

/* Name of each cbw_confirm_level_t, as used in the inventory. */
extern const char *const CbwInventory_ConfirmString[];

typedef struct {
    char name[Cbw_NAME_MAX];
    char region[Cbw_NAME_MAX];
} cbw_data_centre_t;

typedef struct {
    char name[Cbw_NAME_MAX];
    char data_centre[Cbw_NAME_MAX];
    char address[Cbw_ADDRESS_MAX]; /* "ip:port" */
    int connections;               /* allowance for all hosts together */
    int slots;                     /* statements that it runs at once */
    bool leaving;                  /* is being drained: receives no new work */
    /* When this host learned that it is leaving; 0: unknown (registry only).
     */
    cbw_time_t leaving_since;
    /* Its registration names it as the primary (registry only). */
    bool reports_primary;
    /* When this incarnation started, by the endpoint's clock; 0: unknown
     * (registry only). */
    int64_t started_at;
} cbw_endpoint_t;

/* A database group: a primary and its replicas. */
typedef struct {
    char name[Cbw_NAME_MAX];
    /* Connection allowance per endpoint (registry only); 0: each endpoint has
     * its own. */
    int connections;
    /* A replica holds a commit before it is acknowledged (registry only). */
    bool synchronous;
    /* Data centre to which the owner belongs, and when it last changed, or 0;
     * see CbwRegions_SetHomes (registry only). "": that of the first endpoint.
     */
    char home[Cbw_NAME_MAX];
    cbw_time_t home_moved_at;
    int endpoint_count;
    cbw_endpoint_t endpoints[Cbw_ENDPOINTS_MAX];
} cbw_database_t;

/* A priority class. Ranks are in the order of the text, most urgent first. */
typedef struct {
    char name[Cbw_NAME_MAX];
    /* Guaranteed share of the dispatches, also while more urgent ranks are
     * overloaded. */
    int floor_percent;
} cbw_rank_t;

/* A kind of work, which a request names, and how its requests are handled. */
typedef struct {
    char name[Cbw_NAME_MAX];
    int rank; /* index into ranks */
    bool writes;
    cbw_confirm_level_t confirm;
    cbw_time_t age;      /* maximum age of the data read; Cbw_NEVER: any */
    cbw_time_t deadline; /* default, from the arrival of a request */
    /* The only database it is valid for (registry only); "": any. */
    char database[Cbw_NAME_MAX];
    cbw_read_consistency_t rule; /* how recent data must be (registry only) */
    /* Target latency of the whole operation (registry only); 0: none. */
    cbw_time_t target;
    /* Its callers need no key, and belong to no workspace (registry only). */
    bool is_public;
} cbw_kind_t;

/* A parsed inventory. Owns its arrays. Databases are sorted by name. */
typedef struct {
    int64_t version; /* of the record in the store; 0: not from the store */
    cbw_data_centre_t *data_centres;
    size_t data_centre_count;
    cbw_database_t *databases;
    size_t database_count;
    cbw_rank_t ranks[Cbw_RANKS_MAX];
    size_t rank_count;
    cbw_kind_t *kinds;
    size_t kind_count;
    bool kinds_sorted; /* by name (registry only) */
    /* An open transaction that is idle for longer may be rolled back (registry
     * only); 0: the default. */
    cbw_time_t transaction_idle_timeout;
    /* Sorted by name, and the keys by hash (registry only). Without
     * workspaces, callers need no keys. */
    cbw_workspace_t *workspaces;
    size_t workspace_count;
    cbw_workspace_key_t *keys;
    size_t key_count;
} cbw_inventory_t;

/* Parses and checks `text`. Adds each problem to `findings` with `source` and
 * its line. Returns 0 when there is none, else -1, and leaves `inventory`
 * empty. `inventory` need not be initialised; the caller releases it with
 * CbwInventory_Finish. */
int CbwInventory_Parse(cbw_inventory_t *inventory, const char *text,
                       const char *source, cbw_findings_t *findings);
/* Frees what the inventory owns and leaves it empty. */
void CbwInventory_Finish(cbw_inventory_t *inventory);

/* Look-ups by name. Return NULL when there is none, else an item that the
 * inventory owns. */
const cbw_database_t *
CbwInventory_FindDatabase(const cbw_inventory_t *inventory, const char *name);
const cbw_kind_t *CbwInventory_FindKind(const cbw_inventory_t *inventory,
                                        const char *name);
const cbw_data_centre_t *
CbwInventory_FindDataCentre(const cbw_inventory_t *inventory,
                            const char *name);

/* Returns the data centre to which the owner of a database belongs; "" when
 * the database has no endpoints and never had. */
const char *CbwInventory_Home(const cbw_database_t *database);

/* Returns a workspace by its name, or by one of its keys. NULL: there is none.
 */
const cbw_workspace_t *
CbwInventory_FindWorkspace(const cbw_inventory_t *inventory, const char *name);
const cbw_workspace_t *
CbwInventory_FindWorkspaceByKey(const cbw_inventory_t *inventory,
                                cbw_key_hash_t hash);

/* Parses a duration such as "250ms", "2s" or "5m"; "any" is Cbw_NEVER. Returns
 * -1 when it is malformed or above a million units. */
cbw_time_t CbwInventory_ParseDuration(const char *text);

/* Compares two inventories and calls `report` with one line for each item that
 * was added ("+"), removed ("-") or changed ("~"). */
void CbwInventory_Diff(const cbw_inventory_t *before,
                       const cbw_inventory_t *after,
                       void (*report)(void *context, const char *line),
                       void *context);

#endif
