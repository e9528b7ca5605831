/* Trials (issue 32): rule ONE on real processes. SCN names the order of
 * events, E and H are times in ms. The working directory is the tree of the
 * version that is tried.
 *
 * S..: the primary is lost and comes back, still primary of the old term; the
 * one that was promoted is lost at once. S1: its path to the owner is cut, S4:
 * it crashes, S2: the old one was cut off from all hosts instead of crashed,
 * S3: from hosts and backends, S6: from the store, S8, S9: as S4, and the
 * owner gets SIGKILL, SIGTERM. With "r", the second loss comes E ms after the
 * promotion was recorded, else after it took effect. S4f: the third backend
 * receives nothing.
 * L1..: the owner's first order is held up on the way until H ms after another
 * candidate leads. L2..: it is carried out H ms late. */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    char id[64];
    int backend;
    uint64_t term, newest_term;
    bool intx;
    ms_t at, acked_at, since;
} commit_t;
static commit_t commits[100000];
static int commit_count;
static uint64_t newest_term = 3;
static ms_t newest_since;

typedef struct {
    char id[64];
    bool stale, acked;
    ms_t sent_at;
    char lacks[64];
    int backend;
} read_t;
static read_t reads[100000];
static int read_count;

typedef struct {
    int kind; /* 0: transaction, 1: write, 2: read of pay, 3: read of own */
    const char *database;
    int host;
    session_t *session;
    int step;
    ms_t begun;
    char id[64], item[32];
    int pause;
} client_t;
static client_t clients[64];
static int client_count;
static bool stopped;
static int tx_done, w_done, r_done, failed_count;

static commit_t *
find_commit(const char *id)
{
    for (int i = commit_count; i-- > 0;) {
        if (strcmp(commits[i].id, id) == 0) {
            return &commits[i];
        }
    }
    return NULL;
}

static void
note_commit(backend_t *backend, const char *id, bool intx)
{
    commit_t *c = &commits[commit_count++ % 100000];
    *c = (commit_t){.backend = (int)(backend - backends), .term = backend->term,
                    .newest_term = newest_term, .intx = intx, .at = now_ms(),
                    .since = newest_since};
    snprintf(c->id, sizeof(c->id), "%s", id);
    if (c->term < c->newest_term) {
        record("commit %s %s at %s in term %llu, though term %llu began at %.3f",
               id, intx ? "in a transaction" : "of a single write", backend->id,
               (unsigned long long)c->term, (unsigned long long)newest_term,
               (double)newest_since / 1000);
    }
}

/* STALE: the log of the read lacks a commit that was acknowledged before the
 * first byte of the read, and that no promotion has rolled back by now. */
static void
note_run(backend_t *backend, const char *id, const char *text)
{
    client_t *client = NULL;
    backend_t *leader = current_primary();
    size_t i;

    if (strncmp(text, "READ ", 5) != 0) {
        return;
    }
    for (int j = 0; j < client_count; j++) {
        if (strcmp(clients[j].id, id) == 0 && clients[j].kind <= 2) {
            client = &clients[j];
        }
    }
    if (client == NULL || read_count >= 100000) {
        return;
    }
    read_t *r = &reads[read_count++];
    snprintf(r->id, sizeof(r->id), "%s", id);
    r->sent_at = client->begun;
    r->backend = (int)(backend - backends);
    for (i = leader->received; i-- > 0;) {
        commit_t *c = find_commit(leader->log[i].id);
        if (c != NULL && c->acked_at != 0 && c->acked_at < client->begun) {
            bool has = false;
            for (size_t k = backend->applied; k-- > 0 && !has;) {
                has = strcmp(backend->log[k].id, c->id) == 0;
            }
            r->stale = !has;
            snprintf(r->lacks, sizeof(r->lacks), "%s", c->id);
            break;
        }
    }
}

static void connect_client(void *argument);

static void
query(client_t *client, const char *text)
{
    snprintf(client->id, sizeof(client->id), "%s",
             session_query(client->session, text));
}

