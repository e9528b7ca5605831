#include "carobwind/tenure.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* An empty field is written as a dash, so that the number of words stays the
 * same. */
static const char *
word_or_dash(const char *field)
{
    return field[0] != '\0' ? field : "-";
}

/* Writes the present term first, as earlier versions read no more. Returns the
 * length. */
static int
format_terms(const cbw_tenure_record_t *record, char *text, size_t size)
{
    const cbw_term_history_t *history = &record->history;
    int earlier = history->count > 0 ? history->count - 1 : 0;
    int length =
        snprintf(text, size, " %" PRIu64 " %" PRIu64 " %d", record->term,
                 history->count > 0 ? history->starts[earlier].base
                                    : Cbw_TERM_BASE_UNKNOWN,
                 earlier);

    for (int i = 0; i < earlier; i++) {
        length += snprintf(text + length, size - (size_t)length,
                           " %" PRIu64 " %" PRIu64, history->starts[i].term,
                           history->starts[i].base);
    }
    return length;
}

/* Writes nothing if there are no copies: the record then is as earlier
 * versions write it. */
static void
format_copies(const cbw_log_copies_t *copies, char *text, size_t size)
{
    int length =
        copies->count > 0 ? snprintf(text, size, " %d", copies->count) : 0;

    for (int i = 0; i < copies->count; i++) {
        const cbw_log_copy_t *copy = &copies->items[i];
        length += snprintf(text + length, size - (size_t)length,
                           " %s %s %" PRId64, copy->name,
                           word_or_dash(copy->address), copy->started_at);
    }
}

void
CbwTenure_FormatRecord(const cbw_tenure_record_t *record, char *text)
{
    int length = snprintf(
        text, Cbw_TENURE_TEXT_MAX, "%" PRIu64 " %" PRIu64 " %s %d %s %d",
        record->epoch, record->holder.nonce, word_or_dash(record->holder.host),
        record->promoting, word_or_dash(record->primary),
        record->previous_holder_count);

    for (int i = 0; i < record->previous_holder_count; i++) {
        length += snprintf(
            text + length, (size_t)(Cbw_TENURE_TEXT_MAX - length),
            " %" PRIu64 " %s %" PRIu64, record->previous_holders[i].nonce,
            record->previous_holders[i].host,
            record->previous_holders[i].version);
    }
    length += format_terms(record, text + length,
                           (size_t)(Cbw_TENURE_TEXT_MAX - length));
    format_copies(&record->copies, text + length,
                  (size_t)(Cbw_TENURE_TEXT_MAX - length));
}

static int
parse_copies(cbw_log_copies_t *copies, const char *text)
{
    int count;
    int consumed;

    if (text[strspn(text, " ")] == '\0') {
        return 0; /* an earlier version wrote the record */
    }
    if (sscanf(text, "%d%n", &count, &consumed) != 1 || count < 0 ||
        count > Cbw_LOG_COPIES_MAX) {
        return -1;
    }
    for (int i = 0; i < count; i++) {
        cbw_log_copy_t *copy = &copies->items[i];
        text += consumed;
        if (sscanf(text, "%47s %31s %" SCNd64 "%n", copy->name, copy->address,
                   &copy->started_at, &consumed) != 3) {
            return -1;
        }
        if (strcmp(copy->address, "-") == 0) {
            copy->address[0] = '\0';
        }
    }
    copies->count = count;
    return 0;
}

/* Parses the terms before `term`, the present one, and advances `text`. */
static int
parse_earlier_terms(cbw_term_history_t *history, uint64_t term,
                    const char **text)
{
    uint64_t last = 0;
    int count;
    int consumed;

    if (sscanf(*text, "%d%n", &count, &consumed) != 1 || count < 0 ||
        count >= Cbw_TERM_HISTORY_MAX) {
        return -1;
    }
    *text += consumed;
    for (int i = 0; i < count; i++) {
        cbw_term_start_t start;
        if (sscanf(*text, "%" SCNu64 " %" SCNu64 "%n", &start.term,
                   &start.base, &consumed) != 2 ||
            start.term <= last || start.term >= term) {
            return -1;
        }
        *text += consumed;
        last = start.term;
        CbwTermHistory_Add(history, start);
    }
    return 0;
}

