#include "carobwind/tenure.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void
CbwTenure_FormatRecord(const cbw_tenure_record_t *record, char *text)
{
    int length = snprintf(
        text, Cbw_TENURE_TEXT_MAX, "%" PRIu64 " %" PRIu64 " %s %d %s %d",
        record->epoch, record->holder.nonce,
        record->holder.host[0] != '\0' ? record->holder.host : "-",
        record->promoting, record->primary, record->previous_holder_count);

    for (int i = 0; i < record->previous_holder_count; i++) {
        length += snprintf(
            text + length, (size_t)(Cbw_TENURE_TEXT_MAX - length),
            " %" PRIu64 " %s %" PRIu64, record->previous_holders[i].nonce,
            record->previous_holders[i].host,
            record->previous_holders[i].version);
    }
}

int
CbwTenure_ParseRecord(cbw_tenure_record_t *record, const char *text)
{
    int promoting;
    int used = 0;

    memset(record, 0, sizeof(*record));
    if (sscanf(text, "%" SCNu64 " %" SCNu64 " %47s %d %47s %d%n",
               &record->epoch, &record->holder.nonce, record->holder.host,
               &promoting, record->primary, &record->previous_holder_count,
               &used) != 6 ||
        promoting < 0 || promoting > 1 || record->previous_holder_count < -1 ||
        record->previous_holder_count > Cbw_TENURE_PREVIOUS_HOLDERS_MAX) {
        return -1;
    }
    record->promoting = promoting == 1;
    for (int i = 0; i < record->previous_holder_count; i++) {
        text += used;
        if (sscanf(text, "%" SCNu64 " %47s %" SCNu64 "%n",
                   &record->previous_holders[i].nonce,
                   record->previous_holders[i].host,
                   &record->previous_holders[i].version, &used) != 3) {
            return -1;
        }
    }
    return 0;
}

void
CbwTenure_Init(cbw_tenure_t *tenure, const cbw_tenure_ops_t *ops,
               void *context, uint64_t nonce, const char *host)
{
    memset(tenure, 0, sizeof(*tenure));
    tenure->ops = ops;
    tenure->context = context;
    tenure->self.nonce = nonce;
    snprintf(tenure->self.host, sizeof(tenure->self.host), "%s", host);
}

bool
CbwTenure_IsValid(const cbw_tenure_t *tenure, cbw_time_t now)
{
    return now < tenure->valid_until && !tenure->inherited_promotion;
}

bool
CbwTenure_IsExclusive(const cbw_tenure_t *tenure, cbw_time_t now)
{
    return CbwTenure_IsValid(tenure, now) && tenure->held &&
           now >= tenure->exclusive_from;
}

bool
CbwTenure_IsStoreUnresponsive(const cbw_tenure_t *tenure, cbw_time_t now)
{
    return tenure->last_call_lost ||
           (tenure->call_in_flight &&
            now - tenure->call_sent_at >= Cbw_TENURE_UNRESPONSIVE_AFTER);
}

static void
ask_record(cbw_tenure_t *tenure, cbw_time_t now)
{
    tenure->call_in_flight = true;
    tenure->swap_in_flight = false;
    tenure->call_sent_at = now;
    tenure->next_call_at = now + Cbw_TENURE_RENEW_INTERVAL;
    tenure->ops->read_record(tenure->context);
}

static void
swap_record(cbw_tenure_t *tenure, cbw_time_t now,
            const cbw_tenure_record_t *wanted)
{
    tenure->call_in_flight = true;
    tenure->swap_in_flight = true;
    tenure->proposed = *wanted;
    tenure->call_sent_at = now;
    tenure->next_call_at = now + Cbw_TENURE_RENEW_INTERVAL;
    tenure->ops->swap_record(tenure->context, tenure->version, wanted);
}

static bool
is_ours(const cbw_tenure_t *tenure)
{
    return tenure->record_known && tenure->version != 0 &&
           tenure->record.holder.nonce == tenure->self.nonce;
}

