#include "share/peer_client.h"

#include <string.h>

#include "share/net.h"

#define TIMEOUT_SECONDS 3

static CLIENT *
open_client(const char *address, cbw_error_t *error)
{
    struct timeval timeout = {.tv_sec = TIMEOUT_SECONDS};
    struct sockaddr_in peer;
    int fd = RPC_ANYSOCK;
    CLIENT *client;

    if (CbwNet_ParseAddress(address, &peer, error) != 0) {
        return NULL;
    }
    client =
        clnttcp_create(&peer, CAROBWIND_PEER, CAROBWIND_PEER_V1, &fd, 0, 0);
    if (client == NULL) {
        CbwError_Set(error, CBW_ERROR_UNAVAILABLE, "no daemon answers at %s",
                     address);
        return NULL;
    }
    clnt_control(client, CLSET_TIMEOUT, (char *)&timeout);
    return client;
}

static int
set_no_answer(const char *address, cbw_error_t *error)
{
    return CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                        "the daemon at %s gave no answer", address);
}

static peer_text_result *
request_text(CLIENT *client, uint32_t procedure, const char *subject)
{
    peer_text_args args = {.subject = (char *)subject};

    switch (procedure) {
    case PEER_EXPLAIN:
        return peer_explain_1(args, client);
    case PEER_TRACE:
        return peer_trace_1(args, client);
    case PEER_STATUS:
        return peer_status_1(client);
    default:
        return peer_counters_1(client);
    }
}

int
PeerClient_FetchText(const char *address, uint32_t procedure,
                     const char *subject, char **text, cbw_error_t *error)
{
    CLIENT *client = open_client(address, error);
    peer_text_result *result;
    int code = 0;

    if (client == NULL) {
        return -1;
    }
    result = request_text(client, procedure, subject);
    if (result == NULL) {
        code = set_no_answer(address, error);
    }
    else if (!result->found) {
        code = CbwError_Set(error, CBW_ERROR_INVALID, "%s", result->text);
    }
    else {
        *text = strdup(result->text);
    }
    clnt_destroy(client);
    return code;
}

int
PeerClient_FetchMembers(const char *address, peer_members_result *members,
                        cbw_error_t *error)
{
    CLIENT *client = open_client(address, error);
    peer_members_result *result;
    int code = 0;

    if (client == NULL) {
        return -1;
    }
    result = peer_members_1(client);
    if (result == NULL) {
        code = set_no_answer(address, error);
    }
    else {
        *members = *result;
    }
    clnt_destroy(client);
    return code;
}

void
PeerClient_FreeMembers(peer_members_result *members)
{
    xdr_free((xdrproc_t)(void (*)(void))xdr_peer_members_result, members);
}

int
PeerClient_AcceptLoss(const char *address, const char *database,
                      const char *endpoint, cbw_error_t *error)
{
    peer_accept_loss_args args = {.database = (char *)database,
                                  .endpoint = (char *)endpoint};
    CLIENT *client = open_client(address, error);
    peer_text_result *result;
    int code = 0;

    if (client == NULL) {
        return -1;
    }
    result = peer_accept_loss_1(args, client);
    if (result == NULL) {
        code = set_no_answer(address, error);
    }
    else if (!result->found) {
        code = CbwError_Set(error, CBW_ERROR_INVALID, "%s", result->text);
    }
    clnt_destroy(client);
    return code;
}

int
PeerClient_Drain(const char *address, cbw_error_t *error)
{
    CLIENT *client = open_client(address, error);
    int code = 0;

    if (client == NULL) {
        return -1;
    }
    if (peer_drain_1(client) == NULL) {
        code = set_no_answer(address, error);
    }
    clnt_destroy(client);
    return code;
}
