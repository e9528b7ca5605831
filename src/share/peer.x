/* The ONC RPC protocol between daemons, and between the operators' tool and a
 * daemon. Enumerations are sent as the numbers of the C type that a comment
 * names. Times are durations in microseconds. */

const PEER_NAME_MAX = 48;
const PEER_ADDRESS_MAX = 32;
/* Request key; also the key of a store call and the subject of a text. */
const PEER_KEY_MAX = 64;
const PEER_TOKEN_MAX = 96;
const PEER_TRACE_MAX = 40;
const PEER_REASON_MAX = 64;
/* Statement; also a value to be written to the store. As large as the largest
 * message of the platform's wire protocol. */
const PEER_STATEMENT_MAX = 1048576;
/* Result of a statement: all its rows, see Cbw_RESULT_MAX. */
const PEER_RESULT_MAX = 4194304;
/* As a prepared statement is itself sent in a message of that protocol. */
const PEER_SHAPE_MAX = 1048576;
const PEER_VALUES_MAX = 262144;
const PEER_CHANGES_MAX = 16;
/* Members of the fleet; also the items of a store result. */
const PEER_MEMBERS_MAX = 4096;
const PEER_RANKS_MAX = 6;
const PEER_TEXT_MAX = 4194304;
/* Buckets of members, by the hash of their names. */
const PEER_MEMBER_BUCKETS_MAX = 256;
/* Buckets of registry records, by the hash of their keys. */
const PEER_BUCKETS_MAX = 256;
/* Key of an item in a store result. */
const PEER_STORE_KEY_MAX = 256;
/* Workspaces in one exchange of quotas. */
const PEER_QUOTA_MAX = 256;

struct peer_member {
    string name<PEER_NAME_MAX>;
    string data_centre<PEER_NAME_MAX>;
    string address<PEER_ADDRESS_MAX>;
    unsigned int state; /* cbw_member_state_t */
    unsigned hyper incarnation;
};

/* A membership probe of the receiver or, when `target` is set, an indirect
 * probe: the receiver probes that host and returns whether it was reached. */
struct peer_probe_args {
    string target<PEER_NAME_MAX>;
    string target_address<PEER_ADDRESS_MAX>;
    hyper config_version; /* with a registry driver: the registry revision */
    unsigned hyper config_digest; /* of the records behind that version */
    peer_member changes<PEER_CHANGES_MAX>;
};

struct peer_probe_result {
    bool reached;
    hyper config_version;
    unsigned hyper config_digest;
    peer_member changes<PEER_CHANGES_MAX>;
};

struct peer_statement_args {
    unsigned int verb; /* cbw_verb_t */
    string database<PEER_NAME_MAX>;
    string kind<PEER_NAME_MAX>;
    opaque statement<PEER_STATEMENT_MAX>;
    string key<PEER_KEY_MAX>;
    string token<PEER_TOKEN_MAX>;
    string trace<PEER_TRACE_MAX>;
    hyper age;       /* accepted staleness */
    hyper remaining; /* until the deadline */
    unsigned hyper transaction; /* 0: none */
    bool maybe_sent; /* an endpoint may have received it */
    string values<PEER_VALUES_MAX>; /* session settings, "name value" a line */
    string shape<PEER_SHAPE_MAX>;   /* text of the prepared statement */
    bool begins;       /* the first statement of its transaction */
    bool reads_only;   /* its transaction only reads */
    unsigned int rule; /* cbw_read_consistency_t */
    unsigned int rank;
    bool writes;
    hyper target;         /* target latency of the operation; 0: none */
    hyper config_version; /* of the inventory that routed it */
    bool takes_over; /* the receiver must take the database over: its owner
                      * could not be reached, or named the receiver with
                      * moved_takes */
    string workspace<PEER_NAME_MAX>; /* of the caller; "": none */
    unsigned hyper id; /* for PEER_CANCEL, unique in the fleet; 0: none */
    bool dispatches; /* for the receiver as the read dispatcher of its region */
};