static bool
is_former(const cbw_tenure_record_t *record, uint64_t nonce)
{
    for (int i = 0; i < record->previous_holder_count; i++) {
        if (record->previous_holders[i].nonce == nonce) {
            return true;
        }
    }
    return false;
}

/* The holder of `record`, which stands at `version`, becomes a former one. */
static void
add_former(cbw_tenure_record_t *record, uint64_t version)
{
    if (record->holder.nonce == 0 || record->previous_holder_count < 0 ||
        is_former(record, record->holder.nonce)) {
        return;
    }
    if (record->previous_holder_count == Cbw_TENURE_PREVIOUS_HOLDERS_MAX) {
        record->previous_holder_count = -1;
        return;
    }
    record->previous_holders[record->previous_holder_count] = record->holder;
    record->previous_holders[record->previous_holder_count++].version =
        version;
}

/* This owner holds again: it is not a former holder. */
static void
remove_former(cbw_tenure_record_t *record, uint64_t nonce)
{
    for (int i = 0; i < record->previous_holder_count; i++) {
        if (record->previous_holders[i].nonce == nonce) {
            record->previous_holders[i] =
                record->previous_holders[--record->previous_holder_count];
            return;
        }
    }
}

static void
take_over(cbw_tenure_t *tenure, cbw_time_t now, const char *primary)
{
    cbw_tenure_record_t wanted = tenure->record;

    if (tenure->version == 0) {
        memset(&wanted, 0, sizeof(wanted));
        snprintf(wanted.primary, sizeof(wanted.primary), "%s", primary);
    }
    add_former(&wanted, tenure->version);
    remove_former(&wanted, tenure->self.nonce);
    wanted.holder = tenure->self;
    swap_record(tenure, now, &wanted);
}

/* Their rights have ended: the record need not name them any more. */
static void
clear_formers(cbw_tenure_t *tenure, cbw_time_t now)
{
    cbw_tenure_record_t wanted = tenure->record;

    wanted.previous_holder_count = 0;
    swap_record(tenure, now, &wanted);
}

void
CbwTenure_AskToRelinquish(cbw_tenure_t *tenure, cbw_time_t now)
{
    if (!is_ours(tenure) || now >= tenure->exclusive_from ||
        now < tenure->relinquish_asked_at + Cbw_TENURE_RELINQUISH_INTERVAL) {
        return;
    }
    tenure->relinquish_asked_at = now;
    for (int i = 0; i < tenure->record.previous_holder_count; i++) {
        if ((tenure->relinquished & (1U << i)) == 0) {
            tenure->ops->ask_to_relinquish(
                tenure->context, &tenure->record.previous_holders[i]);
        }
    }
}

void
CbwTenure_Tick(cbw_tenure_t *tenure, cbw_time_t now, const char *primary)
{
    if (tenure->call_in_flight || now < tenure->next_call_at) {
        return;
    }
    if (is_ours(tenure) && tenure->record.previous_holder_count != 0 &&
        now >= tenure->exclusive_from) {
        clear_formers(tenure, now);
        return;
    }
    if (!tenure->record_known || is_ours(tenure) ||
        (tenure->version == 0 && primary[0] == '\0')) {
        ask_record(tenure, now);
        return;
    }
    take_over(tenure, now, primary);
}

/* When `former` was first seen as one; 0: it was not. */
static cbw_time_t
seen_since(const cbw_tenure_t *tenure, const cbw_tenure_holder_t *former)
{
    size_t count = tenure->first_seen_count < Cbw_TENURE_FIRST_SEEN_MAX
                       ? tenure->first_seen_count
                       : Cbw_TENURE_FIRST_SEEN_MAX;

    for (size_t i = 0; i < count; i++) {
        if (tenure->first_seen[i].nonce == former->nonce &&
            tenure->first_seen[i].version == former->version) {
            return tenure->first_seen[i].at;
        }
    }
    return 0;
}

/* A holder that is seen as a former one proved its right before `now` for the
 * last time. */
