#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "carobwind/random.h"
#include "carobwind/tenure.h"
#include "suites.h"

/* Simulates owners and a store with one record. Calls are kept in a list until
 * the test applies and answers them, in any order, late or never. */

#define OWNERS 3
#define CALLS_MAX 64
#define SEEDS 3000
#define STEPS_PER_SEED 400

typedef struct model tenure_model_t;

typedef struct {
    bool used;
    int owner;
    bool swap;
    bool applied;  /* at the store; its answer is pending */
    bool answered; /* or reported as lost */
    uint64_t expected_version;
    cbw_tenure_record_t record;
    cbw_store_status_t status;
    uint64_t version;
} call_t;

typedef struct {
    tenure_model_t *model;
    int index;
    cbw_tenure_t tenure;
    bool promoting;           /* has begun a promotion */
    bool promotion_requested; /* the promotion may take effect at any time */
} owner_t;

/* Large: the tests define it as static, off the stack. */
struct model {
    /* Of the record: the store's revision when it was written; 0: no record.
     */
    uint64_t version;
    uint64_t revision; /* of the store, which had other records before */
    cbw_tenure_record_t record;
    call_t calls[CALLS_MAX];
    owner_t owners[OWNERS];
    /* Nonce of the holder that each owner asked to relinquish; 0: none. */
    uint64_t relinquish_asked[OWNERS];
    cbw_random_t random;
    cbw_time_t now;
};

static call_t *
new_call(owner_t *owner)
{
    for (int i = 0; i < CALLS_MAX; i++) {
        call_t *call = &owner->model->calls[i];
        if (!call->used) {
            memset(call, 0, sizeof(*call));
            call->used = true;
            call->owner = owner->index;
            return call;
        }
    }
    return NULL;
}

static void
op_read_record(void *context)
{
    new_call(context);
}

static void
op_swap_record(void *context, uint64_t version,
               const cbw_tenure_record_t *record)
{
    call_t *call = new_call(context);

    if (call != NULL) {
        call->swap = true;
        call->expected_version = version;
        call->record = *record;
    }
}

static void
op_ask_to_relinquish(void *context, const cbw_tenure_holder_t *holder)
{
    owner_t *owner = context;

    owner->model->relinquish_asked[owner->index] = holder->nonce;
}

static const cbw_tenure_ops_t ops = {.read_record = op_read_record,
                                     .swap_record = op_swap_record,
                                     .ask_to_relinquish =
                                         op_ask_to_relinquish};

static void
init_model(tenure_model_t *model, uint64_t seed)
{
    memset(model, 0, sizeof(*model));
    CbwRandom_Init(&model->random, seed);
    model->now = 100 * Cbw_SEC;
    model->revision = 10;
    for (int i = 0; i < OWNERS; i++) {
        char host[16];
        model->owners[i].model = model;
        model->owners[i].index = i;
        snprintf(host, sizeof(host), "h%d", i);
        CbwTenure_Init(&model->owners[i].tenure, &ops, &model->owners[i],
                       (uint64_t)i + 1, host);
    }
}

/* Applies the call to the store. */
static void
apply_call(tenure_model_t *model, call_t *call)
{
    call->applied = true;
    if (call->swap && call->expected_version != model->version) {
        call->status = CBW_STORE_CONFLICT;
        return;
    }
    if (call->swap) {
        model->version = ++model->revision;
        model->record = call->record;
    }
    call->status = model->version == 0 ? CBW_STORE_MISSING : CBW_STORE_OK;
    call->version = model->version;
    if (!call->swap) {
        call->record = model->record;
    }
}

/* Delivers the answer of a call, or reports it as lost. */
static void
answer_call(tenure_model_t *model, call_t *call, bool lost)
{
    cbw_tenure_t *tenure = &model->owners[call->owner].tenure;
    call_t copy = *call;

    /* A lost swap may still be applied later. */
    call->used = lost && call->swap && !call->applied;
    call->answered = true;
    if (lost) {
        copy.status = CBW_STORE_LOST;
    }
    if (copy.swap) {
        CbwTenure_OnSwap(tenure, model->now, copy.status, copy.version);
    }
    else {
        CbwTenure_OnRecord(tenure, model->now, copy.status, copy.version,
                           &copy.record);
    }
}

