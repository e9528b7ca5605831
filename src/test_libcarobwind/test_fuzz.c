#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "carobwind/delta.h"
#include "carobwind/inventory.h"
#include "carobwind/plugin.h"
#include "carobwind/random.h"
#include "carobwind/token.h"
#include "carobwindd/caller_protocol.h"
#include "carobwindd/drivers.h"
#include "platform/wire.h"
#include "share/peer_rpc.h"
#include "share/resp.h"
#include "share/rpc.h"
#include "suites.h"

#define ROUNDS 4000
#define INPUT_MAX 4096

static cbw_random_t random_state;

static size_t
random_below(size_t limit)
{
    return (size_t)CbwRandom_Below(&random_state, limit);
}

/* Applies up to four random mutations: replaces or removes a byte, truncates,
 * or repeats the rest. Returns the new size. */
static size_t
mutate(char *bytes, size_t size)
{
    size_t changes = 1 + random_below(4);

    for (size_t i = 0; i < changes && size > 0; i++) {
        size_t offset = random_below(size);
        switch (random_below(5)) {
        case 0:
            bytes[offset] = (char)random_below(256);
            break;
        case 1:
            bytes[offset] = "0123456789*$-+:\r\n"[random_below(17)];
            break;
        case 2:
            size = offset;
            break;
        case 3:
            if (2 * size - offset < INPUT_MAX) {
                memmove(bytes + size, bytes + offset, size - offset);
                size += size - offset;
            }
            break;
        default:
            memmove(bytes + offset, bytes + offset + 1, size - offset - 1);
            size--;
            break;
        }
    }
    return size;
}

/* Feeds the bytes to a decoder in chunks of random size, as they come from a
 * socket. Returns the number of messages decoded. */
static int
decode_resp(const char *bytes, size_t size, const cbw_resp_limits_t *limits)
{
    cbw_resp_decoder_t decoder;
    int messages = 0;
    size_t offset = 0;

    g_assert_cmpint(CbwRespDecoder_Init(&decoder, limits), ==, 0);
    while (offset < size) {
        cbw_resp_message_t *message = NULL;
        size_t chunk = 1 + random_below(size - offset);
        if (CbwRespDecoder_Feed(&decoder, bytes + offset, chunk) != 0) {
            break;
        }
        offset += chunk;
        while (CbwRespDecoder_Next(&decoder, &message) == 0 && message) {
            messages++;
            CbwResp_FreeMessage(message);
        }
        if (decoder.error != NULL) {
            break;
        }
    }
    CbwRespDecoder_Finish(&decoder);
    return messages;
}

/* Messages that a server accepts, and malformed ones, which it must reject. */
static void
test_resp_table(void)
{
    static const struct {
        const char *bytes;
        int messages;
    } cases[] = {
        {"*1\r\n$4\r\nPING\r\n", 1},
        {"*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPING\r\n", 2},
        {"*1\r\n$4\r\nPINGxx", 0},
        {"*1\r\n$-1\r\n", 0},
        {"*-1\r\n", 0},
        {"*0\r\n", 0},
        {"*1\r\n:5\r\n", 0},
        {"*1\r\n*1\r\n$1\r\na\r\n", 0},
        {"*1\r\n+OK\r\n", 0},
        {"+OK\r\n", 0},
        {":1\r\n", 0},
        {"$1\r\na\r\n", 0},
        {"*25\r\n$1\r\na\r\n", 0},
        {"*1000000000\r\n", 0},
        {"*1\r\n$999999999999\r\n", 0},
        {"GET / HTTP/1.1\r\n\r\n", 0},
        {"-ERR no\r\n", 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].bytes);
        g_assert_cmpint(decode_resp(cases[i].bytes, strlen(cases[i].bytes),
                                    &CbwResp_ServerLimits),
                        ==, cases[i].messages);
    }
}

/* The decoder buffers no more than its limit, regardless of the length that a
 * message announces. */
static void
test_resp_bounded(void)
{
    cbw_resp_decoder_t decoder;
    cbw_resp_message_t *message;
    char chunk[8192];
    size_t fed = 0;

    memset(chunk, 'x', sizeof(chunk));
    CbwRespDecoder_Init(&decoder, &CbwResp_ServerLimits);
    CbwRespDecoder_Feed(&decoder, "*1\r\n$2000000000\r\n", 17);
    while (CbwRespDecoder_Next(&decoder, &message) == 0 &&
           CbwRespDecoder_Feed(&decoder, chunk, sizeof(chunk)) == 0) {
        fed += sizeof(chunk);
        g_assert_cmpuint(fed, <=, CbwResp_ServerLimits.input_max);
    }
    g_assert_nonnull(decoder.error);
    CbwRespDecoder_Finish(&decoder);
}

