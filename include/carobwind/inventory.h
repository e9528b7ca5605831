/* The operators' text: places, services, endpoints and connection allowances,
 * and the rules on top.  Parsed and checked as a whole. */
#ifndef CAROBWIND_INVENTORY_H
#define CAROBWIND_INVENTORY_H

#include "carobwind/error.h"
#include "carobwind/types.h"

/* What must be proved before a write is acknowledged. */
typedef enum {
    CBW_CONFIRM_NONE,     /* the primary's answer is enough (baseline only) */
    CBW_CONFIRM_TERM,     /* the primary was not superseded */
    CBW_CONFIRM_POSITION, /* a majority holds the write */
} cbw_confirm_level_t;

/* Which commits a read must see. */
typedef enum {
    CBW_READ_SESSION, /* the session's own, others up to the allowed age */
    CBW_READ_BOUNDED, /* those older than the allowed age */
    CBW_READ_LATEST,  /* all that were acknowledged before it */
} cbw_read_consistency_t;

/* Names of the members of cbw_read_consistency_t, in their order. */
extern const char *const CbwInventory_ConsistencyString[];

/* Names of the members of cbw_confirm_level_t, in their order. */
extern const char *const CbwInventory_ConfirmString[];

typedef struct {
    char name[Cbw_NAME_MAX];
    char region[Cbw_NAME_MAX];
} cbw_data_centre_t;

typedef struct {
    char name[Cbw_NAME_MAX];
    char data_centre[Cbw_NAME_MAX];
    char address[Cbw_ADDRESS_MAX]; /* "ip:port" */
    int connections;               /* allowance of the whole fleet */
    int slots;                     /* statements it runs at once */
    bool leaving;                  /* receives no new work */
    bool reports_primary;          /* registered itself as the primary */
    int64_t born; /* start of this incarnation, in its own time; 0: unknown */
} cbw_endpoint_t;

typedef struct {
    char name[Cbw_NAME_MAX];
    int connections;  /* allowance at each endpoint; 0: they name their own */
    bool synchronous; /* a commit is kept by a replica before its answer */
    int endpoint_count;
    cbw_endpoint_t endpoints[Cbw_ENDPOINTS_MAX];
} cbw_database_t;

/* Ranks are urgent first, in the order of the text. */
typedef struct {
    char name[Cbw_NAME_MAX];
    int floor_percent; /* share kept while more urgent work floods in */
} cbw_rank_t;

typedef struct {
    char name[Cbw_NAME_MAX];
    int rank; /* index into ranks */
    bool writes;
    cbw_confirm_level_t confirm;
    cbw_time_t age;      /* oldest data a read accepts; Cbw_NEVER: any */
    cbw_time_t deadline; /* when the caller names none */
    char database[Cbw_NAME_MAX]; /* the only one it is for; "": any */
    cbw_read_consistency_t rule;
    cbw_time_t target; /* aim of the whole operation; 0: none */
} cbw_kind_t;

/* Owns its arrays. Databases are sorted by name. */
typedef struct {
    int64_t version; /* of the store; 0 when not from the store */
    cbw_data_centre_t *data_centres;
    size_t data_centre_count;
    cbw_database_t *databases;
    size_t database_count;
    cbw_rank_t ranks[Cbw_RANKS_MAX];
    size_t rank_count;
    cbw_kind_t *kinds;
    size_t kind_count;
    cbw_time_t
        transaction_idle_timeout; /* then it may be rolled back; 0: default */
} cbw_inventory_t;

/* Parses `text`. Every finding is added to `findings` under `place` with its
 * line. Returns 0 when there was none; else -1, and `inventory` is empty.
 * `inventory` needs no init and is finished with CbwInventory_Finish. */
int CbwInventory_Parse(cbw_inventory_t *inventory, const char *text,
                       const char *place, cbw_findings_t *findings);
void CbwInventory_Finish(cbw_inventory_t *inventory);

/* Look-ups by name; NULL when there is none. The inventory keeps ownership. */
const cbw_database_t *
CbwInventory_FindDatabase(const cbw_inventory_t *inventory, const char *name);
const cbw_kind_t *CbwInventory_FindKind(const cbw_inventory_t *inventory,
                                        const char *name);
const cbw_data_centre_t *
CbwInventory_FindDataCentre(const cbw_inventory_t *inventory,
                            const char *name);

/* Parses "250ms", "2s", "5m", "any". Returns -1 when it is no duration. */
cbw_time_t CbwInventory_ParseDuration(const char *text);

/* Calls `report` for each line that differs between two inventories. */
void CbwInventory_Diff(const cbw_inventory_t *before,
                       const cbw_inventory_t *after,
                       void (*report)(void *context, const char *line),
                       void *context);

#endif