static void
note_formers(cbw_tenure_t *tenure, cbw_time_t now)
{
    for (int i = 0; i < tenure->record.previous_holder_count; i++) {
        const cbw_tenure_holder_t *former =
            &tenure->record.previous_holders[i];
        if (seen_since(tenure, former) == 0) {
            size_t place =
                tenure->first_seen_count++ % Cbw_TENURE_FIRST_SEEN_MAX;
            tenure->first_seen[place].nonce = former->nonce;
            tenure->first_seen[place].version = former->version;
            tenure->first_seen[place].at = now;
        }
    }
}

/* Works out when the last of the others' rights ends. */
static void
update_sole(cbw_tenure_t *tenure, cbw_time_t now)
{
    cbw_time_t latest = now;

    if (tenure->record.previous_holder_count < 0) {
        return; /* not all are named */
    }
    for (int i = 0; i < tenure->record.previous_holder_count; i++) {
        cbw_time_t seen =
            seen_since(tenure, &tenure->record.previous_holders[i]);
        cbw_time_t end = (seen != 0 ? seen : now) + Cbw_TENURE_VALID_FOR;
        if ((tenure->relinquished & (1U << i)) == 0 && end > latest) {
            latest = end;
        }
    }
    if (latest < tenure->exclusive_from) {
        tenure->exclusive_from = latest;
    }
}

/* The record became this owner's; others' rights end in time, or when they are
 * given up. */
static void
begin_holding(cbw_tenure_t *tenure, cbw_time_t now)
{
    tenure->held = true;
    tenure->relinquished = 0;
    tenure->relinquish_asked_at = 0;
    tenure->took_over_at = now;
    tenure->exclusive_from = now + Cbw_TENURE_VALID_FOR;
    update_sole(tenure, now);
}

void
CbwTenure_OnHolderUnreachable(cbw_tenure_t *tenure, cbw_time_t now,
                              uint64_t nonce)
{
    if (!is_ours(tenure) && tenure->record.holder.nonce == nonce) {
        tenure->version_seen_at = now - Cbw_TENURE_PROMOTION_TIMEOUT;
    }
}

void
CbwTenure_OnRelinquished(cbw_tenure_t *tenure, cbw_time_t now, uint64_t nonce)
{
    if (!is_ours(tenure)) {
        CbwTenure_OnHolderUnreachable(tenure, now, nonce);
        return;
    }
    for (int i = 0; i < tenure->record.previous_holder_count; i++) {
        if (tenure->record.previous_holders[i].nonce == nonce) {
            tenure->relinquished |= 1U << i;
        }
    }
    update_sole(tenure, now);
}

void
CbwTenure_Relinquish(cbw_tenure_t *tenure, cbw_time_t now)
{
    tenure->valid_until = 0;
    tenure->held = false;
    tenure->record_known = false;
    tenure->relinquished_at = now;
    tenure->took_over_at = now; /* leaves it to the other for a while */
    tenure->next_call_at = now + Cbw_TENURE_RETRY_INTERVAL;
}

void
CbwTenure_Defer(cbw_tenure_t *tenure, cbw_time_t until)
{
    tenure->record_known = false;
    tenure->next_call_at = until;
}

void
CbwTenure_RenewEarly(cbw_tenure_t *tenure, cbw_time_t now)
{
    if (!tenure->call_in_flight &&
        now >= tenure->call_sent_at + Cbw_TENURE_RETRY_INTERVAL) {
        tenure->next_call_at = now;
    }
}

bool
CbwTenure_BeginPromotion(cbw_tenure_t *tenure, cbw_time_t now)
{
    cbw_tenure_record_t wanted = tenure->record;

    if (tenure->call_in_flight || !is_ours(tenure)) {
        return false;
    }
    wanted.epoch++;
    wanted.promoting = true;
    if (now >= tenure->exclusive_from) {
        wanted.previous_holder_count = 0;
    }
    swap_record(tenure, now, &wanted);
    return true;
}

