#include "carobwind/request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const CbwRequest_VerbString[] = {
    "statement", "begin", "commit", "rollback", "settle",
};

const char *const CbwRequest_OutcomeString[] = {
    "pending",
    "done",
    "notrun",
    "unknown",
};

const char *const CbwRequest_CauseString[] = {
    "none",      "busy",         "aborted",  "behind",     "readonly",
    "failed",    "timeout",      "indoubt",  "nodatabase", "nostatement",
    "malformed", "unauthorized", "toolarge",
};

const char *const CbwRequest_RefusalString[] = {
    "none",
    "quota",
    "nocapacity",
    "noendpoint",
};

void
CbwRequest_Init(cbw_request_t *request)
{
    memset(request, 0, sizeof(*request));
    CbwList_Init(&request->link);
    request->endpoint = -1;
}

void
CbwRequest_Finish(cbw_request_t *request)
{
    free(request->statement);
    free(request->answer.result);
    free(request->values);
    free(request->shape);
    request->values = NULL;
    request->shape = NULL;
    request->statement = NULL;
    request->answer.result = NULL;
}

/* Replaces `*target` by a NUL-terminated copy of `source`. */
static int
copy_bytes(char **target, size_t *target_size, const char *source, size_t size)
{
    char *copy = malloc(size + 1);

    if (copy == NULL) {
        return -1;
    }
    if (size > 0) {
        memcpy(copy, source, size);
    }
    copy[size] = '\0';
    free(*target);
    *target = copy;
    *target_size = size;
    return 0;
}

int
CbwRequest_SetStatement(cbw_request_t *request, const char *statement,
                        size_t size)
{
    return copy_bytes(&request->statement, &request->statement_size, statement,
                      size);
}

int
CbwRequest_SetResult(cbw_request_t *request, const char *result, size_t size)
{
    return copy_bytes(&request->answer.result, &request->answer.result_size,
                      result, size);
}

void
CbwRequest_RenameTransaction(cbw_request_t *request, uint64_t transaction)
{
    if (request->begins || request->verb == CBW_VERB_BEGIN) {
        request->transaction = transaction;
    }
}

void
CbwRequest_End(cbw_request_t *request, cbw_outcome_t outcome,
               const char *reason)
{
    request->state = CBW_REQUEST_FINISHED;
    request->answer.outcome = outcome;
    snprintf(request->answer.reason, sizeof(request->answer.reason), "%s",
             reason);
}