/* Applies and answers all calls. */
static void
complete_calls(tenure_model_t *model)
{
    for (int i = 0; i < CALLS_MAX; i++) {
        if (model->calls[i].used) {
            apply_call(model, &model->calls[i]);
            answer_call(model, &model->calls[i], false);
        }
    }
}

/* Lets one owner read the record and take over the tenure, or renew its own,
 * if the rules let it. */
static void
acquire(tenure_model_t *model, int owner)
{
    cbw_tenure_t *tenure = &model->owners[owner].tenure;

    for (int i = 0; i < 3; i++) {
        CbwTenure_Tick(tenure, model->now, "p");
        complete_calls(model);
        if (!CbwTenure_IsValid(tenure, model->now)) {
            model->now += Cbw_TENURE_RETRY_INTERVAL;
        }
    }
}

/* A record that another writer replaced by an unreadable one is taken over. As
 * its holders and its promotion are not known, the new holder serves only once
 * it has waited for all tenures and carried out a promotion of its own. */
static void
test_unreadable_record(void)
{
    static tenure_model_t model;
    cbw_tenure_t *tenure = &model.owners[0].tenure;

    init_model(&model, 8);
    model.version = ++model.revision;
    g_assert_cmpint(CbwTenure_ParseRecord(&model.record, "{\"a\":[[[["), ==,
                    -1);
    acquire(&model, 0);
    g_assert_true(tenure->held);
    g_assert_false(CbwTenure_IsValid(tenure, model.now));
    g_assert_true(CbwTenure_BeginPromotion(tenure, model.now, 3));
    complete_calls(&model);
    g_assert_false(CbwTenure_IsExclusive(tenure, model.now));
    model.now += Cbw_TENURE_VALID_FOR - Cbw_SEC;
    acquire(&model, 0);
    g_assert_true(CbwTenure_IsExclusive(tenure, model.now + Cbw_SEC));
    g_assert_true(CbwTenure_EndPromotion(tenure, model.now, "p", 4,
                                         (cbw_position_t){3, 9}));
    complete_calls(&model);
    g_assert_true(CbwTenure_IsValid(tenure, model.now));
    g_assert_cmpstr(model.record.holder.host, ==, "h0");
}

/* A tenure lasts from the sending of the call that renewed it, however late
 * its answer arrives. */
static void
test_validity_starts_at_send(void)
{
    static tenure_model_t model;
    cbw_tenure_t *tenure = &model.owners[0].tenure;
    call_t *call;

    init_model(&model, 1);
    acquire(&model, 0);
    g_assert_true(CbwTenure_IsExclusive(tenure, model.now));
    model.now += Cbw_TENURE_RENEW_INTERVAL;
    CbwTenure_Tick(tenure, model.now, "p");
    call = &model.calls[0];
    g_assert_true(call->used && !call->swap);
    apply_call(&model, call);
    model.now += 5 * Cbw_SEC; /* the answer is delayed */
    answer_call(&model, call, false);
    g_assert_true(CbwTenure_IsValid(tenure, model.now));
    g_assert_false(CbwTenure_IsValid(tenure, model.now + Cbw_SEC));
}

/* A new holder's tenure is not exclusive while the previous holder's may be
 * valid; it becomes so when that holder relinquishes its own. */
