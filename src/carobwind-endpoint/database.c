#include "database.h"

#include <errno.h>
#include <hiredis/hiredis.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "share/resp.h"

#define READ_SIZE 65536

static const char *const entry_type_strings[] = {"begin", "statement",
                                                 "cancel"};

static void
free_entry(void *pointer)
{
    entry_t *entry = pointer;

    g_free(entry->key);
    g_free(entry->statement);
    g_free(entry->result);
    g_free(entry);
}

/* The file. Each change is a record, a RESP array of the words "entry TERM
 * TYPE KEY STATEMENT RESULT", "truncate POSITION" or "fence TERM". */

static void
save_record(database_t *database, int count, const char **words)
{
    char *bytes = NULL;
    long long size;

    if (database->file == NULL) {
        return;
    }
    size = redisFormatCommandArgv(&bytes, count, words, NULL);
    if (size > 0) {
        fwrite(bytes, 1, (size_t)size, database->file);
        fflush(database->file);
        redisFreeCommand(bytes);
    }
}

static void
save_number_record(database_t *database, const char *record_type,
                   uint64_t number)
{
    char text[24];
    const char *words[] = {record_type, text};

    snprintf(text, sizeof(text), "%" PRIu64, number);
    save_record(database, 2, words);
}

static void
save_entry_record(database_t *database, const entry_t *entry)
{
    char term[24];
    const char *words[] = {"entry",
                           term,
                           entry_type_strings[entry->type],
                           entry->key,
                           entry->statement,
                           entry->result};

    snprintf(term, sizeof(term), "%" PRIu64, entry->term);
    save_record(database, 6, words);
}

/* Values. */

/* Parses "put NAME VALUE" or "add NAME NUMBER". Returns false when `line` is
 * neither; else the caller frees the three strings. */
static bool
parse_write(const char *line, char **verb, char **name, char **value)
{
    gchar **parts = g_strsplit(line, " ", 3);
    bool ok = g_strv_length(parts) == 3 && parts[1][0] != '\0' &&
              (strcmp(parts[0], "put") == 0 || strcmp(parts[0], "add") == 0);

    if (ok) {
        *verb = g_strdup(parts[0]);
        *name = g_strdup(parts[1]);
        *value = g_strdup(parts[2]);
    }
    g_strfreev(parts);
    return ok;
}

/* Applies one write and adds "NAME=value" to `result`. */
static void
apply_line(database_t *database, const char *line, GString *result)
{
    char *verb;
    char *name;
    char *value;

    if (!parse_write(line, &verb, &name, &value)) {
        return;
    }
    if (strcmp(verb, "add") == 0) {
        const char *before = g_hash_table_lookup(database->values, name);
        long long sum = strtoll(before ? before : "0", NULL, 10) +
                        strtoll(value, NULL, 10);
        g_free(value);
        value = g_strdup_printf("%lld", sum);
    }
    g_string_append_printf(result, "%s%s=%s", result->len ? ";" : "", name,
                           value);
    g_hash_table_replace(database->values, name, value);
    g_free(verb);
}

/* Applies each line of a statement. Returns the results, separated by ";",
 * which the caller frees. */
static char *
apply_statement(database_t *database, const char *statement)
{
    gchar **lines = g_strsplit(statement, "\n", -1);
    GString *result = g_string_new("");

    for (int i = 0; lines[i] != NULL; i++) {
        apply_line(database, lines[i], result);
    }
    g_strfreev(lines);
    return g_string_free(result, FALSE);
}

bool
Database_IsWrite(const char *statement)
{
    gchar **lines = g_strsplit(statement, "\n", -1);
    bool ok = lines[0] != NULL;

    for (int i = 0; ok && lines[i] != NULL; i++) {
        char *verb;
        char *name;
        char *value;
        ok = parse_write(lines[i], &verb, &name, &value);
        if (ok) {
            g_free(verb);
            g_free(name);
            g_free(value);
        }
    }
    g_strfreev(lines);
    return ok;
}