static void
next_operation(void *argument)
{
    client_t *client = argument;
    char text[200];

    if (stopped || client->session == NULL) {
        return;
    }
    if (client->session->connection == NULL) {
        client->session = NULL;
        connect_client(client);
        return;
    }
    client->step = 0;
    client->begun = now_ms();
    snprintf(client->item, sizeof(client->item), "a%ld", random() % 500);
    if (client->kind == 0) {
        query(client, "BEGIN");
    }
    else {
        snprintf(text, sizeof(text), "%s %s%s",
                 client->kind == 1 ? "WRITE" : "READ", client->item,
                 client->kind == 1 ? " x" : "");
        query(client, text);
    }
}

static void
next_step(void *argument)
{
    client_t *client = argument;
    char text[200];

    if (client->session == NULL) {
        return;
    }
    if (client->session->connection == NULL) {
        client->session = NULL;
        connect_client(client);
        return;
    }
    client->step++;
    if (client->step == 1) {
        snprintf(text, sizeof(text), "WRITE %s y", client->item);
    }
    else if (client->step == 2) {
        snprintf(text, sizeof(text), "READ a%ld", random() % 500);
    }
    else {
        snprintf(text, sizeof(text), "COMMIT");
    }
    query(client, text);
}

static void
on_answer(session_t *session)
{
    client_t *client = session->owner;
    bool failed = session->code[0] != '\0';
    bool commits_now = client->kind == 1 ||
                       (client->kind == 0 && client->step == 3);

    if (client->session != session) {
        return;
    }
    if (failed) {
        failed_count++;
        if (commits_now) {
            record("client: %s %s to %s: %s", client->id,
                   client->kind == 1 ? "WRITE" : "COMMIT", session->host->name,
                   session->code);
        }
        session_close(session);
        client->session = NULL;
        client->host++;
        if (!stopped) {
            after(100, connect_client, client);
        }
        return;
    }
    if (commits_now && strncmp(session->signature, "sig.", 4) == 0) {
        commit_t *c = find_commit(client->id);
        if (c != NULL) {
            c->acked_at = now_ms();
            if (c->term < c->newest_term) {
                record("client: %s %s through %s: acknowledged (committed at "
                       "%s at %.3f, term %llu, term %llu led since %.3f)",
                       client->id, c->intx ? "COMMIT intx=true" : "WRITE",
                       session->host->name, backends[c->backend].id,
                       (double)c->at / 1000, (unsigned long long)c->term,
                       (unsigned long long)c->newest_term,
                       (double)c->since / 1000);
            }
        }
        *(client->kind == 0 ? &tx_done : &w_done) += 1;
    }
    if (strcmp(session->host->name, "") != 0 && session->rows[0] != '\0') {
        for (int i = read_count; i-- > 0 && i > read_count - 500;) {
            if (strcmp(reads[i].id, client->id) == 0) {
                reads[i].acked = true;
                if (reads[i].stale) {
                    record("STALE: read %s of %.3f at %s lacks %s",
                           reads[i].id, (double)reads[i].sent_at / 1000,
                           backends[reads[i].backend].id, reads[i].lacks);
                }
                break;
            }
        }
        r_done++;
    }
    if (client->kind == 0 && client->step < 3) {
        after(random() % 5 == 0 ? random() % 900 : random() % 20, next_step,
              client);
        return;
    }
    after(random() % (2 * client->pause), next_operation, client);
}

static void
on_started(session_t *session, bool started)
{
    client_t *client = session->owner;

    if (client->session != session) {
        return;
    }
    if (started) {
        next_operation(client);
    }
    else {
        client->session = NULL;
        client->host++;
        after(100, connect_client, client);
    }
}

static void
connect_client(void *argument)
{
    client_t *client = argument;

    if (!stopped) {
        client->session = session_open(&hosts[client->host % host_count],
                                       client->database, client, on_started,
                                       on_answer);
    }
}

static void
add_client(int kind, int pause)
{
    client_t *client = &clients[client_count];

    client->kind = kind;
    client->database = kind == 3 ? "own" : "pay";
    client->host = client_count++;
    client->pause = pause;
    after(random() % 300, connect_client, client);
}