static void
test_new_holder_waits_for_previous_holder(void)
{
    static tenure_model_t model;
    cbw_tenure_t *second = &model.owners[1].tenure;

    init_model(&model, 2);
    acquire(&model, 0);
    model.now += Cbw_SEC;
    acquire(&model, 1);
    g_assert_true(CbwTenure_IsValid(second, model.now));
    g_assert_false(CbwTenure_IsExclusive(second, model.now));
    g_assert_true(CbwTenure_BeginPromotion(second, model.now, 3));
    complete_calls(&model);
    CbwTenure_AskToRelinquish(second, model.now);
    g_assert_cmpuint(model.relinquish_asked[1], ==, 1);
    CbwTenure_Relinquish(&model.owners[0].tenure, model.now);
    g_assert_false(CbwTenure_IsValid(&model.owners[0].tenure, model.now));
    CbwTenure_OnRelinquished(second, model.now, 1);
    g_assert_true(CbwTenure_IsExclusive(second, model.now));
}

/* An owner that takes the tenure back must not be named as a previous holder:
 * it would ask itself to relinquish, and refuse. */
static void
test_returning_holder_is_not_previous(void)
{
    static tenure_model_t model;

    init_model(&model, 7);
    acquire(&model, 0);
    acquire(&model, 1);
    model.now += Cbw_TENURE_TAKE_OVER_INTERVAL;
    acquire(&model, 0);
    g_assert_cmpuint(model.record.holder.nonce, ==, 1);
    g_assert_cmpint(model.record.previous_holder_count, ==, 1);
    g_assert_cmpuint(model.record.previous_holders[0].nonce, ==, 2);
    for (int i = 0; i < 6; i++) { /* past the other's expiry */
        model.now += Cbw_TENURE_RENEW_INTERVAL;
        acquire(&model, 0);
    }
    g_assert_cmpint(model.record.previous_holder_count, ==, 0);
    g_assert_true(CbwTenure_IsExclusive(&model.owners[0].tenure, model.now));
}

/* A new holder waits only for previous holders whose tenure may not have
 * expired: after several take-overs within the length of a tenure, it must not
 * wait for all that have ever held it. */
static void
test_expired_holders_are_not_waited_for(void)
{
    static tenure_model_t model;
    cbw_tenure_t *third = &model.owners[2].tenure;
    cbw_time_t lost_at;

    init_model(&model, 8);
    acquire(&model, 2);
    acquire(&model, 0);
    lost_at = model.now;
    acquire(&model, 1);
    model.now += Cbw_TENURE_RENEW_INTERVAL;
    CbwTenure_Tick(third, model.now, "p"); /* sees the previous holders */
    complete_calls(&model);
    model.now = lost_at + Cbw_TENURE_VALID_FOR - Cbw_SEC;
    acquire(&model, 2);
    CbwTenure_OnRelinquished(third, model.now, 2);
    g_assert_false(CbwTenure_IsExclusive(third, model.now));
    g_assert_cmpint(third->exclusive_from, <,
                    lost_at + Cbw_TENURE_VALID_FOR + 3 * Cbw_SEC);
}

/* A take-over whose answer was lost does not make the tenure exclusive before
 * the previous holder's has expired. */
static void
test_lost_swap_is_not_exclusive(void)
{
    static tenure_model_t model;
    cbw_tenure_t *second = &model.owners[1].tenure;

    init_model(&model, 3);
    acquire(&model, 0);
    CbwTenure_Tick(second, model.now, "p");
    apply_call(&model, &model.calls[0]);
    /* The second owner reads the first one's record. */
    answer_call(&model, &model.calls[0], false);
    CbwTenure_Tick(second, model.now, "p");
    g_assert_true(model.calls[0].swap);
    apply_call(&model, &model.calls[0]);
    answer_call(&model, &model.calls[0], true);
    model.now += Cbw_TENURE_RETRY_INTERVAL;
    acquire(&model, 1);
    g_assert_true(CbwTenure_IsValid(second, model.now));
    g_assert_false(CbwTenure_IsExclusive(second, model.now));
    model.now += Cbw_TENURE_VALID_FOR;
    acquire(&model, 1);
    g_assert_true(CbwTenure_IsExclusive(second, model.now));
}

/* The answer to a renewal that was sent before the tenure was relinquished
 * does not make it valid again. */
