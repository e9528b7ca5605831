/* The protocol between daemons, and from the operators' tool to a daemon. */

const PEER_NAME_MAX = 48;
const PEER_ADDRESS_MAX = 32;
const PEER_KEY_MAX = 64;
const PEER_TOKEN_MAX = 96;
const PEER_TRACE_MAX = 40;
const PEER_REASON_MAX = 64;
const PEER_STATEMENT_MAX = 1048576;
const PEER_SHAPE_MAX = 4096;
const PEER_VALUES_MAX = 262144;
const PEER_CHANGES_MAX = 16;
const PEER_MEMBERS_MAX = 4096;
const PEER_RANKS_MAX = 6;
const PEER_TEXT_MAX = 4194304;
const PEER_STORE_KEY_MAX = 256;

struct peer_member {
    string name<PEER_NAME_MAX>;
    string data_centre<PEER_NAME_MAX>;
    string address<PEER_ADDRESS_MAX>;
    unsigned int state;
    unsigned hyper incarnation;
};

/* A probe of the receiver or, when `target` is set, a request that the
 * receiver probes that host. */
struct peer_probe_args {
    string target<PEER_NAME_MAX>;
    string target_address<PEER_ADDRESS_MAX>;
    hyper config_version;
    unsigned hyper config_digest; /* of what makes up that version */
    peer_member changes<PEER_CHANGES_MAX>;
};

struct peer_probe_result {
    bool reached;
    hyper config_version;
    unsigned hyper config_digest;
    peer_member changes<PEER_CHANGES_MAX>;
};

struct peer_statement_args {
    unsigned int verb;
    string database<PEER_NAME_MAX>;
    string kind<PEER_NAME_MAX>;
    opaque statement<PEER_STATEMENT_MAX>;
    string key<PEER_KEY_MAX>;
    string token<PEER_TOKEN_MAX>;
    string trace<PEER_TRACE_MAX>;
    hyper age;       /* microseconds */
    hyper remaining; /* microseconds until the deadline */
    unsigned hyper transaction;
    bool maybe_sent;
    string values<PEER_VALUES_MAX>; /* of the session */
    string shape<PEER_SHAPE_MAX>;   /* of a prepared statement */
    bool begins;
    bool reads_only;
    unsigned int rule;
    unsigned int rank;
    bool writes;
    hyper target; /* microseconds */
    hyper config_version;
    bool takes_over; /* the owner must take over: the holder was not reached */
};

struct peer_statement_result {
    unsigned int outcome;
    unsigned int cause;
    opaque result<PEER_STATEMENT_MAX>;
    string token<PEER_TOKEN_MAX>;
    string reason<PEER_REASON_MAX>;
    hyper retry_after; /* microseconds */
    string moved_to<PEER_NAME_MAX>;
    bool moved_takes; /* that host must take over, it does not hold yet */
    int admission<PEER_RANKS_MAX>; /* by rank, in 1/1000 */
};

struct peer_config_args {
    hyper since; /* version that the asker has; 0: none */
};

/* The text of `text_version`: `prefix` and `suffix` bytes of the text of `base`
 * around `text`. `base` is 0 when the whole text is sent. */
struct peer_config_result {
    hyper text_version;
    hyper base;
    unsigned int prefix;
    unsigned int suffix;
    opaque text<PEER_TEXT_MAX>;
};

struct peer_reach_args {
    string address<PEER_ADDRESS_MAX>;
    string database<PEER_NAME_MAX>;
    string endpoint<PEER_NAME_MAX>;
};

struct peer_members_result {
    peer_member members<PEER_MEMBERS_MAX>;
};

struct peer_text_args {
    string subject<PEER_KEY_MAX>;
};

struct peer_text_result {
    bool found;
    string text<PEER_TEXT_MAX>;
};

/* What the receiver knows of the registry beyond store revision `since`, or
 * all of it, with what was removed. Its result is that of a store call: status
 * 1 means that the items are all there is, 0 that they are changes. */
struct peer_registry_args {
    unsigned hyper since;
    bool all;
};

/* Asks the owner with `nonce` to give up its right in `database`. */
struct peer_give_up_args {
    string database<PEER_NAME_MAX>;
    unsigned hyper nonce;
};

/* The receiver will own `database`: it answers when it is ready. */
struct peer_prepare_args {
    string database<PEER_NAME_MAX>;
};

/* A call to the store that the asker cannot make itself. */
struct peer_store_args {
    unsigned int verb;
    string key<PEER_KEY_MAX>;
    unsigned hyper record_version;
    string value<PEER_STATEMENT_MAX>;
    bool unconditional;
};

struct peer_store_item {
    string key<PEER_STORE_KEY_MAX>;
    opaque value<PEER_TEXT_MAX>;
    bool removed;
    unsigned hyper record_version;
};

struct peer_store_result {
    unsigned int status;
    unsigned hyper record_version;
    string value<PEER_TEXT_MAX>;
    peer_store_item items<PEER_MEMBERS_MAX>;
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
    } = 1;
} = 0x20ca0b01;