/* Shapes that misbehaving callers send; the decoder rejects them, or waits for
 * more, without holding more than its limits. */
static void
test_resp_shapes(void)
{
    static const struct {
        const char *head;
        const char *repeated; /* after the head, up to the size */
        size_t size;
        bool rejected;
    } cases[] = {
        {"", "*1\r\n", 100000, true}, /* nesting */
        {"*24\r\n", "$65536\r\n", 100000, true},
        {"*1\r\n$65537\r\n", "x", 70000, true},
        {"*1\r\n$65536\r\n", "x", 65000, false},
        {"*", "1", 200000, true}, /* a length that never ends */
        {"$", "9", 200000, true},
        {"*1\r\n$", "0", 200000, true},
        {"*1\r\n$1\r\n", "\r\n", 1000, true},
        {"*2147483647\r\n", "$1\r\na\r\n", 1000, true},
        {"x", "x", 200000, true},
    };

    CbwRandom_Init(&random_state, 15);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *bytes = g_string_new(cases[i].head);
        cbw_resp_decoder_t decoder;
        cbw_resp_message_t *message = NULL;
        size_t offset = 0;
        g_assert_cmpint(CbwRespDecoder_Init(&decoder, &CbwResp_ServerLimits),
                        ==, 0);
        while (bytes->len < cases[i].size) {
            g_string_append(bytes, cases[i].repeated);
        }
        while (offset < bytes->len && decoder.error == NULL) {
            size_t chunk = 1 + random_below(4096);
            if (chunk > bytes->len - offset) {
                chunk = bytes->len - offset;
            }
            if (CbwRespDecoder_Feed(&decoder, bytes->str + offset, chunk) !=
                0) {
                break;
            }
            offset += chunk;
            g_assert_cmpuint(decoder.reader->len - decoder.reader->pos, <=,
                             CbwResp_ServerLimits.input_max);
            while (CbwRespDecoder_Next(&decoder, &message) == 0 && message) {
                CbwResp_FreeMessage(message);
            }
        }
        g_test_message("case %zu", i);
        g_assert_cmpint(decoder.error != NULL, ==, cases[i].rejected);
        CbwRespDecoder_Finish(&decoder);
        g_string_free(bytes, TRUE);
    }
}

