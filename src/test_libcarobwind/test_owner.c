#include <glib.h>
#include <string.h>

#include "fake_group.h"
#include "suites.h"

static fake_group_t group;

static void
submit_write(const char *kind, const char *key)
{
    FakeGroup_Submit(&group, CBW_VERB_STATEMENT, kind, key, "", 0);
}

static void
submit_read(const char *kind, const char *token)
{
    FakeGroup_Submit(&group, CBW_VERB_STATEMENT, kind, "", token, 0);
}

static void
run_for(cbw_time_t length)
{
    FakeGroup_Run(&group, group.now + length);
}

static void
start(void)
{
    FakeGroup_Init(&group, &FakeGroup_Defaults);
}

static void
assert_outcomes(uint64_t done, uint64_t notrun, uint64_t unknown)
{
    g_test_message("last reason: %s", group.last_answer.reason);
    g_assert_cmpuint(group.outcome_counts[CBW_OUTCOME_DONE], ==, done);
    g_assert_cmpuint(group.outcome_counts[CBW_OUTCOME_NOTRUN], ==, notrun);
    g_assert_cmpuint(group.outcome_counts[CBW_OUTCOME_UNKNOWN], ==, unknown);
}

static void
test_write_is_done(void)
{
    start();
    submit_write("payment", "k1");
    run_for(100 * Cbw_MSEC);
    assert_outcomes(1, 0, 0);
    g_assert_cmpint(FakeGroup_CountKey(&group, 0, "k1"), ==, 1);
    g_assert_cmpstr(group.last_answer.token, ==, "db:1:2");
    FakeGroup_Finish(&group);
}

/* A request key is executed once, also when it is submitted again while it is
 * in flight or after it is done; each submission is answered as done. */
static void
test_same_key_runs_once(void)
{
    start();
    submit_write("payment", "k1");
    submit_write("payment", "k1");
    run_for(100 * Cbw_MSEC);
    submit_write("payment", "k1");
    run_for(100 * Cbw_MSEC);
    assert_outcomes(3, 0, 0);
    g_assert_cmpint(FakeGroup_CountKey(&group, 0, "k1"), ==, 1);
    FakeGroup_Finish(&group);
}

/* A primary without a majority must not acknowledge writes that need a
 * confirmation: another endpoint may already be the primary. */
static void
test_no_majority_no_acknowledgement(void)
{
    start();
    group.endpoints[1].down = true;
    group.endpoints[2].down = true;
    submit_write("payment", "k1");
    submit_write("quick", "k2");
    run_for(5 * Cbw_SEC);
    assert_outcomes(0, 0, 2);
    FakeGroup_Finish(&group);
}

/* With replicas that lag, a write that needs a majority to hold its position
 * is not acknowledged, but one that only needs the term confirmed is. */
static void
test_lagging_majority(void)
{
    fake_settings_t settings = FakeGroup_Defaults;

    settings.replication_lag = 30 * Cbw_SEC;
    FakeGroup_Init(&group, &settings);
    submit_write("payment", "k1");
    submit_write("quick", "k2");
    run_for(5 * Cbw_SEC);
    /* Only the write that needs no position is confirmed. */
    assert_outcomes(1, 0, 1);
    FakeGroup_Finish(&group);
}

/* A primary that dies is replaced within a second, and writes before and
 * during the failover are executed exactly once. */
static void
test_failover(void)
{
    cbw_time_t begin;

    start();
    submit_write("payment", "k1");
    run_for(100 * Cbw_MSEC);
    group.endpoints[0].down = true;
    begin = group.now;
    submit_write("payment", "k2");
    while (group.outcome_counts[CBW_OUTCOME_DONE] < 2 &&
           group.now < begin + 5 * Cbw_SEC) {
        run_for(10 * Cbw_MSEC);
    }
    assert_outcomes(2, 0, 0);
    g_test_message("gap %d ms", (int)((group.now - begin) / Cbw_MSEC));
    g_assert_cmpint(group.now - begin, <=, 1 * Cbw_SEC);
    g_assert_cmpint(FakeGroup_Primary(&group), !=, 0);
    g_assert_cmpint(
        FakeGroup_CountKey(&group, FakeGroup_Primary(&group), "k1"), ==, 1);
    g_assert_cmpint(
        FakeGroup_CountKey(&group, FakeGroup_Primary(&group), "k2"), ==, 1);
    FakeGroup_Finish(&group);
}

