/* As case 11, but the replica that alone has all acknowledged commits crashes for 7 s, just before
 * the primary does. Both come back with their logs. */
#define main run_case_11
#define plan_disruptions plan_case_11
#include "../11/case.c"
#undef plan_disruptions
#undef main

/* 200 ms before the primary; its last heartbeat is 1,100 ms before the crash. */
#define REPLICA_CRASHES_AT 8800
#define REPLICA_IS_REMOVED_AT 11300

static void
plan_disruptions(void)
{
    after(DEAF_AT, become_deaf, &backends[2]);
    after(DEAF_AT + DEAF_MS, end_deaf, &backends[2]);
    after(CRASH_AT, crash, &backends[0]);
    after(CRASH_AT + DARK_MS, come_back, &backends[0]);
    after(PRIMARY_EXPIRES_AT, expire, &backends[0]);
    after(REPLICA_CRASHES_AT, crash, &backends[1]);
    after(REPLICA_CRASHES_AT + DARK_MS, come_back, &backends[1]);
    after(REPLICA_IS_REMOVED_AT, expire, &backends[1]);
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
