/* A service with syncReplicas 1. A replica is replaced: the new backend has
 * started, and the old one is draining; it still receives and counts. The
 * other two replicas receive nothing for a while, and the primary crashes
 * meanwhile. Checks at each promotion that the backend
 * that leads the new term has every commit that a client was told of. */
#include "load.h"

#include <string.h>

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
    record("%d acknowledged commits at the promotion of %s, %d lost",
           acknowledged, backend->id, lost);
}

static void
add(void *argument)
{
    (void)argument;
    backend_add();
}

static void
leave(void *argument)
{
    backend_t *backend = argument;

    backend->draining = true;
    record("backend %s is draining", backend->id);
    backend_register(backend);
}

static void
become_deaf(void *argument)
{
    (void)argument;
    for (int i = 2; i < backend_count; i++) {
        backends[i].deaf = true;
        record("backend %s receives nothing", backends[i].id);
    }
}

static void
crash(void *argument)
{
    backend_go_dark(argument);
}

int
main(void)
{
    bool trouble = load_has_trouble();
    int done = 0;

    backend_settings.sync_replicas = 1;
    on_promoted = check_promotion;
    world_start(4, 3, load_configuration(1));
    for (int i = 0; i < 4; i++) {
        load_client("pay", true, 50);
    }
    for (int i = 0; i < 4; i++) {
        load_client("own", false, 100);
    }
    after(3000, add, NULL);
    after(4000, leave, &backends[1]);
    if (trouble) {
        after(5000, become_deaf, NULL);
        after(7000, crash, &backends[0]);
    }
    /* Within drainMs of the notice, so that no backend has left. */
    run_until(now_ms() + 4000 + 6500);
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