static const char *
configuration(void)
{
    static char text[2048];

    snprintf(
        text, sizeof(text),
        "{\"version\":7,\"routes\":["
        "{\"name\":\"r-1\",\"database\":\"pay\",\"routeType\":\"primary\","
        "\"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":0,"
        "\"service\":\"%s\",\"maxAttempts\":2},"
        "{\"name\":\"r-2\",\"database\":\"own\","
        "\"routeType\":\"read_your_writes\",\"timeoutMs\":1500,"
        "\"targetLatencyMs\":250,\"priority\":1,\"service\":\"%s\","
        "\"maxAttempts\":2,\"maxStalenessMs\":2500}],"
        "\"services\":[{\"name\":\"%s\",\"healthPath\":\"/health\","
        "\"maxConns\":49,\"protocol\":\"h1\",\"tls\":false,"
        "\"syncReplicas\":0}],"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
        "\"idleTxMs\":3000}}",
        service_name, service_name, service_name);
    return text;
}

/* The order of events. */

static const char *scenario;
static int E, H;
static backend_t *P, *R1;
static host_t *owner;
static int promotions, orders_seen;

static backend_t *
backend_by_id(const char *id)
{
    for (int i = 0; i < backend_count; i++) {
        if (strcmp(backends[i].id, id) == 0) {
            return &backends[i];
        }
    }
    return NULL;
}

static host_t *
holder(void)
{
    host_t *host = host_by_name(store_holder());

    if (host == NULL) {
        record("no holder");
        world_end(2);
    }
    return host;
}

static void t_return(void *b) { if (((backend_t *)b)->dark) backend_return(b); }
static void t_dark(void *b) { backend_go_dark(b); }
static void t_start(void *h) { if (host_exited(h)) host_start(h); else after(50, t_start, h); }
static void t_kill(void *h) { host_signal(h, SIGKILL); after(500, t_start, h); }
static void t_term(void *h) { host_signal(h, SIGTERM); after(500, t_start, h); }
static void t_stop(void *h) { host_signal(h, SIGSTOP); }
static void t_cont(void *h) { host_signal(h, SIGCONT); }


static void
all_cut(backend_t *b, bool cut)
{
    for (int i = 0; i < host_count; i++) {
        cut_host_backend(&hosts[i], b, cut);
    }
}
static void t_heal(void *b) { all_cut(b, false); }
static void
t_heal_whole(void *argument)
{
    backend_t *b = argument;
    all_cut(b, false);
    for (int i = 0; i < backend_count; i++) {
        apart[i][b - backends] = apart[b - backends][i] = false;
    }
    record("%s reaches the other backends again", b->id);
    backend_register(b);
}
static void
t_lose_store(void *b)
{
    char key[64];
    snprintf(key, sizeof(key), "servers/%s", ((backend_t *)b)->id);
    record("the registration of %s expires", ((backend_t *)b)->id);
    store_delete(key);
}
static void
t_register(void *b)
{
    record("backend %s reaches the store again", ((backend_t *)b)->id);
    backend_register(b);
}
static void
t_owner_cut(void *b)
{
    owner = holder();
    cut_host_backend(owner, b, true);
}
static void t_owner_whole(void *b) { cut_host_backend(owner, b, false); }
static void
t_release_orders(void *x)
{
    (void)x;
    record("the path to the promotion service is whole again");
    cloud_release();
}
/* Held orders stay on the way: the path is whole for new ones. */
static void
t_whole_for_new(void *x)
{
    (void)x;
    record("the path to the promotion service is whole; what is under way "
           "comes at its next retransmission");
    cloud_control.cut_host_ip[0] = '\0';
}

static bool is(const char *name) { return strcmp(scenario, name) == 0; }
static bool starts(const char *name) { return strncmp(scenario, name, strlen(name)) == 0; }

/* "r": the second loss comes E ms after the promotion was recorded. */
static void
note_record(const char *text)
{
    int promoting = 1;
    char primary[64] = "";
    static bool done;

    sscanf(text, "%*s %*s %*s %d %63s", &promoting, primary);
    if (done || promoting != 0 || promotions != 1 ||
        strcmp(primary, R1->id) != 0) {
        return;
    }
    done = true;
    if (is("S1r")) {
        after(E, t_owner_cut, R1);
        after(E + 5000, t_owner_whole, R1);
    }
    else if (is("S4r") || is("S4f")) {
        after(E, t_dark, R1);
        after(E + 4000, t_return, R1);
    }
    else if (is("S2r")) {
        after(E, t_dark, R1);
        after(E, t_heal, P);
        after(E + 4000, t_return, R1);
    }
    else if (is("S3r")) { /* P is whole again after H */
        after(E, t_dark, R1);
        after(E + H, t_heal_whole, P);
        after(E + 4000, t_return, R1);
    }
    else if (is("S8r") || is("S9r")) { /* and the owner restarts */
        after(E, t_dark, R1);
        after(E + 4000, t_return, R1);
        after(E, is("S8r") ? t_kill : t_term, holder());
    }
    else if (is("S6r")) {
        after(E, t_dark, R1);
        after(E + H, t_register, P);
        after(E + 4000, t_return, R1);
    }
}