static void
test_late_answer_after_relinquish(void)
{
    static tenure_model_t model;
    cbw_tenure_t *tenure = &model.owners[0].tenure;

    init_model(&model, 4);
    acquire(&model, 0);
    model.now += Cbw_TENURE_RENEW_INTERVAL;
    CbwTenure_Tick(tenure, model.now, "p");
    apply_call(&model, &model.calls[0]);
    CbwTenure_Relinquish(tenure, model.now);
    answer_call(&model, &model.calls[0], false);
    g_assert_false(CbwTenure_IsValid(tenure, model.now));
}

/* A promotion in progress is left to its owner, unless its host is
 * unreachable. */
static void
test_promotion_in_progress_is_not_taken_over(void)
{
    static tenure_model_t model;
    cbw_tenure_t *second = &model.owners[1].tenure;

    init_model(&model, 5);
    acquire(&model, 0);
    g_assert_true(
        CbwTenure_BeginPromotion(&model.owners[0].tenure, model.now, 3));
    complete_calls(&model);
    CbwTenure_Tick(second, model.now, "p");
    complete_calls(&model);
    model.now += Cbw_TENURE_RETRY_INTERVAL;
    CbwTenure_Tick(second, model.now, "p");
    complete_calls(&model);
    g_assert_cmpuint(model.record.holder.nonce, ==, 1);
    /* Its host is unreachable. */
    CbwTenure_OnHolderUnreachable(second, model.now, 1);
    model.now += Cbw_TENURE_RETRY_INTERVAL;
    acquire(&model, 1);
    g_assert_cmpuint(model.record.holder.nonce, ==, 2);
    g_assert_true(second->inherited_promotion);
    g_assert_false(CbwTenure_IsValid(second, model.now));
}

/* Random schedules: calls are applied and answered in any order, late or
 * never; owners pause, and begin and end promotions. In all of them, no owner
 * may acknowledge after another one has requested a promotion. */

/* Returns whether an owner has a valid tenure after another one has requested
 * a promotion. An owner whose own record is promoting does not count, and
 * neither does one whose record is of the same epoch or a later one, as it
 * knows of the promotion. */
static bool
has_conflicting_owners(const tenure_model_t *model)
{
    for (int i = 0; i < OWNERS; i++) {
        for (int j = 0; j < OWNERS; j++) {
            const owner_t *other = &model->owners[j];
            if (i != j && model->owners[i].promotion_requested &&
                CbwTenure_IsValid(&other->tenure, model->now) &&
                !other->tenure.record.promoting &&
                other->tenure.record.epoch <
                    model->owners[i].tenure.record.epoch) {
                return true;
            }
        }
    }
    return false;
}

static void
step_owner(tenure_model_t *model, owner_t *owner, bool waits_for_expiry)
{
    cbw_tenure_t *tenure = &owner->tenure;

    CbwTenure_Tick(tenure, model->now, "p");
    if (!tenure->held) {
        owner->promoting = false; /* another owner is the holder */
        owner->promotion_requested = false;
    }
    if (owner->promoting && tenure->held && tenure->record.promoting &&
        !tenure->call_in_flight && !tenure->inherited_promotion) {
        CbwTenure_AskToRelinquish(tenure, model->now);
        owner->promotion_requested |=
            !waits_for_expiry || model->now >= tenure->exclusive_from;
    }
    else if (CbwRandom_Below(&model->random, 40) == 0 && tenure->held) {
        owner->promoting = CbwTenure_BeginPromotion(tenure, model->now, 3);
    }
    if (owner->promotion_requested && !tenure->call_in_flight &&
        CbwRandom_Below(&model->random, 8) == 0 &&
        CbwTenure_EndPromotion(tenure, model->now, "p", 4,
                               (cbw_position_t){3, 9})) {
        owner->promoting = false;
        owner->promotion_requested = false;
    }
}

static void
step_call(tenure_model_t *model, call_t *call)
{
    uint64_t choice = CbwRandom_Below(&model->random, 10);

    if (!call->applied && choice < 6) {
        apply_call(model, call);
        call->used = !call->answered;
    }
    else if (call->applied && choice < 8) {
        answer_call(model, call, false);
    }
    else if (choice == 9 && !call->answered) {
        answer_call(model, call, true);
    }
}

