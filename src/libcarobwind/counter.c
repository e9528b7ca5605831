#include "carobwind/counter.h"

#include <inttypes.h>
#include <stdio.h>

const char *const CbwCounter_String[] = {
    "requests_total",
    "requests_done_total",
    "requests_notrun_total",
    "requests_unknown_total",
    "requests_refused_at_entry_total",
    "requests_refused_by_owner_total",
    "requests_expired_in_queue_total",
    "requests_refused_quota_total",
    "requests_refused_no_capacity_total",
    "requests_refused_no_endpoint_total",
    "requests_cancelled_in_queue_total",
    "requests_malformed_total",
    "reads_from_primary_total",
    "reads_from_replica_total",
    "reads_dispatched_total",
    "reads_handed_back_total",
    "samples_asked_total",
    "sent_in_data_centre_total",
    "sent_in_region_total",
    "sent_outside_region_total",
    "left_region_without_endpoint_total",
    "left_region_behind_total",
    "left_region_queue_total",
    "writes_total",
    "replica_answers_rejected_total",
    "requests_forwarded_total",
    "forward_retries_total",
    "retries_total",
    "retries_denied_total",
    "endpoint_calls_timed_out_total",
    "keys_settled_total",
    "confirmation_rounds_total",
    "state_calls_total",
    "promotions_started_total",
    "promotions_won_total",
    "promotions_lost_total",
    "valid_log_waits_total",
    "losses_accepted_total",
    "known_losses_total",
    "discarded_logs_promoted_total",
    "promotion_orders_cancelled_total",
    "tenure_swaps_unanswered_total",
    "commits_superseded_total",
    "endpoint_connections_opened_total",
    "endpoint_connections_lost_total",
    "endpoint_statements_unknown_total",
    "endpoint_transaction_mismatches_total",
    "endpoint_connections_opened_for_workspace_total",
    "endpoint_connections_closed_for_workspace_total",
    "store_calls_total",
    "store_failures_total",
    "store_through_peers_total",
    "store_held_back_total",
    "peer_control_messages_total",
    "peer_control_bytes_total",
    "peer_statement_bytes_total",
    "peer_probe_bytes_total",
    "peer_members_bytes_total",
    "peer_registry_bytes_total",
    "peer_other_bytes_total",
    "store_read_bytes_total",
    "probes_total",
    "configurations_applied_total",
    "configurations_fetched_total",
    "records_unusable_total",
    "sessions_total",
    "sessions_refused_kind_total",
    "sessions_refused_key_total",
    "sessions_revoked_total",
    "requests_of_unknown_workspace_total",
    "transactions_total",
    "quota_shares_lent_total",
    "quota_shares_borrowed_total",
    "quota_messages_total",
    "clients_closed_slow_total",
    "clients_closed_unread_total",
    "clients_closed_memory_total",
    "clients_closed_descriptors_total",
    "clients_closed_delivered_total",
    "messages_too_large_total",
    "session_data_refused_total",
    "accepts_paused_total",
};

_Static_assert(sizeof(CbwCounter_String) / sizeof(CbwCounter_String[0]) ==
                   CBW_COUNTER_COUNT_,
               "each counter has a name");

void
CbwCounter_Add(cbw_counters_t *counters, cbw_counter_id_t id, uint64_t amount)
{
    if (counters != NULL) {
        counters->values[id] += amount;
    }
}

size_t
CbwCounter_Format(const cbw_counters_t *counters, char *text, size_t size)
{
    size_t length = 0;

    for (int i = 0; i < CBW_COUNTER_COUNT_ && length < size; i++) {
        int written = snprintf(
            text + length, size - length,
            "# TYPE carobwind_%s counter\ncarobwind_%s %" PRIu64 "\n",
            CbwCounter_String[i], CbwCounter_String[i], counters->values[i]);
        length += (size_t)written;
    }
    return length < size ? length : size - 1;
}
