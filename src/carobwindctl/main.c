/* The operators' tool: checks and applies the configuration, and asks the
 * daemons about the state of the fleet. */

#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "carobwind/inventory.h"
#include "carobwind/plugin.h"
#include "carobwindd/drivers.h"
#include "incident.h"
#include "output.h"
#include "platform_client.h"
#include "share/options.h"
#include "share/peer_client.h"

/* Key of the inventory in the platform's store. The inventory is the
 * operators' configuration; the version of its record is the configuration
 * version. */
#define CONFIG_KEY "config"
/* Largest inventory file in bytes, which is the longest value in the store. */
#define FILE_SIZE_MAX ((size_t)1024 * 1024)

static const char *platform_address = "127.0.0.1:7300";
static const char *host_address = "127.0.0.1:7100";
static bool json;
static bool assume_yes;
static long base_version = -1;

static const cbw_option_t options[] = {
    {CBW_OPTION_STRING, "platform", "IP:PORT",
     "address of the platform's key-value store", &platform_address, 0, 0},
    {CBW_OPTION_STRING, "host", "IP:PORT", "peer address of a daemon to ask",
     &host_address, 0, 0},
    {CBW_OPTION_FLAG, "json", NULL, "print JSON instead of tables", &json, 0,
     0},
    {CBW_OPTION_FLAG, "yes", NULL, "apply without asking for confirmation",
     &assume_yes, 0, 0},
    {CBW_OPTION_INTEGER, "base", "VERSION",
     "apply only if this version is in force", &base_version, 0, 1000000000},
};

static const cbw_program_t program = {
    .program = "carobwindctl",
    .summary = "Checks and applies the inventory, and shows the state of the "
               "fleet.",
    .arguments_help =
        "Commands:\n"
        "  check FILE           report all errors in an inventory "
        "file, or in a\n"
        "                       configuration record of the platform (JSON)\n"
        "  apply FILE           check an inventory file, show the "
        "changes, and put it\n"
        "                       in force\n"
        "  show                 print the inventory in force and its "
        "version\n"
        "  status               print the members and the "
        "configuration version that\n"
        "                       --host knows\n"
        "  explain DATABASE     print the owner and the primary of a "
        "database, and\n"
        "                       the reasons\n"
        "  accept-loss DATABASE ENDPOINT\n"
        "                       let a promotion that waits for a log "
        "promote ENDPOINT,\n"
        "                       whose log is the best of those that answer\n"
        "  trace ID             print the spans of a request on all hosts\n"
        "  counters             print the counters of --host in "
        "Prometheus format\n"
        "  drain HOST           stop the daemon of that name gracefully\n"
        "  incident ID|DATABASE FILE...\n"
        "                       print the log lines that explain a "
        "request, or the\n"
        "                       decisions of a database's owners, from "
        "the log files\n"
        "                       of several hosts",
    .options = options,
    .option_count = sizeof(options) / sizeof(options[0]),
    .arguments_max = CbwOptions_ARGUMENTS_MAX,
};

/* Returns the content of a text file, which the caller frees, or NULL after
 * printing the error. */
static char *
read_file(const char *path)
{
    FILE *file = fopen(path, "r");
    char *text;
    size_t size;

    if (file == NULL) {
        fprintf(stderr, "%s: %s\n", path, strerror(errno));
        return NULL;
    }
    text = malloc(FILE_SIZE_MAX + 2);
    if (text == NULL) {
        fclose(file);
        return NULL;
    }
    size = fread(text, 1, FILE_SIZE_MAX + 1, file);
    fclose(file);
    text[size] = '\0';
    if (size > FILE_SIZE_MAX || strlen(text) != size) {
        fprintf(stderr, "%s: larger than %zu bytes, or has NUL bytes\n", path,
                FILE_SIZE_MAX);
        free(text);
        return NULL;
    }
    return text;
}

/* Reads and parses an inventory file and prints the errors in it. Returns an
 * exit code. On EX_OK the caller frees `text` and finishes `inventory`. */
static int
load_inventory(const char *path, char **text, cbw_inventory_t *inventory)
{
    cbw_findings_t findings;
    int code = EX_OK;

    *text = read_file(path);
    if (*text == NULL) {
        return EX_NOINPUT;
    }
    CbwFindings_Init(&findings);
    if (CbwInventory_Parse(inventory, *text, path, &findings) != 0) {
        CbwFindings_Print(&findings, stderr);
        fprintf(stderr, "%s: %zu errors found\n", path, findings.count);
        free(*text);
        *text = NULL;
        code = EX_DATAERR;
    }
    CbwFindings_Finish(&findings);
    return code;
}