static void
deliver_relinquish_request(tenure_model_t *model, int asker)
{
    uint64_t nonce = model->relinquish_asked[asker];
    owner_t *holder;

    model->relinquish_asked[asker] = 0;
    if (nonce == 0 || nonce > OWNERS ||
        CbwRandom_Below(&model->random, 2) == 0) {
        return; /* the request is lost */
    }
    holder = &model->owners[nonce - 1];
    if (!holder->promoting) {
        CbwTenure_Relinquish(&holder->tenure, model->now);
        CbwTenure_OnRelinquished(&model->owners[asker].tenure, model->now,
                                 nonce);
    }
}

/* Runs one random schedule. Returns whether it violates the rule. */
static bool
violates_rule(uint64_t seed, bool waits_for_expiry)
{
    static tenure_model_t model;
    uint64_t pick;

    init_model(&model, seed);
    for (int step = 0; step < STEPS_PER_SEED; step++) {
        model.now += (cbw_time_t)CbwRandom_Below(&model.random, 60) * Cbw_MSEC;
        if (CbwRandom_Below(&model.random, 50) == 0) {
            model.now += 2 * Cbw_SEC; /* all owners are frozen */
        }
        pick = CbwRandom_Below(&model.random, OWNERS);
        step_owner(&model, &model.owners[pick], waits_for_expiry);
        deliver_relinquish_request(&model, (int)pick);
        for (int i = 0; i < CALLS_MAX; i++) {
            if (model.calls[i].used) {
                step_call(&model, &model.calls[i]);
            }
        }
        if (has_conflicting_owners(&model)) {
            return true;
        }
    }
    return false;
}

static void
test_random_schedules(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        if (violates_rule(seed, true)) {
            g_test_message("seed %" G_GUINT64_FORMAT, seed);
            g_test_fail();
            return;
        }
    }
}

/* Checks the checker: without the wait for the previous holders' expiry, some
 * schedule must violate the rule. */
static void
test_checker_detects_missing_wait(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        if (violates_rule(seed, false)) {
            return;
        }
    }
    g_test_fail();
}

static void
test_record_format(void)
{
    static const char *const bad[] = {
        "",
        "1",
        "1 2 h 2 p 0",
        "1 2 h 0 p 9",
        "1 2 h 0 p 1",
        "x 2 h 0 p 0",
        "1 2 h 0 p -2",
    };
    cbw_tenure_record_t record = {
        .epoch = 7,
        .holder = {9, "host-1", 0},
        .promoting = true,
        .primary = "i-1",
        .term = 12,
        .history = {.count = 2, .starts = {{9, 300}, {12, 345}}},
        .copies = {.count = 2,
                   .items = {{"i-1", "10.0.0.1:7", 1700000000000},
                             {"i-2", "", 0}}},
        .previous_holder_count = 2,
        .previous_holders = {{3, "a", 5}, {4, "b", 6}}};
    cbw_tenure_record_t parsed;
    char text[Cbw_TENURE_TEXT_MAX];
    char mutated[Cbw_TENURE_TEXT_MAX];
    cbw_random_t random;

    CbwTenure_FormatRecord(&record, text);
    g_assert_cmpint(CbwTenure_ParseRecord(&parsed, text), ==, 0);
    g_assert_cmpmem(&parsed, sizeof(parsed), &record, sizeof(record));
    memset(record.primary, 0, sizeof(record.primary)); /* not known */
    CbwTenure_FormatRecord(&record, text);
    g_assert_cmpint(CbwTenure_ParseRecord(&parsed, text), ==, 0);
    g_assert_cmpint(parsed.previous_holder_count, ==, 2);
    g_assert_cmpstr(parsed.primary, ==, "");
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_cmpint(CbwTenure_ParseRecord(&parsed, bad[i]), ==, -1);
    }
    /* Earlier versions write no term. */
    g_assert_cmpint(
        CbwTenure_ParseRecord(&parsed, "7 9 host-1 1 i-1 2 3 a 5 4 b 6"), ==,
        0);
    g_assert_cmpuint(parsed.previous_holders[1].version, ==, 6);
    g_assert_cmpuint(parsed.term, ==, 0);
    CbwRandom_Init(&random, 6);
    for (int i = 0; i < 20000; i++) {
        snprintf(mutated, sizeof(mutated), "%s", text);
        for (int j = 0; j < 3; j++) {
            mutated[CbwRandom_Below(&random, strlen(text))] =
                (char)(1 + CbwRandom_Below(&random, 255));
        }
        CbwTenure_ParseRecord(&parsed, mutated);
    }
}

