#include "messages.h"

#include <stdlib.h>
#include <string.h>

static bool_t
xdr_no_arguments(XDR *xdr, ...)
{
    (void)xdr;
    return TRUE;
}

#define CODEC(function) ((xdrproc_t)(void (*)(void))(function))

const peer_codec_t Peer_Codecs[] = {
    [PEER_PROBE] = {CODEC(xdr_peer_probe_args), CODEC(xdr_peer_probe_result)},
    [PEER_STATEMENT] = {CODEC(xdr_peer_statement_args),
                        CODEC(xdr_peer_statement_result)},
    [PEER_CONFIG] = {CODEC(xdr_peer_config_args),
                     CODEC(xdr_peer_config_result)},
    [PEER_REACH] = {CODEC(xdr_peer_reach_args), CODEC(xdr_bool)},
    [PEER_MEMBERS] = {xdr_no_arguments, CODEC(xdr_peer_members_result)},
    [PEER_EXPLAIN] = {CODEC(xdr_peer_text_args), CODEC(xdr_peer_text_result)},
    [PEER_TRACE] = {CODEC(xdr_peer_text_args), CODEC(xdr_peer_text_result)},
    [PEER_STATUS] = {xdr_no_arguments, CODEC(xdr_peer_text_result)},
    [PEER_COUNTERS] = {xdr_no_arguments, CODEC(xdr_peer_text_result)},
    [PEER_DRAIN] = {xdr_no_arguments, CODEC(xdr_bool)},
    [PEER_GIVE_UP] = {CODEC(xdr_peer_give_up_args), CODEC(xdr_bool)},
    [PEER_PREPARE] = {CODEC(xdr_peer_prepare_args), CODEC(xdr_bool)},
    [PEER_REGISTRY] = {CODEC(xdr_peer_registry_args),
                       CODEC(xdr_peer_store_result)},
    [PEER_REGISTRY_DIFF] = {CODEC(xdr_peer_registry_diff_args),
                            CODEC(xdr_peer_store_result)},
    [PEER_MEMBERS_DIFF] = {CODEC(xdr_peer_members_diff_args),
                           CODEC(xdr_peer_members_result)},
    [PEER_CANCEL] = {CODEC(xdr_peer_cancel_args), CODEC(xdr_bool)},
    [PEER_SAMPLE] = {CODEC(xdr_peer_sample_args),
                     CODEC(xdr_peer_sample_result)},
    [PEER_ACCEPT_LOSS] = {CODEC(xdr_peer_accept_loss_args),
                          CODEC(xdr_peer_text_result)},
    [PEER_STORE] = {CODEC(xdr_peer_store_args), CODEC(xdr_peer_store_result)},
    [PEER_QUOTA] = {CODEC(xdr_peer_quota_args), CODEC(xdr_peer_quota_result)},
};

const char *const Peer_KindString[Cbw_TRAFFIC_KINDS] = {
    [Cbw_TRAFFIC_LATE] = "late",
    [PEER_PROBE] = "probe",
    [PEER_STATEMENT] = "statement",
    [PEER_CONFIG] = "config",
    [PEER_REACH] = "reach",
    [PEER_MEMBERS] = "members",
    [PEER_EXPLAIN] = "explain",
    [PEER_TRACE] = "trace",
    [PEER_STATUS] = "status",
    [PEER_COUNTERS] = "counters",
    [PEER_DRAIN] = "drain",
    [PEER_STORE] = "store",
    [PEER_GIVE_UP] = "give_up",
    [PEER_PREPARE] = "prepare",
    [PEER_REGISTRY] = "registry",
    [PEER_REGISTRY_DIFF] = "registry_diff",
    [PEER_MEMBERS_DIFF] = "members_diff",
    [PEER_QUOTA] = "quota",
    [PEER_CANCEL] = "cancel",
    [PEER_SAMPLE] = "sample",
    [PEER_ACCEPT_LOSS] = "accept_loss",
};

const char *const Store_VerbString[Cbw_TRAFFIC_VERBS] = {
    [STORE_GET] = "get",       [STORE_SWAP] = "swap",
    [STORE_WATCH] = "watch",   [STORE_HOSTS] = "hosts",
    [STORE_RANGE] = "range",   [STORE_CHANGES] = "changes",
    [STORE_DELETE] = "delete", [STORE_CHECK] = "check",
};

bool
Daemon_IsIsolated(const daemon_t *daemon)
{
    return !daemon->store_reachable && daemon->in_minority;
}

config_t *
Config_Ref(config_t *config)
{
    config->references++;
    return config;
}

void
Config_Unref(config_t *config)
{
    if (config == NULL || --config->references > 0) {
        return;
    }
    CbwInventory_Finish(&config->inventory);
    free(config->text);
    free(config);
}

view_t *
View_Ref(view_t *view)
{
    view->references++;
    return view;
}

void
View_Unref(view_t *view)
{
    if (view == NULL || --view->references > 0) {
        return;
    }
    CbwMembership_Finish(&view->membership);
    free(view);
}

void
View_Replace(view_t **view, message_t *message)
{
    view_message_t *view_message =
        Cbw_LIST_ITEM(message, view_message_t, message);

    View_Unref(*view);
    *view = view_message->view;
    free(view_message);
}

job_t *
Job_New(void)
{
    job_t *job = calloc(1, sizeof(*job));

    if (job == NULL) {
        abort();
    }
    CbwList_Init(&job->message.link);
    CbwRequest_Init(&job->request);
    return job;
}

uint64_t
Job_NewTransaction(daemon_t *daemon)
{
    return daemon->nonce + ++daemon->transactions;
}

void
Job_Free(job_t *job)
{
    CbwRequest_Finish(&job->request);
    free(job);
}

store_call_t *
StoreCall_New(store_verb_t verb, const char *key)
{
    store_call_t *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        abort();
    }
    CbwList_Init(&call->message.link);
    call->verb = verb;
    snprintf(call->key, sizeof(call->key), "%s", key);
    return call;
}

void
StoreCall_Free(store_call_t *call)
{
    for (int i = 0; i < call->word_count; i++) {
        free(call->words[i]);
    }
    for (size_t i = 0; i < call->item_count; i++) {
        free(call->items[i].key);
        free(call->items[i].value);
    }
    free(call->items);
    free(call->words);
    free(call->value);
    free(call);
}

outbound_t *
Outbound_New(uint32_t procedure, const char *address)
{
    outbound_t *outbound = calloc(1, sizeof(*outbound));

    if (outbound == NULL) {
        abort();
    }
    CbwList_Init(&outbound->message.link);
    outbound->procedure = procedure;
    snprintf(outbound->address, sizeof(outbound->address), "%s", address);
    return outbound;
}

void
Outbound_Free(outbound_t *outbound)
{
    const peer_codec_t *codec = &Peer_Codecs[outbound->procedure];

    xdr_free(codec->args, &outbound->args);
    if (outbound->answered) {
        xdr_free(codec->result, &outbound->result);
    }
    free(outbound);
}

void
Inbound_SetText(inbound_t *inbound, bool found, const char *text)
{
    inbound->result.text.found = found;
    inbound->result.text.text = strdup(text);
}