char *
Database_Read(const database_t *database, const char *statement)
{
    const char *name;
    const char *value;

    if (strncmp(statement, "get ", 4) != 0 || statement[4] == '\0') {
        return NULL;
    }
    name = statement + 4;
    value = g_hash_table_lookup(database->values, name);
    return g_strdup_printf("%s=%s", name, value ? value : "");
}

/* The log. */

uint64_t
Database_Position(const database_t *database)
{
    return database->entries->len;
}

const entry_t *
Database_Entry(const database_t *database, uint64_t position)
{
    if (position < 1 || position > database->entries->len) {
        return NULL;
    }
    return g_ptr_array_index(database->entries, position - 1);
}

uint64_t
Database_LastTerm(const database_t *database)
{
    const entry_t *entry =
        Database_Entry(database, Database_Position(database));

    return entry != NULL ? entry->term : 0;
}

uint64_t
Database_KeyPosition(const database_t *database, const char *key)
{
    if (key[0] == '\0') {
        return 0;
    }
    return (uint64_t)(uintptr_t)g_hash_table_lookup(database->keys, key);
}

/* Appends an entry, which the database then owns, and saves it. */
static void
append_entry(database_t *database, entry_t *entry)
{
    uint64_t position;

    g_ptr_array_add(database->entries, entry);
    position = Database_Position(database);
    if (entry->key[0] != '\0') {
        g_hash_table_replace(database->keys, g_strdup(entry->key),
                             (void *)(uintptr_t)position);
    }
    if (entry->type == ENTRY_BEGIN) {
        cbw_term_begin_t begin = {entry->term, position};
        g_array_append_val(database->begins, begin);
    }
    save_entry_record(database, entry);
}

static entry_t *
new_entry(uint64_t term, entry_type_t type, const char *key,
          const char *statement)
{
    entry_t *entry = g_new0(entry_t, 1);

    entry->term = term;
    entry->type = type;
    entry->key = g_strdup(key);
    entry->statement = g_strdup(statement);
    return entry;
}

uint64_t
Database_Write(database_t *database, entry_type_t type, const char *key,
               const char *statement)
{
    entry_t *entry;

    if (type == ENTRY_STATEMENT && !Database_IsWrite(statement)) {
        return 0;
    }
    entry = new_entry(database->term, type, key, statement);
    entry->result = type == ENTRY_STATEMENT
                        ? apply_statement(database, statement)
                        : g_strdup("");
    append_entry(database, entry);
    return Database_Position(database);
}

void
Database_Replicate(database_t *database, uint64_t term, entry_type_t type,
                   const char *key, const char *statement, const char *result)
{
    entry_t *entry = new_entry(term, type, key, statement);

    entry->result = g_strdup(result);
    if (type == ENTRY_STATEMENT) {
        g_free(apply_statement(database, statement));
    }
    append_entry(database, entry);
}

static void
rebuild_values(database_t *database)
{
    g_hash_table_remove_all(database->values);
    for (guint i = 0; i < database->entries->len; i++) {
        const entry_t *entry = g_ptr_array_index(database->entries, i);
        if (entry->type == ENTRY_STATEMENT) {
            g_free(apply_statement(database, entry->statement));
        }
    }
}

void
Database_Truncate(database_t *database, uint64_t position)
{
    GArray *begins = database->begins;

    if (position >= Database_Position(database)) {
        return;
    }
    for (uint64_t i = position + 1; i <= Database_Position(database); i++) {
        g_hash_table_remove(database->keys, Database_Entry(database, i)->key);
    }
    while (begins->len > 0 &&
           g_array_index(begins, cbw_term_begin_t, begins->len - 1).position >
               position) {
        g_array_set_size(begins, begins->len - 1);
    }
    g_ptr_array_set_size(database->entries, (gint)position);
    save_number_record(database, "truncate", position);
    rebuild_values(database);
}

bool
Database_Fence(database_t *database, uint64_t term)
{
    if (term < database->term) {
        return false;
    }
    if (term > database->term) {
        database->term = term;
        database->primary = false;
        database->follows = 0;
        save_number_record(database, "fence", term);
    }
    return true;
}