static void
note_promotion(backend_t *backend)
{
    newest_term = backend->term;
    newest_since = now_ms();
    promotions++;
    if (promotions == 1) {
        R1 = backend;
        if (is("S1")) { /* crash and return; the owner loses the new one */
            after(E, t_owner_cut, backend);
            after(E + 5000, t_owner_whole, backend);
        }
        else if (is("S4")) { /* crash and return; the new one crashes */
            after(E, t_dark, backend);
            after(E + 4000, t_return, backend);
        }
        else if (is("S2")) { /* P cut from the hosts until now */
            after(E, t_dark, backend);
            after(E, t_heal, P);
            after(E + 4000, t_return, backend);
        }
        else if (is("S3")) { /* P cut from hosts and backends */
            after(E, t_heal_whole, P);
            after(E + H, t_dark, backend);
            after(E + 4000, t_return, backend);
        }
        else if (is("S6")) { /* P loses the store alone; R1 crashes */
            after(E, t_dark, backend);
            after(E + H, t_register, P);
            after(E + 4000, t_return, backend);
        }
        else if (is("S7")) { /* as S6, R1 is cut from the owner alone */
            after(E, t_owner_cut, backend);
            after(E + H, t_register, P);
            after(E + 5000, t_owner_whole, backend);
        }
    }
    if (starts("L") && !is("L2") && !is("L2c") && promotions == 1) {
        /* Another candidate leads: the late order comes after H ms. */
        after(H, t_release_orders, NULL);
    }
}

static void
note_order(const char *ip, const char *id, bool held)
{
    backend_t *b = backend_by_id(id);

    (void)ip;
    if (++orders_seen > 1 || b == NULL) {
        return;
    }
    if (starts("S1") || starts("S4") || starts("S8") || starts("S9")) {
        after(getenv("RET") ? atoi(getenv("RET")) : 300, t_return, P);
    }
    if (!starts("L")) {
        return;
    }
    if (starts("L1") && held) {
        /* L1k: the owner is killed; L1t: told to stop; L1s: stopped for 4 s;
         * L1n: nothing more. The other hosts cannot reach the candidate
         * ("c"), or it crashes for 5 s ("d"), or it leaves ("r"), or nothing. */
        const char *what = scenario + 2;
        if (strchr(what, 'k')) {
            after(E, t_kill, owner);
        }
        if (strchr(what, 't')) {
            after(E, t_term, owner);
        }
        if (strchr(what, 's')) {
            after(E, t_stop, owner);
            after(E + 4000, t_cont, owner);
        }
        if (strchr(what, 'c')) {
            for (int i = 0; i < host_count; i++) {
                if (&hosts[i] != owner || strchr(what, 'n')) {
                    cut_host_backend(&hosts[i], b, true);
                }
            }
            after(5000, t_heal, b);
        }
        if (strchr(what, 'd')) {
            after(20, t_dark, b);
            after(20 + 5000, t_return, b);
        }
        if (strchr(what, 'r')) {
            b->draining = true;
            record("backend %s is draining", b->id);
            backend_register(b);
        }
        if (strchr(what, 'w')) {
            /* The cut ends after 3 s; the held order is retransmitted late. */
            after(3000, t_whole_for_new, NULL);
        }
    }
    if (is("L2c") && !held) {
        after(E, t_owner_cut, b);
        after(E + 6000, t_owner_whole, b);
    }
    if (is("L2k") && !held) {
        after(E, t_kill, owner);
    }
    if (is("L2d") && !held) {
        after(E, t_dark, b);
        after(E + 2500, t_return, b);
    }
}

/* L2: the promotion service carries the first order out late. */
static int
delay_order(const char *ip, const char *id)
{
    static char first[40];

    (void)ip;
    if (starts("L2")) {
        if (first[0] == '\0') {
            snprintf(first, sizeof(first), "%s", id);
            return H;
        }
    }
    return 0;
}