struct peer_statement_result {
    unsigned int outcome; /* cbw_outcome_t */
    unsigned int cause;   /* cbw_cause_t */
    opaque result<PEER_RESULT_MAX>;
    string token<PEER_TOKEN_MAX>;
    string reason<PEER_REASON_MAX>;
    hyper retry_after; /* 0: not suggested */
    string moved_to<PEER_NAME_MAX>; /* host to try instead; "": none */
    bool moved_takes; /* moved_to must take the database over: it does not own
                       * it yet */
    int admission<PEER_RANKS_MAX>; /* admitted share per rank, in 1/1000 */
    unsigned int refusal; /* cbw_refusal_t */
};

struct peer_config_args {
    hyper since; /* version that the requester has; 0: none */
};

/* The configuration text of `text_version`, as a delta to version `base`: the
 * first `prefix` bytes of the base text, `text`, and the last `suffix` bytes
 * of the base text. When `base` is 0, `text` is the whole text. */
struct peer_config_result {
    hyper text_version;
    hyper base;
    unsigned int prefix;
    unsigned int suffix;
    opaque text<PEER_TEXT_MAX>;
};

/* Asks whether the receiver can reach an endpoint. */
struct peer_reach_args {
    string address<PEER_ADDRESS_MAX>;
    string database<PEER_NAME_MAX>;
    string endpoint<PEER_NAME_MAX>;
};

struct peer_members_result {
    peer_member members<PEER_MEMBERS_MAX>;
};

/* Requests the members in the buckets whose digests differ from the
 * receiver's. The number of buckets is that of the digests. */
struct peer_members_diff_args {
    unsigned int digests<PEER_MEMBER_BUCKETS_MAX>;
};

struct peer_text_args {
    string subject<PEER_KEY_MAX>; /* EXPLAIN: a database; TRACE: a trace id */
};

struct peer_text_result {
    bool found;
    string text<PEER_TEXT_MAX>;
};

/* Requests the changes of the receiver's registry records, removals included,
 * after the requester's registry revision `since`, or with `all` those of all
 * revisions. In the peer_store_result, `record_version` is the receiver's
 * registry revision, and `status` is 0 for changes. `status` is 1 when the
 * items are instead all records and no removals. That is the answer when `all`
 * is not set and `since` is 0, or when the receiver may have dropped a removal
 * that is later than `since`. `status` is 2 when the items are a part of the
 * changes, those up to `record_version`: the next call with that as `since`
 * gets the others. `status` is 3, without items, while the receiver is loading
 * its own records. */
struct peer_registry_args {
    unsigned hyper since;
    bool all;
};

/* Requests the records in which receiver and requester differ: those whose
 * keys are in a bucket with another digest, and the configuration if it is
 * later than the requester's. The result is like that of peer_registry_args
 * for changes; with many differences it has those of some buckets. */
struct peer_registry_diff_args {
    hyper config_version; /* of the inventory */
    unsigned hyper digests<PEER_BUCKETS_MAX>;
};

/* Asks the owner with `nonce` to relinquish its tenure (a time-limited right
 * held in the store) in `database`. The result is whether it holds none
 * now. */
struct peer_give_up_args {
    string database<PEER_NAME_MAX>;
    unsigned hyper nonce;
};

/* Announces that the receiver will own `database`. The result is true once it
 * holds the tenure or a time limit has passed, and false at once when it
 * cannot prepare. */
struct peer_prepare_args {
    string database<PEER_NAME_MAX>;
};

/* A reading of the clock of a workspace's granter, see quota.h. */
struct peer_quota_stamp {
    unsigned hyper granter; /* nonce of its process; 0: none */
    hyper at;
};

/* Shares are in millionths of a workspace's limit, see cbw_quota_claim_t. */
struct peer_quota_claim {
    string workspace<PEER_NAME_MAX>;
    unsigned int want;
    unsigned int held;
    unsigned int lend;
    peer_quota_stamp stamp;
};

/* See cbw_quota_grant_t. */
struct peer_quota_grant {
    string workspace<PEER_NAME_MAX>;
    unsigned int grant;
    unsigned int counted;
    bool confirmed;
    peer_quota_stamp stamp;
};

struct peer_quota_name {
    string workspace<PEER_NAME_MAX>;
};

/* Claims of the owner of `database` to the granters at the receiver. Or, when
 * `asked` is not empty, a granter's request to the owner of `database` to lend
 * its shares of these workspaces. */
