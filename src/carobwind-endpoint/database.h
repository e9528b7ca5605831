/* The database of the endpoint stand-in: a replicated log of entries with
 * terms, the values that result from it, the request keys in it, and the
 * fencing term. A file keeps them across restarts. */
#ifndef CAROBWIND_ENDPOINT_DATABASE_H
#define CAROBWIND_ENDPOINT_DATABASE_H

#include <glib.h>
#include <stdio.h>

#include "carobwind/endpoint.h"
#include "carobwind/error.h"

typedef enum {
    ENTRY_BEGIN,     /* the first entry of a term */
    ENTRY_STATEMENT, /* one or more statements, one per line */
    ENTRY_CANCEL,    /* tombstone of a request key */
} entry_type_t;

typedef struct {
    uint64_t term;
    entry_type_t type;
    char *key; /* request key; "" when there is none */
    char *statement;
    char *result;
} entry_t;

typedef struct {
    uint64_t term; /* fencing term: lower ones are refused */
    bool primary;
    uint64_t follows;   /* term of the primary it replicates from; 0: none */
    GPtrArray *entries; /* of entry_t; the position is the index + 1 */
    GHashTable *keys;   /* request key to position */
    GHashTable *values; /* name to value */
    GArray *begins;     /* of cbw_term_begin_t, ascending */
    FILE *file;         /* NULL: not persistent */
} database_t;

/* Opens the file `path` ("": none) and replays it. If the database is empty
 * and `primary` is set, it begins as the primary of term 1. Returns 0, or -1
 * with `error` set. */
int Database_Init(database_t *database, const char *path, bool primary,
                  cbw_error_t *error);
void Database_Finish(database_t *database);

/* The position of the last log entry; 0 when the log is empty. */
uint64_t Database_Position(const database_t *database);
/* The term of the last log entry; 0 when the log is empty. */
uint64_t Database_LastTerm(const database_t *database);
/* The entry at `position`, counted from 1, or NULL when there is none. */
const entry_t *Database_Entry(const database_t *database, uint64_t position);
/* The position of the entry with a request key; 0 when there is none. */
uint64_t Database_KeyPosition(const database_t *database, const char *key);
void Database_GetState(const database_t *database,
                       cbw_endpoint_state_t *state);

/* Appends an entry of the current term and applies it. Returns its position,
 * or 0 when the statement is malformed. */
uint64_t Database_Write(database_t *database, entry_type_t type,
                        const char *key, const char *statement);
/* Appends an entry that was replicated from the primary, and applies it. */
void Database_Replicate(database_t *database, uint64_t term, entry_type_t type,
                        const char *key, const char *statement,
                        const char *result);
/* Removes all entries after `position` and their effects. */
void Database_Truncate(database_t *database, uint64_t position);
/* Raises the fencing term to `term`, which ends the role (primary or replica)
 * of a lower term. Returns false when the fencing term is higher already. */
bool Database_Fence(database_t *database, uint64_t term);
/* Becomes the primary of `term`. Returns false unless that is the fencing
 * term. */
bool Database_Promote(database_t *database, uint64_t term);
/* Executes "get NAME". Returns "NAME=value", which the caller frees, or NULL
 * when the statement is malformed. */
char *Database_Read(const database_t *database, const char *statement);
/* Whether each line of `statement` is a well-formed write. */
bool Database_IsWrite(const char *statement);

#endif