/* Parses the terms and advances `text`. */
static int
parse_terms(cbw_tenure_record_t *record, const char **text)
{
    cbw_term_start_t present;
    int consumed;

    if (sscanf(*text, "%" SCNu64 " %" SCNu64 "%n", &present.term,
               &present.base, &consumed) != 2) {
        *text = "";
        return 0; /* no term is known */
    }
    *text += consumed;
    if ((*text)[strspn(*text, " ")] != '\0') {
        if (parse_earlier_terms(&record->history, present.term, text) != 0) {
            return -1;
        }
    }
    else if (present.base != Cbw_TERM_BASE_UNKNOWN && present.term > 1) {
        /* Promotions of an earlier version may have discarded entries of any
         * term before. */
        CbwTermHistory_Add(&record->history,
                           (cbw_term_start_t){present.term - 1, 0});
    }
    if (present.term != 0) {
        record->term = present.term;
        CbwTermHistory_Add(&record->history, present);
    }
    return 0;
}

static int
parse_record(cbw_tenure_record_t *record, const char *text)
{
    int promoting;
    int consumed = 0;

    memset(record, 0, sizeof(*record));
    if (sscanf(text, "%" SCNu64 " %" SCNu64 " %47s %d %47s %d%n",
               &record->epoch, &record->holder.nonce, record->holder.host,
               &promoting, record->primary, &record->previous_holder_count,
               &consumed) != 6 ||
        promoting < 0 || promoting > 1 || record->previous_holder_count < -1 ||
        record->previous_holder_count > Cbw_TENURE_PREVIOUS_HOLDERS_MAX) {
        return -1;
    }
    record->promoting = promoting == 1;
    if (strcmp(record->primary, "-") == 0) {
        record->primary[0] = '\0';
    }
    text += consumed;
    for (int i = 0; i < record->previous_holder_count; i++) {
        if (sscanf(text, "%" SCNu64 " %47s %" SCNu64 "%n",
                   &record->previous_holders[i].nonce,
                   record->previous_holders[i].host,
                   &record->previous_holders[i].version, &consumed) != 3) {
            return -1;
        }
        text += consumed;
    }
    if (parse_terms(record, &text) != 0) {
        return -1;
    }
    return parse_copies(&record->copies, text);
}

int
CbwTenure_ParseRecord(cbw_tenure_record_t *record, const char *text)
{
    if (parse_record(record, text) == 0) {
        return 0;
    }
    memset(record, 0, sizeof(*record));
    record->promoting = true;
    record->previous_holder_count = -1;
    return -1;
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
           !tenure->swap_unsettled && now >= tenure->exclusive_from;
}

bool
CbwTenure_IsStoreUnresponsive(const cbw_tenure_t *tenure, cbw_time_t now)
{
    return tenure->last_call_lost ||
           (tenure->call_in_flight &&
            now - tenure->call_sent_at >= Cbw_TENURE_UNRESPONSIVE_AFTER);
}

static void
send_read(cbw_tenure_t *tenure, cbw_time_t now)
{
    tenure->call_in_flight = true;
    tenure->swap_in_flight = false;
    tenure->call_sent_at = now;
    tenure->next_call_at = now + Cbw_TENURE_RENEW_INTERVAL;
    tenure->ops->read_record(tenure->context);
}

static void
send_swap(cbw_tenure_t *tenure, cbw_time_t now,
          const cbw_tenure_record_t *proposed)
{
    tenure->call_in_flight = true;
    tenure->swap_in_flight = true;
    tenure->proposed = *proposed;
    if (tenure->held) {
        tenure->proposed.copies = tenure->copies;
    }
    tenure->call_sent_at = now;
    tenure->next_call_at = now + Cbw_TENURE_RENEW_INTERVAL;
    tenure->ops->swap_record(tenure->context, tenure->version,
                             &tenure->proposed);
}

static bool
is_holder(const cbw_tenure_t *tenure)
{
    return tenure->record_known && tenure->version != 0 &&
           tenure->record.holder.nonce == tenure->self.nonce;
}

static bool
is_previous_holder(const cbw_tenure_record_t *record, uint64_t nonce)
{
    for (int i = 0; i < record->previous_holder_count; i++) {
        if (record->previous_holders[i].nonce == nonce) {
            return true;
        }
    }
    return false;
}

/* Adds the holder of `record`, whose version is `version`, to the previous
 * holders. */
