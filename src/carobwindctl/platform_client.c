#include "platform_client.h"

#include <hiredis/hiredis.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_SECONDS 2
/* Attempts to read back the outcome of a swap whose reply was lost. */
#define READ_BACK_ATTEMPTS 3

/* Sends one command on a new connection. Returns the reply, which has the four
 * words id, status, version and value, or NULL with `error` set. The id
 * repeats that of the command; it is always 1, as a connection has one
 * command. */
static redisReply *
send_command(const char *address, int count, const char **words,
             cbw_error_t *error)
{
    struct timeval timeout = {.tv_sec = TIMEOUT_SECONDS};
    const char *colon = strrchr(address, ':');
    redisContext *context;
    redisReply *reply;
    char ip[64];

    if (colon == NULL || (size_t)(colon - address) >= sizeof(ip)) {
        CbwError_Set(error, CBW_ERROR_INVALID,
                     "the platform's address \"%s\" is not IP:PORT", address);
        return NULL;
    }
    memcpy(ip, address, (size_t)(colon - address));
    ip[colon - address] = '\0';
    context = redisConnectWithTimeout(ip, atoi(colon + 1), timeout);
    if (context == NULL || context->err) {
        CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                     "cannot connect to the platform at %s: %s", address,
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
                     "no valid reply from the platform at %s", address);
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
    redisReply *reply = send_command(address, 3, words, error);

    if (reply == NULL) {
        return -1;
    }
    *version = strtoull(reply->element[2]->str, NULL, 10);
    *value = strdup(reply->element[3]->str);
    freeReplyObject(reply);
    return 0;
}

/* After a lost reply: reads the key to find out whether the swap from version
 * `old_version` was applied. Returns 0 with `new_version` set if it was, else
 * -1 with `error` set. */
static int
read_back(const char *address, const char *key, uint64_t old_version,
          const char *value, uint64_t *new_version, cbw_error_t *error)
{
    for (int i = 0; i < READ_BACK_ATTEMPTS; i++) {
        char *stored_value;
        int applied;
        if (PlatformClient_Get(address, key, new_version, &stored_value,
                               error) != 0) {
            continue;
        }
        applied = *new_version == old_version + 1 &&
                  strcmp(stored_value, value) == 0;
        free(stored_value);
        if (applied) {
            return 0;
        }
        if (*new_version != old_version) {
            return CbwError_Set(error, CBW_ERROR_CONFLICT,
                                "another change came first");
        }
        return CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                            "the platform did not make the change: apply it "
                            "again");
    }
    return CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                        "no reply: the change may or may not be in force; "
                        "run \"carobwindctl show\" before trying again");
}

int
PlatformClient_Swap(const char *address, const char *key,
                    uint64_t expected_version, const char *value,
                    uint64_t *new_version, cbw_error_t *error)
{
    char expected_text[24];
    const char *words[] = {"SWAP", "1", key, expected_text, value};
    redisReply *reply;
    int result = 0;

    snprintf(expected_text, sizeof(expected_text), "%" PRIu64,
             expected_version);
    reply = send_command(address, 5, words, error);
    if (reply == NULL) {
        return read_back(address, key, expected_version, value, new_version,
                         error);
    }
    *new_version = strtoull(reply->element[2]->str, NULL, 10);
    if (strcmp(reply->element[1]->str, "conflict") == 0) {
        result = CbwError_Set(error, CBW_ERROR_CONFLICT,
                              "another change came first");
    }
    else if (strcmp(reply->element[1]->str, "ok") != 0) {
        result = CbwError_Set(error, CBW_ERROR_UNAVAILABLE,
                              "the platform refused the change: %s",
                              reply->element[1]->str);
    }
    freeReplyObject(reply);
    return result;
}