/* A record's words on its terms, and how far a log is valid by them. */
typedef struct {
    const char *name;
    const char *words; /* after the previous holders */
    cbw_position_t log;
    uint64_t valid;
    bool malformed;
} terms_case_t;

static const terms_case_t terms_cases[] = {
    {"all terms", "5 100 2 2 30 4 60", {4, 120}, 100, false},
    {"all terms, an older log", "5 100 2 2 30 4 60", {2, 90}, 60, false},
    {"a single term", "5 100 0", {2, 90}, 90, false},
    {"the first term", "5 18446744073709551615 0", {2, 90}, 90, false},
    {"an earlier version, the term before", "5 100", {4, 90}, 90, false},
    {"an earlier version, discarded", "5 100", {4, 120}, 100, false},
    {"an earlier version, an older log", "5 100", {2, 90}, 0, false},
    {"an earlier version, the first term",
     "5 18446744073709551615",
     {2, 90},
     90,
     false},
    {"a still earlier version", "", {2, 90}, 90, false},
    {"too many terms", "99 100 16", {0, 0}, 0, true},
    {"a negative number of terms", "5 100 -1", {0, 0}, 0, true},
    {"with copies", "5 100 1 2 30 1 e0 10.0.0.1:1 0", {2, 90}, 90, false},
    {"no terms, with copies",
     "0 18446744073709551615 0 1 e0 10.0.0.1:1 0",
     {2, 90},
     90,
     false},
    {"too many copies", "5 100 1 2 30 13 e0 10.0.0.1:1 0", {0, 0}, 0, true},
    {"copies are missing", "5 100 1 2 30 2 e0 10.0.0.1:1 0", {0, 0}, 0, true},
    {"terms are missing", "5 100 2 2 30", {0, 0}, 0, true},
    {"terms descend", "5 100 2 4 30 2 60", {0, 0}, 0, true},
    {"the present term is among them", "5 100 1 5 30", {0, 0}, 0, true},
};

static void
test_record_terms(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(terms_cases); i++) {
        const terms_case_t *c = &terms_cases[i];
        char text[Cbw_TENURE_TEXT_MAX];
        cbw_tenure_record_t parsed;

        g_test_message("%s", c->name);
        snprintf(text, sizeof(text), "7 9 host-1 0 i-1 1 3 a 5 %s", c->words);
        g_assert_cmpint(CbwTenure_ParseRecord(&parsed, text), ==,
                        c->malformed ? -1 : 0);
        g_assert_cmpuint(CbwTermHistory_Valid(&parsed.history, c->log).index,
                         ==, c->valid);
        if (!c->malformed) {
            cbw_tenure_record_t again;
            CbwTenure_FormatRecord(&parsed, text);
            g_assert_cmpint(CbwTenure_ParseRecord(&again, text), ==, 0);
            g_assert_cmpmem(&again, sizeof(again), &parsed, sizeof(parsed));
        }
    }
}

