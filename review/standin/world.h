/* A small world for the cases of the review: one process that plays the
 * platform (its metadata store and its promotion service), the backends of one
 * service, and clients, all on loopback addresses and on the real clock. It
 * starts the daemons with the command of the deploy file and ends them.
 *
 * It follows the users' pages; where they are silent it behaves soundly. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HOSTS_MAX 8
#define BACKENDS_MAX 8

typedef int64_t ms_t;

/* Event loop. */
ms_t now_ms(void); /* since the start of the world */
void after(ms_t delay, void (*function)(void *), void *argument);
void run_until(ms_t end);

/* Writes a line to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* A TCP connection. */
typedef struct connection {
    int fd;
    bool connecting;
    bool held; /* nothing is read: what arrives waits */
    bool closed;
    char peer_ip[16];
    char *in;
    size_t in_size, in_capacity;
    char *out;
    size_t out_size, out_capacity;
    void *owner;
    void (*on_input)(struct connection *);
    void (*on_closed)(struct connection *);
    struct connection *next;
} connection_t;

/* The platform's metadata store. */
typedef struct {
    bool silent; /* it answers nothing */
    /* Called before a transaction is carried out with the first key and its
     * value. Returns whether the answer is lost. */
    bool (*loses_answer)(const char *host_ip, const char *key,
                         const char *value);
} store_control_t;
extern store_control_t store_control;

void store_put(const char *key, const char *value);
void store_delete(const char *key);
/* The host that the record of the service names as its owner; "": none. The
 * record is the project's own (CbwTenure_FormatRecord); cases read it only to
 * choose the host to which a disruption happens. */
const char *store_holder(void);

/* The promotion service. */
typedef struct {
    /* Orders of this host are held up on the way; "": of none. */
    char cut_host_ip[16];
    ms_t promote_ms;
} cloud_control_t;
extern cloud_control_t cloud_control;
void cloud_release(void); /* ends the cut */

typedef struct {
    ms_t at;
    char holder[64];
    char backend[64];
    uint64_t fence;
    int result;
} order_t;
extern order_t orders[1000];
extern int order_count;

/* Backends. */
typedef struct {
    uint64_t term, number;
    char item[64];
    char data[4096];
    char id[64]; /* of the statement that committed it */
} entry_t;

typedef struct {
    char id[32];
    char ip[16];
    char zone[32];
    bool primary;
    bool dark; /* answers nothing, as after a crash */
    bool draining;
    bool deaf; /* receives nothing from the primary */
    uint64_t term;
    entry_t *log;
    size_t received, applied, capacity;
    size_t receiving; /* on the way to it */
    int busy;
    struct operation *queue, *queue_last;
    int queued;
    ms_t born;
    int sequence;
    int listener;
    int connections;
} backend_t;
extern backend_t backends[BACKENDS_MAX];
extern int backend_count;
extern char service_name[64];

/* Starts one more backend, a replica that has all that the primary has. */
backend_t *backend_add(void);
void backend_register(backend_t *backend);
void backend_go_dark(backend_t *backend);
void backend_return(backend_t *backend); /* with its log */
backend_t *current_primary(void);
/* Called as a promotion takes effect, with the log that leads the new term. */
extern void (*on_promoted)(backend_t *backend);
/* Called when a backend runs a read, a write or a commit. */
extern void (*on_run)(backend_t *backend, const char *id, const char *text);

typedef struct {
    int slots, connections, handshake_ms, network_ms, lag_ms;
    int read_ms, write_ms;
    int sync_replicas;
} backend_settings_t;
extern backend_settings_t backend_settings;

/* Hosts. */
typedef struct {
    char name[32];
    char ip[24];
    char zone[32];
    pid_t pid;
    int starts;
} host_t;
extern host_t hosts[HOSTS_MAX];
extern int host_count;

void host_start(host_t *host);
void host_signal(host_t *host, int signal);
bool host_exited(host_t *host); /* reaps it */
host_t *host_by_name(const char *name);

/* Starts the store, `backends_wanted` backends and `hosts_wanted` hosts, and
 * waits until the hosts are ready. Exits with 2 when that fails. */
void world_start(int hosts_wanted, int backends_wanted,
                 const char *configuration);
/* Ends all processes. Exits with `result`. */
void world_end(int result) __attribute__((noreturn));

/* Clients. */
typedef struct session {
    connection_t *connection;
    host_t *host;
    char database[64];
    bool ready; /* READY came after STARTUP */
    char state;
    char query_id[64];
    char code[32]; /* of ERROR; "": none */
    char signature[256];
    char rows[8192];
    bool busy;
    void *owner;
    /* `code` is "" and `signature` set after a success; "closed" when the
     * connection ended, "silent" when no answer came in time. */
    void (*on_answer)(struct session *);
    void (*on_started)(struct session *, bool started);
} session_t;

session_t *session_open(host_t *host, const char *database, void *owner,
                        void (*on_started)(session_t *, bool),
                        void (*on_answer)(session_t *));
/* Sends `QUERY id text`; `text` is sent as it is. Returns the id. */
const char *session_query(session_t *session, const char *text);
void session_close(session_t *session);

#endif
