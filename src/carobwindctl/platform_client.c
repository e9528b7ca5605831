#include "platform_client.h"

#include <hiredis/hiredis.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_SECONDS 2
#define ATTEMPTS 3

/* Sends one command on a connection of its own. Returns the answer of four
 * words, or NULL with `error` set. */
static redisReply *
ask(const char *address, int count, const char **words, cbw_error_t *error)
{
    struct timeval timeout = {.tv_sec = TIMEOUT_SECONDS};
    const char *colon = strrchr(address, ':');
    redisContext *context;
    redisReply *reply;
    char ip[64];

    if (colon == NULL || (size_t)(colon - address) >= sizeof(ip)) {
        CbwError_Set(error, CBW_ERROR_INVALID, "\"%s\" is not ip:port",
                     address);
        return NULL;
    }
    memcpy(ip, address, (size_t)(colon - address));
    ip[colon - address] = '\0';
    context = redisConnectWithTimeout(ip, atoi(colon + 1), timeout);
    if (context == NULL || context->err) {
        CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                     "the platform at %s does not answer: %s", address,
                     context ? context->errstr : "out of memory");
        redisFree(context);
        return NULL;
    }
    redisSetTimeout(context, timeout);
    reply = redisCommandArgv(context, count, words, NULL);
    redisFree(context);
    if (reply == NULL || reply->type != REDIS_REPLY_ARRAY ||
        reply->elements != 4) {
        CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                     "the platform at %s gave no answer", address);
        if (reply != NULL) {
            freeReplyObject(reply);
        }
        return NULL;
    }
    return reply;
}

int
PlatformClient_Get(const char *address, const char *key, uint64_t *version,
                   char **value, cbw_error_t *error)
{
    const char *words[] = {"GET", "1", key};
    redisReply *reply = ask(address, 3, words, error);

    if (reply == NULL) {
        return -1;
    }
    *version = strtoull(reply->element[2]->str, NULL, 10);
    *value = strdup(reply->element[3]->str);
    freeReplyObject(reply);
    return 0;
}

/* After a lost answer: whether the swap to `version` + 1 took effect. */
static int
settle(const char *address, const char *key, uint64_t version,
       const char *value, uint64_t *present, cbw_error_t *error)
{
    for (int i = 0; i < ATTEMPTS; i++) {
        char *found;
        int ours;
        if (PlatformClient_Get(address, key, present, &found, error) != 0) {
            continue;
        }
        ours = *present == version + 1 && strcmp(found, value) == 0;
        free(found);
        if (ours) {
            return 0;
        }
        if (*present != version) {
            return CbwError_Set(error, CBW_ERROR_CONFLICT,
                                "another change was first");
        }
        return CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                            "the change was not taken: apply it again");
    }
    return CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                        "no answer: the change may or may not be in force; "
                        "run \"carobwindctl show\" before another try");
}

int
PlatformClient_Swap(const char *address, const char *key, uint64_t version,
                    const char *value, uint64_t *present, cbw_error_t *error)
{
    char expected[24];
    const char *words[] = {"SWAP", "1", key, expected, value};
    redisReply *reply;
    int result = 0;

    snprintf(expected, sizeof(expected), "%" PRIu64, version);
    reply = ask(address, 5, words, error);
    if (reply == NULL) {
        return settle(address, key, version, value, present, error);
    }
    *present = strtoull(reply->element[2]->str, NULL, 10);
    if (strcmp(reply->element[1]->str, "conflict") == 0) {
        result = CbwError_Set(error, CBW_ERROR_CONFLICT,
                              "another change was first");
    }
    else if (strcmp(reply->element[1]->str, "ok") != 0) {
        result =
            CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                         "the platform refused: %s", reply->element[1]->str);
    }
    freeReplyObject(reply);
    return result;
}
