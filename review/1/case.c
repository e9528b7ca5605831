/* The primary is partitioned from the store alone: its registration expires,
 * and another backend is promoted. The old primary returns to the store, and
 * the new one crashes. Checks that no write is committed at a primary after
 * another has taken over, and acknowledged. */
#include "load.h"

#include <stdio.h>
#include <string.h>

typedef struct {
    char id[64];
    char backend[32];
    uint64_t term, newest_term;
} late_commit_t;

static late_commit_t late[5000];
static int late_count;
static uint64_t newest_term = 3;
static bool trouble;
static backend_t *old_primary;
static int promotions;

static void
note_run(backend_t *backend, const char *id, const char *text)
{
    if (strncmp(text, "WRITE ", 6) == 0 && backend->term < newest_term &&
        late_count < 5000) {
        late_commit_t *commit = &late[late_count++];
        snprintf(commit->id, sizeof(commit->id), "%s", id);
        snprintf(commit->backend, sizeof(commit->backend), "%s", backend->id);
        commit->term = backend->term;
        commit->newest_term = newest_term;
    }
}

static void
return_to_store(void *argument)
{
    backend_t *backend = argument;

    record("backend %s reaches the store again", backend->id);
    backend_register(backend);
}

static void
crash(void *argument)
{
    backend_go_dark(argument);
}

static void
note_promotion(backend_t *backend)
{
    newest_term = backend->term;
    if (++promotions == 1 && trouble) {
        after(200, return_to_store, old_primary);
        after(600, crash, backend);
    }
}

static void
expire(void *argument)
{
    backend_t *backend = argument;
    char key[64];

    record("the registration of %s expires", backend->id);
    snprintf(key, sizeof(key), "servers/%s", backend->id);
    store_delete(key);
}

static void
become_deaf(void *argument)
{
    backend_t *backend = argument;

    backend->deaf = true;
    record("backend %s receives nothing", backend->id);
}

int
main(void)
{
    int broken = 0;
    int done = 0;

    trouble = load_has_trouble();
    on_run = note_run;
    on_promoted = note_promotion;
    cloud_control.promote_ms = 300;
    world_start(4, 3, load_configuration(0));
    for (int i = 0; i < 6; i++) {
        load_client("pay", true, 50);
        load_client("own", false, 100);
    }
    run_until(now_ms() + 4000);
    old_primary = current_primary();
    if (trouble) {
        record("backend %s is partitioned from the store", old_primary->id);
        after(3600, expire, old_primary); /* three heartbeats of 1,200 ms */
        after(4000, become_deaf, &backends[1]);
        after(4000, become_deaf, &backends[2]);
    }
    run_until(now_ms() + 14000);
    load_stop();
    run_until(now_ms() + 1500);
    for (int i = 0; i < attempt_count; i++) {
        const attempt_t *attempt = &attempts[i];
        if (attempt->answered_at == 0 || attempt->code[0] != '\0') {
            continue;
        }
        done++;
        for (int j = 0; j < late_count; j++) {
            if (strcmp(late[j].id, attempt->id) == 0) {
                broken++;
                record("ONE: %s WRITE %s %s was committed at %s in term %llu, "
                       "though term %llu had begun, and was acknowledged at "
                       "%.3f",
                       attempt->id, attempt->item, attempt->data,
                       late[j].backend, (unsigned long long)late[j].term,
                       (unsigned long long)late[j].newest_term,
                       (double)attempt->answered_at / 1000);
            }
        }
    }
    record("%d writes acknowledged, %d promotions, %d of the writes were "
           "committed at an old primary",
           done, promotions, broken);
    if (done < 50 || (trouble && promotions == 0)) {
        world_end(2);
    }
    world_end(broken > 0 ? 1 : 0);
}