/* The answer to the swap that claims a term is lost: the promotion must read
 * the record back and continue, since the swap has taken effect. */
static void
test_failover_after_lost_swap(void)
{
    start();
    group.lose_swap_reply = true;
    group.endpoints[0].down = true;
    submit_write("payment", "k1");
    run_for(3 * Cbw_SEC);
    assert_outcomes(1, 0, 0);
    FakeGroup_Finish(&group);
}

/* Without the store no endpoint may be promoted; the failover completes once
 * the store is back. */
static void
test_failover_waits_for_store(void)
{
    start();
    group.store_down = true;
    group.endpoints[0].down = true;
    run_for(5 * Cbw_SEC);
    g_assert_cmpint(FakeGroup_Primary(&group), ==, -1);
    group.store_down = false;
    run_for(4 * Cbw_SEC);
    g_assert_cmpint(FakeGroup_Primary(&group), >, 0);
    FakeGroup_Finish(&group);
}

/* Only this host is cut off from the primary: ownership must move to a host
 * that reaches it, and no promotion may start. */
static void
test_ownership_moves_to_reaching_host(void)
{
    start();
    group.peers_reach_primary = true;
    group.endpoints[0].down = true;
    run_for(3 * Cbw_SEC);
    g_assert_cmpint(group.ownership_moves, >=, 1);
    g_assert_cmpuint(group.counters.values[CBW_COUNTER_PROMOTIONS_STARTED], ==,
                     0);
    FakeGroup_Finish(&group);
}

/* A write that was never sent is answered as notrun, not as unknown. */
static void
test_unsent_is_notrun(void)
{
    start();
    for (int i = 0; i < FAKE_ENDPOINTS; i++) {
        group.endpoints[i].down = true;
    }
    run_for(1 * Cbw_SEC); /* until the primary is suspected to be down */
    submit_write("payment", "k1");
    run_for(5 * Cbw_SEC);
    assert_outcomes(0, 1, 0);
    FakeGroup_Finish(&group);
}

/* A statement that was sent and never answered is settled by a tombstone, so
 * that a later write with its key does not run either. */
static void
test_unanswered_is_settled(void)
{
    start();
    group.endpoints[0].ignores_statements = true;
    submit_write("payment", "k1");
    run_for(5 * Cbw_SEC);
    assert_outcomes(0, 1, 0);
    group.endpoints[0].ignores_statements = false;
    submit_write("payment", "k1");
    run_for(1 * Cbw_SEC);
    assert_outcomes(0, 2, 0);
    g_assert_cmpint(FakeGroup_CountKey(&group, 0, "k1"), ==, 0);
    FakeGroup_Finish(&group);
}

/* The request expires while the CANCEL call that settles its key is in flight:
 * the request is answered once, and the later end of that call must not change
 * the count of statements in flight again. */
static void
test_settling_times_out(void)
{
    start();
    group.endpoints[0].ignores_statements = true;
    group.endpoints[0].ignores_cancels = true;
    submit_write("payment", "k1");
    run_for(5 * Cbw_SEC);
    assert_outcomes(0, 0, 1);
    g_assert_cmpint(group.owner.group.endpoints[0].limit.in_flight, ==, 0);
    FakeGroup_Finish(&group);
}

/* Retries of slow statements must not fill the endpoint's slots: each
 * statement is sent at most three times before it is done. */
