/* A service with syncReplicas 1, before the stand-in of the first review. One replica receives
 * nothing for a while, and the primary crashes meanwhile. The other replica, which alone has all
 * acknowledged commits, loses its path to the store for 5 s: its entry expires, while it runs on and
 * answers the machines. Checks at each promotion that the backend that leads the new term has every
 * commit that a client was told of. */
#include "load.h"

#include <stdio.h>
#include <string.h>

/* Times of the disruptions, from the start of the load. The replica's last heartbeat is 1,100 ms
 * before the cut; three of 1,200 ms later its entry expires. */
#define CUT_AT 4000
#define CUT_MS 5000
#define REPLICA_EXPIRES_AT 6500
#define REPLICA_BEATS_AT 10100 /* the first heartbeat after the cut */
#define DEAF_AT 7000
#define DEAF_MS 5000
#define CRASH_AT 9000
#define DARK_MS 7000
#define PRIMARY_EXPIRES_AT 12000
#define LENGTH 18000

static int lost;
static int promotions;

static void
check_promotion(backend_t *backend)
{
    int acknowledged = 0;

    promotions++;
    for (int i = 0; i < attempt_count; i++) {
        const attempt_t *attempt = &attempts[i];
        bool found = false;
        if (attempt->answered_at == 0 || attempt->code[0] != '\0') {
            continue;
        }
        acknowledged++;
        for (size_t j = backend->received; j-- > 0 && !found;) {
            found = strcmp(backend->log[j].id, attempt->id) == 0;
        }
        if (!found) {
            lost++;
            record("LOST: %s WRITE %s %s, acknowledged at %.3f, is not in the "
                   "log of %s, which was promoted",
                   attempt->id, attempt->item, attempt->data,
                   (double)attempt->answered_at / 1000, backend->id);
        }
    }
    record("%d acknowledged commits at the promotion of %s, %d lost so far",
           acknowledged, backend->id, lost);
}

static void
become_deaf(void *argument)
{
    backend_t *backend = argument;

    backend->deaf = true;
    record("backend %s receives nothing", backend->id);
}

static void
end_deaf(void *argument)
{
    backend_t *backend = argument;

    backend->deaf = false;
    record("backend %s receives again", backend->id);
}

static void
crash(void *argument)
{
    backend_go_dark(argument);
}

static void
come_back(void *argument)
{
    backend_return(argument);
}

static void
expire(void *argument)
{
    backend_t *backend = argument;
    char key[64];

    record("the entry of %s expires", backend->id);
    snprintf(key, sizeof(key), "servers/%s", backend->id);
    store_delete(key);
}

static void
note_cut(void *argument)
{
    record("%s", (const char *)argument);
}

static void
beat(void *argument)
{
    backend_t *backend = argument;

    record("backend %s is in the store again", backend->id);
    backend_register(backend);
}

static void
plan_disruptions(void)
{
    after(DEAF_AT, become_deaf, &backends[2]);
    after(DEAF_AT + DEAF_MS, end_deaf, &backends[2]);
    after(CRASH_AT, crash, &backends[0]);
    after(CRASH_AT + DARK_MS, come_back, &backends[0]);
    after(PRIMARY_EXPIRES_AT, expire, &backends[0]);
    after(CUT_AT, note_cut, "the other replica loses its path to the store");
    after(CUT_AT + CUT_MS, note_cut, "it has its path to the store again");
    after(REPLICA_EXPIRES_AT, expire, &backends[1]);
    after(REPLICA_BEATS_AT, beat, &backends[1]);
}

int
main(void)
{
    bool trouble = load_has_trouble();
    int done = 0;

    backend_settings.sync_replicas = 1;
    on_promoted = check_promotion;
    world_start(3, 3, load_configuration(1));
    for (int i = 0; i < 4; i++) {
        load_client("pay", true, 50);
    }
    for (int i = 0; i < 4; i++) {
        load_client("own", false, 100);
    }
    if (trouble) {
        plan_disruptions();
    }
    run_until(now_ms() + LENGTH);
    load_stop();
    run_until(now_ms() + 1000);
    for (int i = 0; i < attempt_count; i++) {
        done += attempts[i].answered_at != 0 && attempts[i].code[0] == '\0';
    }
    record("%d writes sent, %d acknowledged, %d reads done, %d promotions, "
           "%d acknowledged commits lost",
           attempt_count, done, reads_done, promotions, lost);
    if (done < 50 || (trouble && promotions == 0)) {
        world_end(2);
    }
    world_end(lost > 0 ? 1 : 0);
}