struct peer_quota_args {
    string database<PEER_NAME_MAX>;
    unsigned hyper term;   /* version of the claimant's tenure record */
    unsigned hyper number; /* grows with each message of an owner */
    peer_quota_claim claims<PEER_QUOTA_MAX>;
    peer_quota_name asked<PEER_QUOTA_MAX>;
    peer_quota_stamp stamp; /* of `asked` */
};

struct peer_quota_result {
    peer_quota_grant grants<PEER_QUOTA_MAX>; /* of the claims */
};

/* Asks the owner to take the request with `id` out of its queue, as its caller
 * left. The result is whether it was queued; if so, its PEER_STATEMENT call is
 * answered as not run. */
struct peer_cancel_args {
    string database<PEER_NAME_MAX>;
    unsigned hyper id;
};

/* An operator's order to the owner of `database`: its promotion may accept
 * losses with the log of `endpoint`. The result is whether it waits for such
 * an order, or why not. */
struct peer_accept_loss_args {
    string database<PEER_NAME_MAX>;
    string endpoint<PEER_NAME_MAX>;
};

/* A store call that the receiver makes on behalf of a host that cannot reach
 * the store. */
struct peer_store_args {
    unsigned int verb; /* store_verb_t */
    string key<PEER_KEY_MAX>;
    unsigned hyper record_version; /* expected, or the last one known */
    string value<PEER_STATEMENT_MAX>;
    bool unconditional; /* writes whatever the version is */
};

struct peer_store_item {
    string key<PEER_STORE_KEY_MAX>;
    opaque value<PEER_TEXT_MAX>;
    bool removed;
    unsigned hyper record_version;
};

struct peer_store_result {
    unsigned int status; /* cbw_store_status_t; see also peer_registry_args */
    unsigned hyper record_version;
    string value<PEER_TEXT_MAX>;
    peer_store_item items<PEER_MEMBERS_MAX>;
};

/* The question of a read dispatcher, see read_dispatch.h: a sample of the
 * database, and a lease on the endpoint. */
struct peer_sample_args {
    string database<PEER_NAME_MAX>;
    string endpoint<PEER_NAME_MAX>;
    unsigned hyper holder; /* of the lease: the dispatcher's nonce */
};

/* The fields of a cbw_read_offer_t. */
struct peer_sample_result {
    bool valid; /* the receiver is the owner, and can prove something */
    unsigned hyper owner;
    unsigned hyper term;
    unsigned hyper position_term;
    unsigned hyper position_index;
    hyper age;
    hyper lease;
    int connections;
    int slots;
    string moved_to<PEER_NAME_MAX>; /* unless `valid`: who to ask; "": none */
};

program CAROBWIND_PEER {
    version CAROBWIND_PEER_V1 {
        peer_probe_result PEER_PROBE(peer_probe_args) = 1;
        peer_statement_result PEER_STATEMENT(peer_statement_args) = 2;
        peer_config_result PEER_CONFIG(peer_config_args) = 3;
        bool PEER_REACH(peer_reach_args) = 4;
        peer_members_result PEER_MEMBERS(void) = 5;
        peer_text_result PEER_EXPLAIN(peer_text_args) = 6;
        peer_text_result PEER_TRACE(peer_text_args) = 7;
        peer_text_result PEER_STATUS(void) = 8;
        peer_text_result PEER_COUNTERS(void) = 9;
        bool PEER_DRAIN(void) = 10;
        peer_store_result PEER_STORE(peer_store_args) = 11;
        bool PEER_GIVE_UP(peer_give_up_args) = 12;
        bool PEER_PREPARE(peer_prepare_args) = 13;
        peer_store_result PEER_REGISTRY(peer_registry_args) = 14;
        peer_store_result PEER_REGISTRY_DIFF(peer_registry_diff_args) = 15;
        peer_members_result PEER_MEMBERS_DIFF(peer_members_diff_args) = 24;
        peer_quota_result PEER_QUOTA(peer_quota_args) = 16;
        bool PEER_CANCEL(peer_cancel_args) = 17;
        peer_sample_result PEER_SAMPLE(peer_sample_args) = 18;
        peer_text_result PEER_ACCEPT_LOSS(peer_accept_loss_args) = 19;
    } = 1;
} = 0x20ca0b01;
