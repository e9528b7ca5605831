#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    char database[64];
    bool writes;
    ms_t pause;
    int host;
    session_t *session;
    int attempt;   /* the one in flight */
    char text[32]; /* of the read in flight */
    ms_t sent_at;
} client_t;

attempt_t attempts[200000];
int attempt_count;
int reads_done, reads_failed;
static bool stopped;

static void connect_client(void *argument);

static void
next_operation(void *argument)
{
    client_t *client = argument;
    session_t *session = client->session;
    char text[200];

    if (stopped || session == NULL) {
        return;
    }
    if (session->connection == NULL) {
        client->session = NULL;
        connect_client(client);
        return;
    }
    if (!client->writes) {
        snprintf(client->text, sizeof(client->text), "READ a%d", rand() % 500);
        client->sent_at = now_ms();
        session_query(session, client->text);
        return;
    }
    if (attempt_count == 200000) {
        return;
    }
    client->attempt = attempt_count++;
    attempt_t *attempt = &attempts[client->attempt];
    snprintf(attempt->item, sizeof(attempt->item), "a%d", rand() % 500);
    snprintf(attempt->data, sizeof(attempt->data), "d%d", client->attempt);
    attempt->sent_at = now_ms();
    snprintf(text, sizeof(text), "WRITE %s %s", attempt->item, attempt->data);
    snprintf(attempt->id, sizeof(attempt->id), "%s",
             session_query(session, text));
}

static void
move_on(client_t *client)
{
    if (client->session != NULL) {
        session_close(client->session);
        client->session = NULL;
    }
    client->host++;
    after(100, connect_client, client);
}

static void
on_answer(session_t *session)
{
    client_t *client = session->owner;
    bool failed = session->code[0] != '\0' ||
                  strncmp(session->signature, "sig.", 4) != 0;

    if (client->writes) {
        attempt_t *attempt = &attempts[client->attempt];
        attempt->answered_at = now_ms();
        snprintf(attempt->code, sizeof(attempt->code), "%s",
                 failed && session->code[0] == '\0' ? "unsigned"
                                                    : session->code);
        record("client: %s WRITE %s %s sent at %.3f to %s: %s", attempt->id,
               attempt->item, attempt->data, (double)attempt->sent_at / 1000,
               session->host->name,
               failed ? attempt->code : session->signature);
    }
    else {
        reads_failed += failed;
        reads_done += !failed;
        record("client: %s %s sent at %.3f to %s: %s", session->query_id,
               client->text, (double)client->sent_at / 1000,
               session->host->name,
               session->code[0] != '\0' ? session->code : session->signature);
    }
    if (failed) {
        move_on(client);
    }
    else {
        after(client->pause, next_operation, client);
    }
}

static void
on_started(session_t *session, bool started)
{
    client_t *client = session->owner;

    if (client->session != session) {
        return;
    }
    if (started) {
        next_operation(client);
    }
    else {
        client->session = NULL;
        client->host++;
        after(100, connect_client, client);
    }
}

static void
connect_client(void *argument)
{
    client_t *client = argument;

    if (!stopped) {
        client->session =
            session_open(&hosts[client->host % host_count], client->database,
                         client, on_started, on_answer);
    }
}

void
load_client(const char *database, bool writes, ms_t pause)
{
    static int count;
    client_t *client = calloc(1, sizeof(*client));

    snprintf(client->database, sizeof(client->database), "%s", database);
    client->writes = writes;
    client->pause = pause;
    client->host = count++;
    after(rand() % 200, connect_client, client);
}

void
load_stop(void)
{
    stopped = true;
}

const char *
load_configuration(int sync_replicas)
{
    static char text[2048];

    snprintf(
        text, sizeof(text),
        "{\"version\":7,\"routes\":["
        "{\"name\":\"r-1\",\"database\":\"pay\",\"routeType\":\"primary\","
        "\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":0,"
        "\"service\":\"%s\",\"maxAttempts\":2},"
        "{\"name\":\"r-2\",\"database\":\"own\","
        "\"routeType\":\"read_your_writes\",\"timeoutMs\":800,"
        "\"targetLatencyMs\":250,\"priority\":1,\"service\":\"%s\","
        "\"maxAttempts\":2,\"maxStalenessMs\":2500},"
        "{\"name\":\"r-3\",\"database\":\"look\","
        "\"routeType\":\"bounded_staleness\",\"timeoutMs\":2000,"
        "\"targetLatencyMs\":1000,\"priority\":2,\"service\":\"%s\","
        "\"maxAttempts\":2,\"maxStalenessMs\":1500}],"
        "\"services\":[{\"name\":\"%s\",\"healthPath\":\"/health\","
        "\"maxConns\":49,\"protocol\":\"h1\",\"tls\":false,"
        "\"syncReplicas\":%d}],"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
        "\"idleTxMs\":3000}}",
        service_name, service_name, service_name, service_name, sync_replicas);
    return text;
}

bool
load_has_trouble(void)
{
    const char *text = getenv("TROUBLE");

    return text == NULL || strcmp(text, "0") != 0;
}
