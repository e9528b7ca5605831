#include "caller_protocol.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/token.h"

typedef struct {
    const char *name;
    cbw_verb_t verb;
    int required_words; /* with the command itself; options follow */
} command_t;

static const command_t commands[] = {
    {"STMT", CBW_VERB_STATEMENT, 4},
    {"BEGIN", CBW_VERB_BEGIN, 3},
    {"COMMIT", CBW_VERB_COMMIT, 3},
    {"ROLLBACK", CBW_VERB_ROLLBACK, 3},
};

static int
copy_word(char *target, size_t size, const char *what, const char *word,
          size_t word_size, cbw_error_t *error)
{
    if (word_size == 0 || word_size >= size || strlen(word) != word_size) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "%s must have 1 to %zu characters and no NUL",
                            what, size - 1);
    }
    memcpy(target, word, word_size + 1);
    return 0;
}

static int
parse_milliseconds(const char *what, const char *word, cbw_time_t *value,
                   cbw_error_t *error)
{
    char *rest;
    long long number = strtoll(word, &rest, 10);

    if (*word == '\0' || *rest != '\0' || number < 0 ||
        number > CallerProtocol_TIME_MAX / Cbw_MSEC) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "%s must be 0 to %lld milliseconds", what,
                            (long long)(CallerProtocol_TIME_MAX / Cbw_MSEC));
    }
    *value = number * Cbw_MSEC;
    return 0;
}

static int
parse_token(cbw_request_t *request, const char *word, size_t size,
            cbw_error_t *error)
{
    cbw_token_t token;

    if (copy_word(request->token, sizeof(request->token), "TOKEN", word, size,
                  error) != 0) {
        return -1;
    }
    if (CbwToken_Parse(&token, request->token) != 0) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "TOKEN must be database:term:position");
    }
    return 0;
}

static int
parse_option(cbw_request_t *request, const char *name, const char *word,
             size_t size, cbw_error_t *error)
{
    if (strcmp(name, "KEY") == 0) {
        return copy_word(request->key, sizeof(request->key), "KEY", word, size,
                         error);
    }
    if (strcmp(name, "TOKEN") == 0) {
        return parse_token(request, word, size, error);
    }
    if (strcmp(name, "TRACE") == 0) {
        return copy_word(request->trace, sizeof(request->trace), "TRACE", word,
                         size, error);
    }
    if (strcmp(name, "AGAIN") == 0) {
        request->maybe_sent = strcmp(word, "1") == 0;
        return 0;
    }
    if (strcmp(name, "AGE") == 0) {
        return parse_milliseconds("AGE", word, &request->age, error);
    }
    if (strcmp(name, "DEADLINE") == 0) {
        return parse_milliseconds("DEADLINE", word, &request->deadline, error);
    }
    return CbwError_Set(error, CBW_ERROR_INVALID,
                        "unknown option: expected KEY, TOKEN, AGE, DEADLINE, "
                        "TRACE or AGAIN");
}

static int
parse_request(const command_t *command, int count, char *const *words,
              const size_t *sizes, cbw_request_t *request, cbw_error_t *error)
{
    if (count < command->required_words ||
        (count - command->required_words) % 2 != 0) {
        return CbwError_Set(error, CBW_ERROR_INVALID,
                            "%s takes %d words, then options in pairs",
                            command->name, command->required_words);
    }
    request->verb = command->verb;
    request->age = -1;
    request->deadline = -1;
    if (copy_word(request->database, sizeof(request->database), "the database",
                  words[1], sizes[1], error) != 0 ||
        copy_word(request->kind_name, sizeof(request->kind_name), "the kind",
                  words[2], sizes[2], error) != 0) {
        return -1;
    }
    if (command->verb == CBW_VERB_STATEMENT &&
        CbwRequest_SetStatement(request, words[3], sizes[3]) != 0) {
        return CbwError_Set(error, CBW_ERROR_MEMORY, "out of memory");
    }
    for (int i = command->required_words; i < count; i += 2) {
        if (parse_option(request, words[i], words[i + 1], sizes[i + 1],
                         error) != 0) {
            return -1;
        }
    }
    return CALLER_REQUEST;
}

int
CallerProtocol_Parse(int count, char *const *words, const size_t *sizes,
                     cbw_request_t *request, cbw_error_t *error)
{
    if (strcmp(words[0], "PING") == 0) {
        return count == 1 ? CALLER_PING
                          : CbwError_Set(error, CBW_ERROR_INVALID,
                                         "PING takes no words");
    }
    if (strcmp(words[0], "FAULT") == 0) {
        return CALLER_FAULT;
    }
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        if (strcmp(words[0], commands[i].name) == 0) {
            return parse_request(&commands[i], count, words, sizes, request,
                                 error);
        }
    }
    return CbwError_Set(error, CBW_ERROR_INVALID,
                        "unknown command: expected STMT, BEGIN, COMMIT, "
                        "ROLLBACK or PING");
}