int
main(void)
{
    int one_tx = 0, one_w = 0, stale = 0, lower = 0;
    uint64_t highest = 0;

    scenario = getenv("SCN") ? getenv("SCN") : "none";
    E = getenv("E") ? atoi(getenv("E")) : 50;
    H = getenv("H") ? atoi(getenv("H")) : 300;
    on_run = note_run;
    on_commit = note_commit;
    on_promoted = note_promotion;
    on_order = note_order;
    on_record = note_record;
    order_delay = delay_order;
    cloud_control.promote_ms = 600;
    world_start(getenv("HOSTS") ? atoi(getenv("HOSTS")) : 4, 3,
                configuration());
    for (int i = 0; i < (getenv("LOW") ? 3 : 8); i++) {
        add_client(0, 250);
    }
    for (int i = 0; i < (getenv("LOW") ? 1 : 6); i++) {
        add_client(1, 250);
        add_client(2, 150);
    }
    if (getenv("LOW")) {
        add_client(2, 150);
        add_client(2, 150);
    }
    add_client(3, 100);
    add_client(3, 100);
    run_until(now_ms() + 2500 + random() % 500);
    P = current_primary();
    owner = holder();
    record("scenario %s, E %d, H %d: primary %s, owner %s", scenario, E, H,
           P->id, owner->name);
    if (starts("S1") || starts("S4") || starts("S8") || starts("S9")) {
        if (is("S4f")) { /* the third backend receives nothing */
            backends[2].deaf = true;
            record("backend %s receives nothing", backends[2].id);
            run_until(now_ms() + 50);
        }
        backend_go_dark(P);
    }
    else if (starts("S2")) {
        all_cut(P, true);
        after(15000, t_heal, P);
    }
    else if (starts("S3")) {
        for (int i = 0; i < backend_count; i++) {
            apart[i][0] = apart[0][i] = i != 0;
        }
        record("%s reaches no other backend", P->id);
        all_cut(P, true);
    }
    else if (starts("S6") || is("S7")) {
        record("backend %s is partitioned from the store", P->id);
        after(3600, t_lose_store, P);
    }
    else if (starts("L1")) {
        record("%s is cut off from the promotion service", owner->name);
        snprintf(cloud_control.cut_host_ip, 16, "%.15s", owner->ip);
        if (strchr(scenario, 'D')) { /* planned: it drains */
            P->draining = true;
            record("primary %s is draining", P->id);
            backend_register(P);
        }
        else {
            backend_go_dark(P);
            after(9000, t_return, P);
        }
    }
    else if (starts("L2")) {
        backend_go_dark(P);
        after(9000, t_return, P);
    }
    run_until(now_ms() + (getenv("TAIL") ? atoi(getenv("TAIL")) : starts("L") ? 15000 : 7500));
    stopped = true;
    run_until(now_ms() + 1500);
    for (int i = 0; i < order_count; i++) {
        if (orders[i].fence < highest) {
            lower++;
            record("LOWER: the order of %s for %s at %.3f has token %llu, "
                   "after %llu",
                   orders[i].holder, orders[i].backend,
                   (double)orders[i].at / 1000,
                   (unsigned long long)orders[i].fence,
                   (unsigned long long)highest);
        }
        else {
            highest = orders[i].fence;
        }
    }
    for (int i = 0; i < commit_count; i++) {
        if (commits[i].acked_at != 0 &&
            commits[i].term < commits[i].newest_term) {
            *(commits[i].intx ? &one_tx : &one_w) += 1;
        }
    }
    for (int i = 0; i < read_count; i++) {
        stale += reads[i].stale && reads[i].acked;
    }
    record("SUMMARY %s E=%d H=%d one_tx=%d one_w=%d stale=%d lower=%d "
           "promotions=%d orders=%d tx=%d w=%d r=%d failed=%d",
           scenario, E, H, one_tx, one_w, stale, lower, promotions,
           order_count, tx_done, w_done, r_done, failed_count);
    if (tx_done < 10 || (strcmp(scenario, "none") != 0 && promotions == 0)) {
        world_end(2);
    }
    world_end(one_tx + one_w + stale + lower > 0 ? 1 : 0);
}