/* Prints an error and returns the exit code for it. */
static int
report_error(const cbw_error_t *error)
{
    fprintf(stderr, "carobwindctl: %s\n", error->text);
    switch (error->code) {
    case CBW_ERROR_UNAVAILABLE:
        return EX_TEMPFAIL;
    case CBW_ERROR_CONFLICT:
        return EX_CANTCREAT;
    default:
        return EX_UNAVAILABLE;
    }
}

/* Checks a configuration record in the platform's JSON format, as the
 * operators keep it in the platform's store. Returns an exit code. */
static int
check_platform_record(const char *path, const char *text)
{
    const registry_driver_t *registry =
        CbwPlugin_Find(CBW_PLUGIN_REGISTRY_DRIVER, "platform");
    cbw_inventory_t inventory;
    cbw_findings_t findings;
    int code = EX_OK;

    CbwFindings_Init(&findings);
    if (registry->parse_config(text, &inventory, &findings) != 0) {
        CbwFindings_Print(&findings, stderr);
        fprintf(stderr, "%s: %zu errors found\n", path, findings.count);
        code = EX_DATAERR;
    }
    else {
        /* The platform calls kinds routes, and databases services. */
        printf("%s: ok: version %" PRId64 ", %zu routes, %zu services\n", path,
               inventory.version, inventory.kind_count,
               inventory.database_count);
    }
    CbwInventory_Finish(&inventory);
    CbwFindings_Finish(&findings);
    return code;
}

/* Checks a file: a configuration record of the platform if it begins with "{",
 * else an inventory. Returns an exit code. */
static int
command_check(const char *path)
{
    cbw_inventory_t inventory;
    char *text = read_file(path);
    int code;

    if (text == NULL) {
        return EX_NOINPUT;
    }
    if (text[strspn(text, " \t\r\n")] == '{') {
        code = check_platform_record(path, text);
        free(text);
        return code;
    }
    free(text);
    code = load_inventory(path, &text, &inventory);
    if (code != EX_OK) {
        return code;
    }
    printf("%s: ok: %zu data-centres, %zu databases, %zu kinds\n", path,
           inventory.data_centre_count, inventory.database_count,
           inventory.kind_count);
    CbwInventory_Finish(&inventory);
    free(text);
    return EX_OK;
}

static void
print_change(void *context, const char *line)
{
    size_t *count = context;

    (*count)++;
    printf("  %s\n", line);
}

/* Prints the differences between the inventory in `before_text` ("": none) and
 * `after`. Returns their number. */
static size_t
print_changes(const char *before_text, const cbw_inventory_t *after)
{
    cbw_inventory_t before;
    cbw_findings_t ignored;
    size_t count = 0;

    CbwFindings_Init(&ignored);
    memset(&before, 0, sizeof(before));
    if (before_text[0] != '\0') {
        CbwInventory_Parse(&before, before_text, "store", &ignored);
    }
    CbwInventory_Diff(&before, after, print_change, &count);
    CbwInventory_Finish(&before);
    CbwFindings_Finish(&ignored);
    return count;
}

/* Asks the operator to confirm, unless --yes is set. */
static bool
ask_confirmation(void)
{
    char answer[8];

    if (assume_yes) {
        return true;
    }
    printf("apply? [y/N] ");
    fflush(stdout);
    return fgets(answer, sizeof(answer), stdin) != NULL && answer[0] == 'y';
}

/* Replaces the configuration by `text` if its version is still `version`.
 * Returns an exit code. */
static int
swap_config(const char *text, uint64_t version)
{
    cbw_error_t error;
    uint64_t new_version;

    if (PlatformClient_Swap(platform_address, CONFIG_KEY, version, text,
                            &new_version, &error) != 0) {
        if (error.code == CBW_ERROR_CONFLICT) {
            fprintf(stderr,
                    "another operator was first: version %llu is no longer "
                    "in force. Run \"carobwindctl show\", merge their "
                    "change into your file, and apply it again.\n",
                    (unsigned long long)version);
            return EX_CANTCREAT;
        }
        return report_error(&error);
    }
    printf("applied as version %llu\n", (unsigned long long)new_version);
    return EX_OK;
}

/* Prints the changes and, if the operator confirms, applies `text`. Returns an
 * exit code. */
static int
apply_text(const char *text, const cbw_inventory_t *inventory)
{
    char *before = NULL;
    uint64_t version;
    cbw_error_t error;
    int code;

    if (PlatformClient_Get(platform_address, CONFIG_KEY, &version, &before,
                           &error) != 0) {
        return report_error(&error);
    }
    if (base_version >= 0 && version != (uint64_t)base_version) {
        fprintf(stderr,
                "another operator was first: version %llu is in force, but "
                "--base is %ld\n",
                (unsigned long long)version, base_version);
        free(before);
        return EX_CANTCREAT;
    }
    if (strcmp(before, text) == 0) {
        printf("version %llu in force is the same: nothing to apply\n",
               (unsigned long long)version);
        free(before);
        return EX_OK;
    }
    printf("changes to version %llu:\n", (unsigned long long)version);
    if (print_changes(before, inventory) == 0) {
        printf("  (only comments or layout differ)\n");
    }
    free(before);
    if (!ask_confirmation()) {
        printf("not applied\n");
        return EX_OK;
    }
    code = swap_config(text, version);
    return code;
}