static void
test_slow_statements_are_not_multiplied(void)
{
    fake_settings_t settings = FakeGroup_Defaults;

    settings.service_time = 600 * Cbw_MSEC;
    FakeGroup_Init(&group, &settings);
    submit_write("payment", "k1");
    submit_write("payment", "k2");
    run_for(3 * Cbw_SEC);
    assert_outcomes(2, 0, 0);
    g_assert_cmpuint(group.endpoints[0].statement_count, <=, 6);
    FakeGroup_Finish(&group);
}

/* Reads that replicas can serve go to replicas; a read of the latest data goes
 * to the primary. */
static void
test_reads_use_replicas(void)
{
    start();
    submit_write("payment", "k1");
    run_for(100 * Cbw_MSEC);
    for (int i = 0; i < 10; i++) {
        submit_read("account", "db:1:2");
        submit_read("balance", "db:1:2");
        run_for(20 * Cbw_MSEC);
    }
    submit_read("latest", "db:1:2");
    run_for(50 * Cbw_MSEC);
    assert_outcomes(22, 0, 0);
    g_assert_cmpuint(group.counters.values[CBW_COUNTER_READS_REPLICA], ==, 20);
    g_assert_cmpuint(group.counters.values[CBW_COUNTER_READS_PRIMARY], ==, 1);
    FakeGroup_Finish(&group);
}

/* No replica holds the position of the session's token: the read goes to the
 * primary. */
static void
test_reads_go_to_primary_when_replicas_lag(void)
{
    fake_settings_t settings = FakeGroup_Defaults;

    settings.replication_lag = 10 * Cbw_SEC;
    FakeGroup_Init(&group, &settings);
    submit_write("quick", "k1");
    run_for(100 * Cbw_MSEC);
    submit_read("account", "db:1:2");
    run_for(100 * Cbw_MSEC);
    assert_outcomes(2, 0, 0);
    g_assert_cmpuint(group.counters.values[CBW_COUNTER_READS_PRIMARY], ==, 1);
    FakeGroup_Finish(&group);
}

/* A read whose token names a position of an earlier term that the log does not
 * hold in that term is refused, with the reason that a failover lost it. */
static void
test_lost_token_is_reported(void)
{
    start();
    submit_read("account", "db:0:9");
    run_for(100 * Cbw_MSEC);
    assert_outcomes(0, 1, 0);
    g_assert_nonnull(strstr(group.last_answer.reason, "lost in a failover"));
    FakeGroup_Finish(&group);
}

/* A read whose token is ahead of the primary is refused; it must not be
 * retried at the primary until its deadline. */
static void
test_token_ahead_is_refused(void)
{
    start();
    submit_read("account", "db:9:99");
    run_for(900 * Cbw_MSEC);
    assert_outcomes(0, 1, 0);
    g_assert_cmpuint(group.endpoints[0].statement_count, <=, 1);
    FakeGroup_Finish(&group);
}

/* An owner and a primary without a majority must not serve reads of bounded
 * age once the last confirmation of the term is older than that. */
static void
test_age_needs_confirmation(void)
{
    start();
    group.endpoints[1].down = true;
    group.endpoints[2].down = true;
    run_for(4 * Cbw_SEC);
    submit_read("balance", "");
    submit_read("latest", "");
    run_for(4 * Cbw_SEC);
    g_assert_cmpuint(group.outcome_counts[CBW_OUTCOME_DONE], ==, 0);
    FakeGroup_Finish(&group);
}

static void
test_transaction(void)
{
    start();
    FakeGroup_Submit(&group, CBW_VERB_BEGIN, "payment", "", "", 77);
    run_for(50 * Cbw_MSEC);
    FakeGroup_Submit(&group, CBW_VERB_STATEMENT, "payment", "", "", 77);
    run_for(50 * Cbw_MSEC);
    FakeGroup_Submit(&group, CBW_VERB_COMMIT, "payment", "t1", "", 77);
    run_for(50 * Cbw_MSEC);
    assert_outcomes(3, 0, 0);
    g_assert_cmpint(FakeGroup_CountKey(&group, 0, "t1"), ==, 1);
    FakeGroup_Finish(&group);
}