static void
add_previous_holder(cbw_tenure_record_t *record, uint64_t version)
{
    if (record->holder.nonce == 0 || record->previous_holder_count < 0 ||
        is_previous_holder(record, record->holder.nonce)) {
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

/* Removes an owner that becomes the holder again. */
static void
remove_previous_holder(cbw_tenure_record_t *record, uint64_t nonce)
{
    for (int i = 0; i < record->previous_holder_count; i++) {
        if (record->previous_holders[i].nonce == nonce) {
            record->previous_holders[i] =
                record->previous_holders[--record->previous_holder_count];
            return;
        }
    }
}

/* The record has `version` in the store: an unanswered swap that expected
 * another one fails. */
static void
settle_swap(cbw_tenure_t *tenure, uint64_t version)
{
    if (tenure->swap_unsettled && version != tenure->unsettled_version) {
        tenure->swap_unsettled = false;
        tenure->release_unsettled = false;
    }
}

/* Rewrites the record to change its version, so that an unanswered earlier
 * swap fails. */
static void
renew_version(cbw_tenure_t *tenure, cbw_time_t now)
{
    cbw_tenure_record_t proposed = tenure->record;

    if (now >= tenure->exclusive_from) {
        proposed.previous_holder_count = 0;
    }
    send_swap(tenure, now, &proposed);
}

static void
take_over(cbw_tenure_t *tenure, cbw_time_t now, const char *primary)
{
    cbw_tenure_record_t proposed = tenure->record;

    if (tenure->version == 0) {
        memset(&proposed, 0, sizeof(proposed));
        snprintf(proposed.primary, sizeof(proposed.primary), "%s", primary);
    }
    add_previous_holder(&proposed, tenure->version);
    remove_previous_holder(&proposed, tenure->self.nonce);
    proposed.holder = tenure->self;
    send_swap(tenure, now, &proposed);
}

void
CbwTenure_AskToRelinquish(cbw_tenure_t *tenure, cbw_time_t now)
{
    if (!is_holder(tenure) || now >= tenure->exclusive_from ||
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
    if (is_holder(tenure) &&
        (tenure->swap_unsettled ||
         (tenure->record.previous_holder_count != 0 &&
          now >= tenure->exclusive_from) ||
         !CbwLogCopies_IsSame(&tenure->record.copies, &tenure->copies))) {
        renew_version(tenure, now);
        return;
    }
    if (!tenure->record_known || is_holder(tenure) ||
        (tenure->version == 0 && primary[0] == '\0')) {
        send_read(tenure, now);
        return;
    }
    take_over(tenure, now, primary);
}

/* Returns when `holder` was first seen as a previous holder; 0: never. */
static cbw_time_t
first_seen_at(const cbw_tenure_t *tenure, const cbw_tenure_holder_t *holder)
{
    size_t count = tenure->first_seen_count < Cbw_TENURE_FIRST_SEEN_MAX
                       ? tenure->first_seen_count
                       : Cbw_TENURE_FIRST_SEEN_MAX;

    for (size_t i = 0; i < count; i++) {
        if (tenure->first_seen[i].nonce == holder->nonce &&
            tenure->first_seen[i].version == holder->version) {
            return tenure->first_seen[i].at;
        }
    }
    return 0;
}

/* Stores when each previous holder was first seen as such: its last renewal
 * was before that. */
static void
record_previous_holders(cbw_tenure_t *tenure, cbw_time_t now)
{
    for (int i = 0; i < tenure->record.previous_holder_count; i++) {
        const cbw_tenure_holder_t *holder =
            &tenure->record.previous_holders[i];
        if (first_seen_at(tenure, holder) == 0) {
            size_t slot =
                tenure->first_seen_count++ % Cbw_TENURE_FIRST_SEEN_MAX;
            tenure->first_seen[slot].nonce = holder->nonce;
            tenure->first_seen[slot].version = holder->version;
            tenure->first_seen[slot].at = now;
        }
    }
}

/* Updates the time at which the last of the others' tenures ends. */
static void
update_exclusive_from(cbw_tenure_t *tenure, cbw_time_t now)
{
    cbw_time_t latest_expiry = now;

    if (tenure->record.previous_holder_count < 0) {
        return; /* the record does not name all previous holders */
    }
    for (int i = 0; i < tenure->record.previous_holder_count; i++) {
        cbw_time_t seen =
            first_seen_at(tenure, &tenure->record.previous_holders[i]);
        cbw_time_t expiry = (seen != 0 ? seen : now) + Cbw_TENURE_VALID_FOR;
        if ((tenure->relinquished & (1U << i)) == 0 &&
            expiry > latest_expiry) {
            latest_expiry = expiry;
        }
    }
    if (latest_expiry < tenure->exclusive_from) {
        tenure->exclusive_from = latest_expiry;
    }
}

/* This owner has become the holder. Others' tenures end when they expire or
 * are relinquished. */
static void
begin_holding(cbw_tenure_t *tenure, cbw_time_t now)
{
    tenure->held = true;
    tenure->copies = tenure->record.copies;
    tenure->relinquished = 0;
    tenure->relinquish_asked_at = 0;
    tenure->take_over_delayed_from = now;
    tenure->exclusive_from = now + Cbw_TENURE_VALID_FOR;
    update_exclusive_from(tenure, now);
}

void
CbwTenure_OnHolderUnreachable(cbw_tenure_t *tenure, cbw_time_t now,
                              uint64_t nonce)
{
    if (!is_holder(tenure) && tenure->record.holder.nonce == nonce) {
        /* As after a timeout of the promotion: it may be taken over. */
        tenure->version_seen_at = now - Cbw_TENURE_PROMOTION_TIMEOUT;
    }
}

void
CbwTenure_OnRelinquished(cbw_tenure_t *tenure, cbw_time_t now, uint64_t nonce)
{
    if (!is_holder(tenure)) {
        /* Its promotion may be taken over, as that of an unreachable one. */
        CbwTenure_OnHolderUnreachable(tenure, now, nonce);
        return;
    }
    for (int i = 0; i < tenure->record.previous_holder_count; i++) {
        if (tenure->record.previous_holders[i].nonce == nonce) {
            tenure->relinquished |= 1U << i;
        }
    }
    update_exclusive_from(tenure, now);
}

void
CbwTenure_Relinquish(cbw_tenure_t *tenure, cbw_time_t now)
{
    tenure->valid_until = 0;
    tenure->held = false;
    tenure->record_known = false;
    tenure->relinquished_at = now;
    tenure->take_over_delayed_from = now;
    tenure->next_call_at = now + Cbw_TENURE_RETRY_INTERVAL;
}

void
CbwTenure_Defer(cbw_tenure_t *tenure, cbw_time_t until)
{
    tenure->record_known = false;
    tenure->next_call_at = until;
}

void
CbwTenure_SetCopies(cbw_tenure_t *tenure, cbw_time_t now,
                    const cbw_log_copies_t *copies)
{
    tenure->copies = *copies;
    if (is_holder(tenure) &&
        !CbwLogCopies_IsSame(&tenure->record.copies, copies)) {
        CbwTenure_RenewEarly(tenure, now);
    }
}

void
CbwTenure_RenewEarly(cbw_tenure_t *tenure, cbw_time_t now)
{
    if (!tenure->call_in_flight &&
        now >= tenure->call_sent_at + Cbw_TENURE_RETRY_INTERVAL) {
        tenure->next_call_at = now;
    }
}

static void
begin_term(cbw_tenure_record_t *record, uint64_t term, uint64_t base)
{
    if (term == 0) {
        return;
    }
    record->term = term;
    CbwTermHistory_Add(&record->history, (cbw_term_start_t){term, base});
}

bool
CbwTenure_BeginPromotion(cbw_tenure_t *tenure, cbw_time_t now, uint64_t term)
{
    cbw_tenure_record_t proposed = tenure->record;

    if (tenure->call_in_flight || !is_holder(tenure)) {
        return false;
    }
    proposed.epoch++;
    proposed.promoting = true;
    if (proposed.term == 0) {
        begin_term(&proposed, term, Cbw_TERM_BASE_UNKNOWN);
    }
    if (now >= tenure->exclusive_from) {
        proposed.previous_holder_count = 0;
    }
    send_swap(tenure, now, &proposed);
    return true;
}

bool
CbwTenure_EndPromotion(cbw_tenure_t *tenure, cbw_time_t now,
                       const char *primary, uint64_t term, cbw_position_t base)
{
    cbw_tenure_record_t proposed = tenure->record;

    if (tenure->call_in_flight || !is_holder(tenure)) {
        return false;
    }
    proposed.promoting = false;
    /* The promotion of the present primary may leave its term as it was. */
    if (term != proposed.term) {
        CbwTermHistory_Truncate(&proposed.history, base.term);
        begin_term(&proposed, term, base.index);
    }
    snprintf(proposed.primary, sizeof(proposed.primary), "%s", primary);
    send_swap(tenure, now, &proposed);
    return true;
}

void
CbwTenure_KeepPromotion(cbw_tenure_t *tenure, cbw_time_t now)
{
    if (!tenure->call_in_flight && is_holder(tenure) &&
        now < tenure->valid_until && tenure->record.promoting &&
        now - tenure->version_seen_at >= Cbw_TENURE_KEEP_INTERVAL) {
        renew_version(tenure, now);
    }
}

void
CbwTenure_Release(cbw_tenure_t *tenure, cbw_time_t now)
{
    cbw_tenure_record_t proposed = tenure->record;

    tenure->valid_until = 0;
    if (tenure->call_in_flight || !is_holder(tenure)) {
        return;
    }
    if (now >= tenure->exclusive_from) {
        proposed.previous_holder_count = 0;
    }
    memset(&proposed.holder, 0, sizeof(proposed.holder));
    send_swap(tenure, now, &proposed);
}

void
CbwTenure_OnRecord(cbw_tenure_t *tenure, cbw_time_t now,
                   cbw_store_status_t status, uint64_t version,
                   const cbw_tenure_record_t *record)
{
    tenure->call_in_flight = false;
    tenure->last_call_lost = status == CBW_STORE_LOST;
    if (tenure->relinquished_at >= tenure->call_sent_at) {
        return; /* the record may have been read before that */
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
    settle_swap(tenure, version);
    record_previous_holders(tenure, now);
    if (is_holder(tenure)) {
        if (!tenure->held) {
            /* A swap whose answer was lost has made this owner the holder. */
            begin_holding(tenure, now);
            tenure->inherited_promotion = record->promoting;
        }
        if (!tenure->release_unsettled) {
            tenure->valid_until = tenure->call_sent_at + Cbw_TENURE_VALID_FOR;
        }
        if (tenure->swap_unsettled) {
            tenure->next_call_at = now;
        }
        return;
    }
    tenure->held = false;
    if (record->promoting && record->holder.nonce != 0) {
        tenure->valid_until = 0;
        tenure->ops->ask_to_relinquish(tenure->context, &record->holder);
        if (now < tenure->version_seen_at + Cbw_TENURE_PROMOTION_TIMEOUT) {
            /* Reads the record again soon, to learn of the promotion's end
             * without interfering. */
            tenure->record_known = false;
            tenure->next_call_at = now + Cbw_TENURE_RETRY_INTERVAL;
            return;
        }
    }
    tenure->next_call_at =
        tenure->take_over_delayed_from == 0
            ? now
            : tenure->take_over_delayed_from + Cbw_TENURE_TAKE_OVER_INTERVAL;
}

void
CbwTenure_OnSwap(cbw_tenure_t *tenure, cbw_time_t now,
                 cbw_store_status_t status, uint64_t version)
{
    bool is_take_over = !is_holder(tenure);

    tenure->call_in_flight = false;
    tenure->last_call_lost = status == CBW_STORE_LOST;
    if (status == CBW_STORE_LOST) {
        bool repeated = tenure->swap_unsettled &&
                        tenure->unsettled_version == tenure->version;
        tenure->release_unsettled = tenure->proposed.holder.nonce == 0 ||
                                    (repeated && tenure->release_unsettled);
        tenure->swap_unsettled = true;
        tenure->unsettled_version = tenure->version;
    }
    if (tenure->relinquished_at >= tenure->call_sent_at) {
        return; /* the record is read again */
    }
    if (status != CBW_STORE_OK) {
        /* A conflict, or the answer is lost: the record is read again. */
        tenure->record_known = false;
        tenure->next_call_at = status == CBW_STORE_CONFLICT
                                   ? now
                                   : now + Cbw_TENURE_RETRY_INTERVAL;
        return;
    }
    if (!is_take_over && tenure->proposed.epoch != tenure->record.epoch) {
        /* This owner's own promotion supersedes the inherited one. */
        tenure->inherited_promotion = false;
    }
    settle_swap(tenure, version);
    tenure->version = version;
    tenure->version_seen_at = now;
    tenure->record = tenure->proposed;
    record_previous_holders(tenure, now);
    if (is_take_over) {
        begin_holding(tenure, now);
        tenure->inherited_promotion = tenure->record.promoting;
    }
    tenure->valid_until =
        is_holder(tenure) ? tenure->call_sent_at + Cbw_TENURE_VALID_FOR : 0;
}