static int
command_apply(const char *path)
{
    cbw_inventory_t inventory;
    char *text;
    int code = load_inventory(path, &text, &inventory);

    if (code != EX_OK) {
        return code;
    }
    code = apply_text(text, &inventory);
    CbwInventory_Finish(&inventory);
    free(text);
    return code;
}

static int
command_show(void)
{
    char *text = NULL;
    uint64_t version;
    cbw_error_t error;

    if (PlatformClient_Get(platform_address, CONFIG_KEY, &version, &text,
                           &error) != 0) {
        return report_error(&error);
    }
    if (json) {
        Output_PrintJsonText("version", version, "text", text);
    }
    else {
        printf("# version %llu\n%s", (unsigned long long)version, text);
    }
    free(text);
    return EX_OK;
}

/* Prints a daemon's answer to `procedure`. Returns an exit code. */
static int
print_daemon_text(const char *address, uint32_t procedure, const char *subject)
{
    cbw_error_t error;
    char *text;

    if (PeerClient_FetchText(address, procedure, subject, &text, &error) !=
        0) {
        return report_error(&error);
    }
    if (procedure == PEER_COUNTERS && !json) {
        fputs(text, stdout);
    }
    else if (procedure == PEER_COUNTERS) {
        Output_PrintJsonCounters(text);
    }
    else {
        Output_PrintPairs(text, json);
    }
    free(text);
    return EX_OK;
}

/* Asks a member that is alive (state 0) or suspect (1) to explain the
 * database. Only an owner of it answers. The list also has leaving endpoints,
 * which are not members: their names begin with "@". Returns the text, which
 * the caller frees, or NULL. */
static char *
ask_owner(const peer_member *member, const char *database)
{
    cbw_error_t error;
    char *text = NULL;

    if (member->name[0] == '@' || member->state > 1 ||
        PeerClient_FetchText(member->address, PEER_EXPLAIN, database, &text,
                             &error) != 0) {
        return NULL;
    }
    return text;
}

/* Prints the first answer, in the order in which --host reports the members.
 */
static int
command_explain(const char *database)
{
    peer_members_result members;
    cbw_error_t error;
    int code = EX_DATAERR;

    if (PeerClient_FetchMembers(host_address, &members, &error) != 0) {
        return report_error(&error);
    }
    for (u_int i = 0; i < members.members.members_len && code != EX_OK; i++) {
        const peer_member *member = &members.members.members_val[i];
        char *text = ask_owner(member, database);
        if (text == NULL) {
            continue;
        }
        if (!json) {
            /* As wide as NAME_COLUMN_WIDTH of output.c. */
            printf("%-28s %s\n", "owner", member->name);
        }
        Output_PrintPairs(text, json);
        free(text);
        code = EX_OK;
    }
    if (code != EX_OK) {
        fprintf(stderr, "no reachable host owns a database \"%s\"\n",
                database);
    }
    PeerClient_FreeMembers(&members);
    return code;
}

/* Orders the first owner that obeys to accept losses. An owner whose promotion
 * does not wait refuses. */
static int
command_accept_loss(const char *database, const char *endpoint)
{
    peer_members_result members;
    cbw_error_t error;
    cbw_error_t refusal = {0};
    bool accepted = false;

    if (PeerClient_FetchMembers(host_address, &members, &error) != 0) {
        return report_error(&error);
    }
    for (u_int i = 0; i < members.members.members_len && !accepted; i++) {
        const peer_member *member = &members.members.members_val[i];
        char *text = ask_owner(member, database);
        if (text == NULL) {
            continue;
        }
        free(text);
        accepted = PeerClient_AcceptLoss(member->address, database, endpoint,
                                         &refusal) == 0;
    }
    PeerClient_FreeMembers(&members);
    if (accepted) {
        printf("%s may be promoted with losses\n", endpoint);
        return EX_OK;
    }
    fprintf(stderr, "carobwindctl: %s\n",
            refusal.text[0] != '\0' ? refusal.text
                                    : "no reachable host owns the database");
    return EX_DATAERR;
}

/* Collects the spans of a request from all members that are not dead
 * (state 3). Names that begin with "@" are those of leaving endpoints. */