/* Shapes that misbehaving callers send over the platform's wire protocol. */
static void
test_wire_shapes(void)
{
    static const struct {
        const char *head;
        const char *repeated;
        size_t size;
        const char *tail;
        ssize_t measured; /* 1: the size of all */
    } cases[] = {
        {"QUERY a READ ", "x", Wire_MESSAGE_MAX - 2, "\r\n", 1},
        {"QUERY a READ ", "x", Wire_MESSAGE_MAX - 1, "\r\n", Wire_TOO_LARGE},
        {"QUERY a READ ", "x", Wire_MESSAGE_MAX, "", 0},
        {"", "x", Wire_MESSAGE_MAX + 1, "", Wire_TOO_LARGE},
        {"", "x", 2 * Wire_MESSAGE_MAX, "\n", Wire_TOO_LARGE},
        {"", " ", Wire_MESSAGE_MAX - 2, "\r\n", 1},
        {"QUERY ", "([{", 60000, "\r\n", 1},
        {"QUERY ", "([{", 60000, "\n", 0},
        {"QUERY a SET b ", "\r", 60000, "\n", 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const caller_driver_t *driver =
            CbwPlugin_Find(CBW_PLUGIN_CALLER_DRIVER, "wire");
        GString *bytes = g_string_new(cases[i].head);
        caller_message_t message;
        ssize_t measured;
        while (bytes->len < cases[i].size) {
            g_string_append(bytes, cases[i].repeated);
        }
        g_string_append(bytes, cases[i].tail);
        measured = driver->message_size(bytes->str, bytes->len);
        g_test_message("case %zu", i);
        g_assert_cmpint(measured, ==,
                        cases[i].measured == 1 ? (ssize_t)bytes->len
                                               : cases[i].measured);
        if (measured > 0) {
            char *copy = g_malloc(bytes->len + 1);
            driver->decode(bytes->str, bytes->len, copy, &message);
            g_free(copy);
        }
        bytes->str[bytes->len / 2] = '\0';
        g_assert_cmpint(driver->message_size(bytes->str, bytes->len), ==, -1);
        g_string_free(bytes, TRUE);
    }
}

/* Random mutations of valid messages must not crash the decoder. */
static void
test_resp_random(void)
{
    static const char seed_text[] =
        "*6\r\n$4\r\nSTMT\r\n$2\r\ndb\r\n$7\r\npayment\r\n$7\r\nput a 1\r\n"
        "$3\r\nKEY\r\n$2\r\nk1\r\n*1\r\n$4\r\nPING\r\n";
    char bytes[INPUT_MAX];

    CbwRandom_Init(&random_state, 11);
    for (int i = 0; i < ROUNDS; i++) {
        memcpy(bytes, seed_text, sizeof(seed_text) - 1);
        decode_resp(bytes, mutate(bytes, sizeof(seed_text) - 1),
                    i % 2 ? &CbwResp_ServerLimits : &CbwResp_ClientLimits);
    }
}

/* RPC records. */

static int rpc_calls;

static bool
on_call(cbw_rpc_t *rpc, uint32_t xid, uint32_t procedure, XDR *arguments)
{
    peer_statement_args args = {0};
    bool ok;

    (void)rpc;
    (void)xid;
    if (procedure != PEER_STATEMENT) {
        return false;
    }
    ok = xdr_peer_statement_args(arguments, &args);
    xdr_free((xdrproc_t)(void (*)(void))xdr_peer_statement_args, &args);
    rpc_calls += ok;
    return ok;
}

static void
on_reply(cbw_rpc_t *rpc, uint32_t xid, XDR *result)
{
    peer_statement_result decoded = {0};

    (void)rpc;
    (void)xid;
    if (result != NULL) {
        (void)xdr_peer_statement_result(result, &decoded);
        xdr_free((xdrproc_t)(void (*)(void))xdr_peer_statement_result,
                 &decoded);
    }
}

static void
on_rpc_close(cbw_rpc_t *rpc, const char *reason)
{
    (void)rpc;
    (void)reason;
}

static const cbw_rpc_ops_t rpc_ops = {
    .on_call = on_call, .on_reply = on_reply, .on_close = on_rpc_close};

/* Encodes a valid call of PEER_STATEMENT. Returns its size. */
static size_t
encode_call(char *bytes, size_t size)
{
    static const uint32_t header[] = {
        7, 0, 2, CAROBWIND_PEER, 1, PEER_STATEMENT, 0, 0, 0, 0};
    peer_statement_args args = {.database = (char *)"db",
                                .kind = (char *)"payment",
                                .key = (char *)"k",
                                .token = (char *)"db:1:2",
                                .trace = (char *)"t",
                                .values = (char *)"zone a\n",
                                .shape = (char *)"READ q",
                                .workspace = (char *)"w"};
    XDR xdr;
    size_t used;

    for (size_t i = 0; i < G_N_ELEMENTS(header); i++) {
        uint32_t network_word = g_htonl(header[i]);
        memcpy(bytes + 4 * i, &network_word, 4);
    }
    args.statement.statement_val = (char *)"put a 1";
    args.statement.statement_len = 7;
    xdrmem_create(&xdr, bytes + sizeof(header), (u_int)(size - sizeof(header)),
                  XDR_ENCODE);
    g_assert_true(xdr_peer_statement_args(&xdr, &args));
    used = xdr_getpos(&xdr);
    xdr_destroy(&xdr);
    return sizeof(header) + used;
}

/* Random mutations of a valid call, and random bytes, must not crash the
 * dispatcher. */
static void
test_rpc_random(void)
{
    char valid[INPUT_MAX];
    char bytes[INPUT_MAX];
    size_t size = encode_call(valid, sizeof(valid));
    cbw_rpc_t rpc = {.ops = &rpc_ops};

    rpc.stream.fd = -1;
    rpc_calls = 0;
    CbwRpc_Dispatch(&rpc, valid, size);
    g_assert_cmpint(rpc_calls, ==, 1);
    CbwRandom_Init(&random_state, 12);
    for (int i = 0; i < ROUNDS; i++) {
        memcpy(bytes, valid, size);
        CbwRpc_Dispatch(&rpc, bytes, mutate(bytes, size));
    }
    for (int i = 0; i < ROUNDS; i++) {
        size_t length = random_below(200);
        for (size_t j = 0; j < length; j++) {
            bytes[j] = (char)random_below(256);
        }
        CbwRpc_Dispatch(&rpc, bytes, length);
    }
}

typedef struct {
    const char *words[10];
    int result;
} caller_case_t;

static int
parse_words(const char *const *words, const size_t *sizes, int count)
{
    cbw_request_t request;
    cbw_error_t error;
    int result;

    CbwRequest_Init(&request);
    result = CallerProtocol_Parse(count, (char *const *)words, sizes, &request,
                                  &error);
    CbwRequest_Finish(&request);
    return result;
}

/* Requests of the caller protocol, valid and malformed. */
static void
test_caller_table(void)
{
    static const caller_case_t cases[] = {
        {{"PING"}, CALLER_PING},
        {{"PING", "x"}, -1},
        {{"STMT", "db", "pay", "put a 1"}, CALLER_REQUEST},
        {{"STMT", "db", "pay", "put a 1", "KEY", "k"}, CALLER_REQUEST},
        {{"STMT", "db", "pay", "get a", "TOKEN", "db:1:2", "AGE", "0"},
         CALLER_REQUEST},
        {{"STMT", "db", "pay"}, -1},
        {{"STMT", "db", "pay", "s", "KEY"}, -1},
        {{"STMT", "", "pay", "s"}, -1},
        {{"STMT", "db", "pay", "s", "KEY", ""}, -1},
        {{"STMT", "db", "pay", "s", "TOKEN", "nonsense"}, -1},
        {{"STMT", "db", "pay", "s", "AGE", "-1"}, -1},
        {{"STMT", "db", "pay", "s", "DEADLINE", "1e9"}, -1},
        {{"STMT", "db", "pay", "s", "DEADLINE", "99999999999999999999"}, -1},
        {{"STMT", "db", "pay", "s", "COLOUR", "red"}, -1},
        {{"BEGIN", "db", "pay"}, CALLER_REQUEST},
        {{"COMMIT", "db", "pay", "KEY", "k"}, CALLER_REQUEST},
        {{"ROLLBACK", "db"}, -1},
        {{"stmt", "db", "pay", "s"}, -1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        size_t sizes[10];
        int count = 0;
        while (count < 10 && cases[i].words[count] != NULL) {
            sizes[count] = strlen(cases[i].words[count]);
            count++;
        }
        g_test_message("%s %s", cases[i].words[0],
                       count > 1 ? cases[i].words[1] : "");
        g_assert_cmpint(parse_words(cases[i].words, sizes, count), ==,
                        cases[i].result);
    }
}

/* Random mutations of a token and an inventory must not crash the parsers. */
static void
test_texts_random(void)
{
    static const char token_text[] = "billing-1:12:3456";
    static const char inventory_text[] =
        "data-centre n { region = \"r\" }\nrank u { floor = 10 }\n"
        "kind k { rank = \"u\" writes = true age = \"2s\" }\n"
        "database d {\nendpoint a { data-centre = \"n\" address = "
        "\"127.0.0.1:1\" connections = 5 slots = 3 }\n}\n";
    char bytes[INPUT_MAX];

    CbwRandom_Init(&random_state, 13);
    for (int i = 0; i < ROUNDS; i++) {
        cbw_token_t token;
        memcpy(bytes, token_text, sizeof(token_text) - 1);
        bytes[mutate(bytes, sizeof(token_text) - 1)] = '\0';
        CbwToken_Parse(&token, bytes);
    }
    for (int i = 0; i < ROUNDS / 4; i++) {
        cbw_inventory_t inventory;
        cbw_findings_t findings;
        memcpy(bytes, inventory_text, sizeof(inventory_text) - 1);
        bytes[mutate(bytes, sizeof(inventory_text) - 1)] = '\0';
        CbwFindings_Init(&findings);
        CbwInventory_Parse(&inventory, bytes, "fuzz", &findings);
        CbwInventory_Finish(&inventory);
        CbwFindings_Finish(&findings);
    }
}

/* A delta of random texts, applied to the base, gives the text again. */
static void
test_delta_random(void)
{
    char base[64];
    char text[64];

    CbwRandom_Init(&random_state, 14);
    for (int i = 0; i < ROUNDS; i++) {
        cbw_delta_t delta;
        char *applied;
        size_t size = random_below(sizeof(base));
        for (size_t j = 0; j < size; j++) {
            base[j] = "ab\n"[random_below(3)];
        }
        base[size] = '\0';
        size = random_below(sizeof(text));
        for (size_t j = 0; j < size; j++) {
            text[j] = "ab\n"[random_below(3)];
        }
        text[size] = '\0';
        CbwDelta_Compute(&delta, base, text);
        applied = CbwDelta_Apply(&delta, base);
        g_assert_cmpstr(applied, ==, text);
        free(applied);
    }
}

void
Suite_AddFuzz(void)
{
    g_test_add_func("/fuzz/resp-table", test_resp_table);
    g_test_add_func("/fuzz/resp-bounded", test_resp_bounded);
    g_test_add_func("/fuzz/resp-shapes", test_resp_shapes);
    g_test_add_func("/fuzz/wire-shapes", test_wire_shapes);
    g_test_add_func("/fuzz/resp", test_resp_random);
    g_test_add_func("/fuzz/rpc", test_rpc_random);
    g_test_add_func("/fuzz/caller-table", test_caller_table);
    g_test_add_func("/fuzz/texts", test_texts_random);
    g_test_add_func("/fuzz/delta", test_delta_random);
}