/* The largest record fits its text. */
static void
test_largest_record(void)
{
    cbw_tenure_record_t record = {.epoch = UINT64_MAX,
                                  .promoting = true,
                                  .term = UINT64_MAX,
                                  .previous_holder_count =
                                      Cbw_TENURE_PREVIOUS_HOLDERS_MAX};
    cbw_tenure_record_t parsed;
    char text[Cbw_TENURE_TEXT_MAX];

    memset(record.primary, 'p', sizeof(record.primary) - 1);
    record.holder.nonce = UINT64_MAX;
    memset(record.holder.host, 'h', sizeof(record.holder.host) - 1);
    for (int i = 0; i < Cbw_TENURE_PREVIOUS_HOLDERS_MAX; i++) {
        record.previous_holders[i] = record.holder;
        record.previous_holders[i].version = UINT64_MAX;
    }
    for (uint64_t i = 1; i <= Cbw_TERM_HISTORY_MAX; i++) {
        CbwTermHistory_Add(
            &record.history,
            (cbw_term_start_t){UINT64_MAX - Cbw_TERM_HISTORY_MAX + i,
                               UINT64_MAX});
    }
    record.copies.count = Cbw_LOG_COPIES_MAX;
    for (int i = 0; i < Cbw_LOG_COPIES_MAX; i++) {
        cbw_log_copy_t *copy = &record.copies.items[i];
        memset(copy->name, 'n', sizeof(copy->name) - 1);
        memset(copy->address, 'a', sizeof(copy->address) - 1);
        copy->started_at = INT64_MIN;
    }
    CbwTenure_FormatRecord(&record, text);
    g_assert_cmpint(CbwTenure_ParseRecord(&parsed, text), ==, 0);
    g_assert_cmpmem(&parsed, sizeof(parsed), &record, sizeof(record));
}

/* The record has the term of its primary: of the one that a promotion replaces
 * until it ends, also if another owner repeats the promotion. */
static void
test_record_term(void)
{
    static tenure_model_t model;
    cbw_tenure_t *first = &model.owners[0].tenure;
    cbw_tenure_t *second = &model.owners[1].tenure;

    init_model(&model, 9);
    acquire(&model, 0);
    g_assert_true(CbwTenure_BeginPromotion(first, model.now, 3));
    complete_calls(&model);
    g_assert_cmpuint(model.record.term, ==, 3);
    model.now += Cbw_TENURE_VALID_FOR + Cbw_TENURE_PROMOTION_TIMEOUT;
    acquire(&model, 1);
    model.now += Cbw_TENURE_PROMOTION_TIMEOUT;
    acquire(&model, 1);
    g_assert_true(CbwTenure_BeginPromotion(second, model.now, 4));
    complete_calls(&model);
    g_assert_cmpuint(model.record.term, ==, 3);
    g_assert_true(CbwTenure_EndPromotion(second, model.now, "q", 5,
                                         (cbw_position_t){4, 9}));
    complete_calls(&model);
    g_assert_cmpuint(model.record.term, ==, 5);
}

void
Suite_AddTenure(void)
{
    g_test_add_func("/tenure/validity-starts-at-send",
                    test_validity_starts_at_send);
    g_test_add_func("/tenure/new-holder-waits-for-previous-holder",
                    test_new_holder_waits_for_previous_holder);
    g_test_add_func("/tenure/returning-holder-is-not-previous",
                    test_returning_holder_is_not_previous);
    g_test_add_func("/tenure/expired-holders-are-not-waited-for",
                    test_expired_holders_are_not_waited_for);
    g_test_add_func("/tenure/lost-swap-is-not-exclusive",
                    test_lost_swap_is_not_exclusive);
    g_test_add_func("/tenure/late-answer-after-relinquish",
                    test_late_answer_after_relinquish);
    g_test_add_func("/tenure/promotion-in-progress",
                    test_promotion_in_progress_is_not_taken_over);
    g_test_add_func("/tenure/random-schedules", test_random_schedules);
    g_test_add_func("/tenure/checker-detects-missing-wait",
                    test_checker_detects_missing_wait);
    g_test_add_func("/tenure/record-format", test_record_format);
    g_test_add_func("/tenure/record-term", test_record_term);
    g_test_add_func("/tenure/record-terms", test_record_terms);
    g_test_add_func("/tenure/largest-record", test_largest_record);
    g_test_add_func("/tenure/unreadable-record", test_unreadable_record);
}