/* The primary dies with an open transaction: its COMMIT is answered as notrun.
 */
static void
test_transaction_lost_before_commit(void)
{
    start();
    FakeGroup_Submit(&group, CBW_VERB_BEGIN, "payment", "", "", 77);
    run_for(50 * Cbw_MSEC);
    group.endpoints[0].down = true;
    run_for(3 * Cbw_SEC);
    FakeGroup_Submit(&group, CBW_VERB_COMMIT, "payment", "t1", "", 77);
    run_for(1 * Cbw_SEC);
    assert_outcomes(1, 1, 0);
    FakeGroup_Finish(&group);
}

/* A primary that is marked as leaving is replaced by a planned switchover, and
 * gets no statements after it. */
static void
test_leaving_primary_switchover(void)
{
    uint64_t before;

    start();
    submit_write("payment", "k1");
    run_for(100 * Cbw_MSEC);
    CbwOwner_SetLeaving(&group.owner, 0, true);
    run_for(2 * Cbw_SEC);
    g_assert_cmpint(FakeGroup_Primary(&group), >, 0);
    before = group.endpoints[0].statement_count;
    submit_write("payment", "k2");
    submit_read("account", "");
    run_for(200 * Cbw_MSEC);
    assert_outcomes(3, 0, 0);
    g_assert_cmpuint(group.endpoints[0].statement_count, ==, before);
    FakeGroup_Finish(&group);
}

/* Under overload, requests that expire in the queue are answered as notrun,
 * and none of them may have run. */
static void
test_expired_in_queue_is_notrun(void)
{
    start();
    for (int i = 0; i < 2000; i++) {
        submit_write("reading", "");
    }
    run_for(5 * Cbw_SEC);
    g_assert_cmpuint(group.outcome_counts[CBW_OUTCOME_DONE] +
                         group.outcome_counts[CBW_OUTCOME_NOTRUN],
                     ==, 2000);
    g_assert_cmpuint(group.outcome_counts[CBW_OUTCOME_NOTRUN], >, 0);
    /* Apart from the entry that began the term, the log holds exactly the
     * writes that were answered as done. */
    g_assert_cmpuint(group.endpoints[0].log->len - 1, ==,
                     group.outcome_counts[CBW_OUTCOME_DONE]);
    FakeGroup_Finish(&group);
}

void
Suite_AddOwner(void)
{
    static const struct {
        const char *path;
        void (*test)(void);
    } tests[] = {
        {"/owner/write", test_write_is_done},
        {"/owner/same-key", test_same_key_runs_once},
        {"/owner/no-majority", test_no_majority_no_acknowledgement},
        {"/owner/lagging-majority", test_lagging_majority},
        {"/owner/failover", test_failover},
        {"/owner/failover-lost-swap", test_failover_after_lost_swap},
        {"/owner/failover-store-down", test_failover_waits_for_store},
        {"/owner/ownership-moves", test_ownership_moves_to_reaching_host},
        {"/owner/unsent", test_unsent_is_notrun},
        {"/owner/unanswered", test_unanswered_is_settled},
        {"/owner/settling-times-out", test_settling_times_out},
        {"/owner/slow-statements", test_slow_statements_are_not_multiplied},
        {"/owner/reads-replica", test_reads_use_replicas},
        {"/owner/reads-replicas-lag",
         test_reads_go_to_primary_when_replicas_lag},
        {"/owner/lost-token", test_lost_token_is_reported},
        {"/owner/token-ahead", test_token_ahead_is_refused},
        {"/owner/age-needs-confirmation", test_age_needs_confirmation},
        {"/owner/transaction", test_transaction},
        {"/owner/transaction-lost", test_transaction_lost_before_commit},
        {"/owner/leaving-primary", test_leaving_primary_switchover},
        {"/owner/expired", test_expired_in_queue_is_notrun},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {
        g_test_add_func(tests[i].path, tests[i].test);
    }
}