bool
CbwTenure_EndPromotion(cbw_tenure_t *tenure, cbw_time_t now,
                       const char *primary)
{
    cbw_tenure_record_t wanted = tenure->record;

    if (tenure->call_in_flight || !is_ours(tenure)) {
        return false;
    }
    wanted.promoting = false;
    snprintf(wanted.primary, sizeof(wanted.primary), "%s", primary);
    swap_record(tenure, now, &wanted);
    return true;
}

void
CbwTenure_Release(cbw_tenure_t *tenure, cbw_time_t now)
{
    cbw_tenure_record_t wanted = tenure->record;

    tenure->valid_until = 0;
    if (tenure->call_in_flight || !is_ours(tenure)) {
        return;
    }
    if (now >= tenure->exclusive_from) {
        wanted.previous_holder_count = 0;
    }
    memset(&wanted.holder, 0, sizeof(wanted.holder));
    swap_record(tenure, now, &wanted);
}

void
CbwTenure_OnRecord(cbw_tenure_t *tenure, cbw_time_t now,
                   cbw_store_status_t status, uint64_t version,
                   const cbw_tenure_record_t *record)
{
    tenure->call_in_flight = false;
    tenure->last_call_lost = status == CBW_STORE_LOST;
    if (tenure->relinquished_at >= tenure->call_sent_at) {
        return; /* it may be older than the giving up */
    }
    if (status == CBW_STORE_MISSING) {
        tenure->record_known = true;
        tenure->version = 0;
        tenure->valid_until = 0;
        tenure->next_call_at = now + Cbw_TENURE_RETRY_INTERVAL;
        return;
    }
    if (status != CBW_STORE_OK) {
        tenure->next_call_at = now + Cbw_TENURE_RETRY_INTERVAL;
        return;
    }
    if (tenure->version != version) {
        tenure->version_seen_at = now;
    }
    tenure->record_known = true;
    tenure->version = version;
    tenure->record = *record;
    note_formers(tenure, now);
    if (is_ours(tenure)) {
        if (!tenure->held) {
            begin_holding(tenure, now); /* by a swap whose answer was lost */
            tenure->inherited_promotion = record->promoting;
        }
        tenure->valid_until = tenure->call_sent_at + Cbw_TENURE_VALID_FOR;
        return;
    }
    tenure->held = false;
    if (record->promoting && record->holder.nonce != 0) {
        tenure->valid_until = 0;
        tenure->ops->ask_to_relinquish(tenure->context, &record->holder);
        if (now < tenure->version_seen_at + Cbw_TENURE_PROMOTION_TIMEOUT) {
            /* Hears of its end soon, without disturbing it. */
            tenure->record_known = false;
            tenure->next_call_at = now + Cbw_TENURE_RETRY_INTERVAL;
            return;
        }
    }
    tenure->next_call_at =
        tenure->took_over_at == 0
            ? now
            : tenure->took_over_at + Cbw_TENURE_TAKE_OVER_INTERVAL;
}

void
CbwTenure_OnSwap(cbw_tenure_t *tenure, cbw_time_t now,
                 cbw_store_status_t status, uint64_t version)
{
    bool took_over = !is_ours(tenure);

    tenure->call_in_flight = false;
    tenure->last_call_lost = status == CBW_STORE_LOST;
    if (tenure->relinquished_at >= tenure->call_sent_at) {
        return; /* reads it back */
    }
    if (status != CBW_STORE_OK) {
        /* Another was first, or the answer is lost: reads it back. */
        tenure->record_known = false;
        tenure->next_call_at = status == CBW_STORE_CONFLICT
                                   ? now
                                   : now + Cbw_TENURE_RETRY_INTERVAL;
        return;
    }
    if (!took_over && tenure->proposed.epoch != tenure->record.epoch) {
        tenure->inherited_promotion =
            false; /* this owner orders one of its own */
    }
    tenure->version = version;
    tenure->record = tenure->proposed;
    note_formers(tenure, now);
    if (took_over) {
        begin_holding(tenure, now);
        tenure->inherited_promotion = tenure->record.promoting;
    }
    tenure->valid_until =
        is_ours(tenure) ? tenure->call_sent_at + Cbw_TENURE_VALID_FOR : 0;
}