static int
command_trace(const char *id)
{
    peer_members_result members;
    cbw_error_t error;
    span_list_t spans;

    if (PeerClient_FetchMembers(host_address, &members, &error) != 0) {
        return report_error(&error);
    }
    Output_InitSpans(&spans);
    for (u_int i = 0; i < members.members.members_len; i++) {
        const peer_member *member = &members.members.members_val[i];
        char *text;
        if (member->name[0] != '@' && member->state < 3 &&
            PeerClient_FetchText(member->address, PEER_TRACE, id, &text,
                                 &error) == 0) {
            Output_AddSpans(&spans, text);
            free(text);
        }
    }
    PeerClient_FreeMembers(&members);
    if (spans.count == 0) {
        fprintf(stderr, "no reachable host has a span of request \"%s\"\n",
                id);
        return EX_DATAERR;
    }
    Output_PrintSpans(&spans, json);
    return EX_OK;
}

static int
command_drain(const char *name)
{
    peer_members_result members;
    cbw_error_t error;
    int code = EX_DATAERR;

    if (PeerClient_FetchMembers(host_address, &members, &error) != 0) {
        return report_error(&error);
    }
    for (u_int i = 0; i < members.members.members_len; i++) {
        const peer_member *member = &members.members.members_val[i];
        if (strcmp(member->name, name) == 0) {
            code = PeerClient_Drain(member->address, &error) == 0
                       ? EX_OK
                       : report_error(&error);
        }
    }
    if (code == EX_DATAERR) {
        fprintf(stderr,
                "no member is named \"%s\": see \"carobwindctl status\"\n",
                name);
    }
    else if (code == EX_OK) {
        printf("%s is draining\n", name);
    }
    PeerClient_FreeMembers(&members);
    return code;
}

typedef enum {
    COMMAND_CHECK,
    COMMAND_APPLY,
    COMMAND_SHOW,
    COMMAND_STATUS,
    COMMAND_EXPLAIN,
    COMMAND_ACCEPT_LOSS,
    COMMAND_TRACE,
    COMMAND_COUNTERS,
    COMMAND_DRAIN,
    COMMAND_INCIDENT,
} command_t;

static const struct {
    const char *name;
    int word_count; /* including the name; the minimum for incident */
} commands[] = {
    [COMMAND_CHECK] = {"check", 2},
    [COMMAND_APPLY] = {"apply", 2},
    [COMMAND_SHOW] = {"show", 1},
    [COMMAND_STATUS] = {"status", 1},
    [COMMAND_EXPLAIN] = {"explain", 2},
    [COMMAND_TRACE] = {"trace", 2},
    [COMMAND_COUNTERS] = {"counters", 1},
    [COMMAND_DRAIN] = {"drain", 2},
    [COMMAND_INCIDENT] = {"incident", 3},
    [COMMAND_ACCEPT_LOSS] = {"accept-loss", 3},
};

/* Returns the command_t with the name and the number of words, or -1. */
static int
find_command(const char *name, int word_count)
{
    for (int i = COMMAND_CHECK; i <= COMMAND_INCIDENT; i++) {
        bool count_matches = i == COMMAND_INCIDENT
                                 ? word_count >= commands[i].word_count
                                 : word_count == commands[i].word_count;
        if (count_matches && strcmp(commands[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static int
run_command(int command, const char **words, int count)
{
    const char *argument = count > 1 ? words[1] : "";

    switch ((command_t)command) {
    case COMMAND_CHECK:
        return command_check(argument);
    case COMMAND_APPLY:
        return command_apply(argument);
    case COMMAND_SHOW:
        return command_show();
    case COMMAND_STATUS:
        return print_daemon_text(host_address, PEER_STATUS, "");
    case COMMAND_EXPLAIN:
        return command_explain(argument);
    case COMMAND_ACCEPT_LOSS:
        return command_accept_loss(argument, words[2]);
    case COMMAND_TRACE:
        return command_trace(argument);
    case COMMAND_COUNTERS:
        return print_daemon_text(host_address, PEER_COUNTERS, "");
    case COMMAND_DRAIN:
        return command_drain(argument);
    case COMMAND_INCIDENT:
        return Incident_Print(argument, words + 2, count - 2);
    }
    return EX_USAGE;
}

int
main(int argc, char **argv)
{
    const char *words[CbwOptions_ARGUMENTS_MAX];
    cbw_findings_t findings;
    int count;
    int command;

    signal(SIGPIPE, SIG_IGN);
    CbwFindings_Init(&findings);
    count = CbwOptions_Parse(&program, argc, argv, words, &findings);
    if (count < 0) {
        CbwFindings_Print(&findings, stderr);
        return EX_USAGE;
    }
    command = count > 0 ? find_command(words[0], count) : -1;
    if (command < 0) {
        fprintf(stderr, "carobwindctl: unknown command or wrong number of "
                        "arguments; see \"carobwindctl --help\"\n");
        return EX_USAGE;
    }
    return run_command(command, words, count);
}