bool
Database_Promote(database_t *database, uint64_t term)
{
    if (term != database->term) {
        return false;
    }
    if (!database->primary) {
        database->primary = true;
        database->follows = 0;
        Database_Write(database, ENTRY_BEGIN, "", "");
    }
    return true;
}

void
Database_GetState(const database_t *database, cbw_endpoint_state_t *state)
{
    const GArray *begins = database->begins;

    memset(state, 0, sizeof(*state));
    state->term = database->term;
    state->primary = database->primary;
    state->follows = database->follows;
    state->last_term = Database_LastTerm(database);
    state->position = Database_Position(database);
    while (state->begin_count < Cbw_TERM_BEGINS_MAX &&
           (guint)state->begin_count < begins->len) {
        state->begins[state->begin_count] =
            g_array_index(begins, cbw_term_begin_t,
                          begins->len - 1 - (guint)state->begin_count);
        state->begin_count++;
    }
}

static entry_type_t
parse_entry_type(const char *text)
{
    for (int i = ENTRY_BEGIN; i <= ENTRY_CANCEL; i++) {
        if (strcmp(text, entry_type_strings[i]) == 0) {
            return (entry_type_t)i;
        }
    }
    return ENTRY_STATEMENT;
}

static void
replay_record(database_t *database, const cbw_resp_message_t *record)
{
    char **words = record->words;

    if (record->count == 6) {
        Database_Replicate(database, strtoull(words[1], NULL, 10),
                           parse_entry_type(words[2]), words[3], words[4],
                           words[5]);
    }
    else if (record->count == 2 && strcmp(words[0], "truncate") == 0) {
        Database_Truncate(database, strtoull(words[1], NULL, 10));
    }
    else if (record->count == 2 && strcmp(words[0], "fence") == 0) {
        Database_Fence(database, strtoull(words[1], NULL, 10));
    }
}

/* Replays the file up to its end or its first malformed or incomplete record.
 * Returns 0, or -1 when there is no memory for the decoder; the caller ignores
 * this and starts with an empty database. */
static int
replay(database_t *database, FILE *file)
{
    char buffer[READ_SIZE];
    cbw_resp_decoder_t decoder;
    size_t size;

    if (CbwRespDecoder_Init(&decoder, &CbwResp_ClientLimits) != 0) {
        return -1;
    }
    while ((size = fread(buffer, 1, sizeof(buffer), file)) > 0) {
        cbw_resp_message_t *record;
        if (CbwRespDecoder_Feed(&decoder, buffer, size) != 0) {
            break;
        }
        while (CbwRespDecoder_Next(&decoder, &record) == 0 && record) {
            replay_record(database, record);
            CbwResp_FreeMessage(record);
        }
    }
    CbwRespDecoder_Finish(&decoder);
    return 0;
}

int
Database_Init(database_t *database, const char *path, bool primary,
              cbw_error_t *error)
{
    memset(database, 0, sizeof(*database));
    database->term = 1;
    database->entries = g_ptr_array_new_with_free_func(free_entry);
    database->keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    database->values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    database->begins = g_array_new(FALSE, FALSE, sizeof(cbw_term_begin_t));
    if (path[0] != '\0') {
        FILE *file = fopen(path, "a+");
        if (file == NULL) {
            return CbwError_Set(error, CBW_ERROR_IO,
                                "cannot open the data file %s: %s", path,
                                strerror(errno));
        }
        rewind(file);
        /* database->file is still NULL, so that the replayed records are not
         * saved again. */
        replay(database, file);
        fseek(file, 0, SEEK_END);
        database->file = file;
    }
    if (primary && Database_Position(database) == 0 && database->term == 1) {
        Database_Promote(database, 1);
    }
    return 0;
}

void
Database_Finish(database_t *database)
{
    g_ptr_array_free(database->entries, TRUE);
    g_hash_table_destroy(database->keys);
    g_hash_table_destroy(database->values);
    g_array_free(database->begins, TRUE);
    if (database->file != NULL) {
        fclose(database->file);
    }
}
