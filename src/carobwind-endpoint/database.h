/* The database of the stand-in: a log of entries with terms, the values they
 * lead to, request keys, the fence, and a file that outlives the process. */
#ifndef CAROBWIND_ENDPOINT_DATABASE_H
#define CAROBWIND_ENDPOINT_DATABASE_H

#include <glib.h>
#include <stdio.h>

#include "carobwind/endpoint.h"
#include "carobwind/error.h"

typedef enum {
    ENTRY_BEGIN,     /* the first of its term */
    ENTRY_STATEMENT, /* one or more statements, a line each */
    ENTRY_CANCEL,    /* tombstone of a request key */
} entry_type_t;

typedef struct {
    uint64_t term;
    entry_type_t type;
    char *key; /* "" when there is none */
    char *statement;
    char *result;
} entry_t;

typedef struct {
    uint64_t term; /* the fence */
    bool primary;
    uint64_t follows;
    GPtrArray *entries; /* of entry_t; the position is the index + 1 */
    GHashTable *keys;   /* request key to position */
    GHashTable *values;
    GArray *begins; /* of cbw_term_begin_t */
    FILE *file;     /* NULL: nothing outlives the process */
} database_t;

/* Opens `path` ("" for none) and replays it. An empty database that is
 * `primary` begins term 1. Returns 0, or -1 with `error` set. */
int Database_Init(database_t *database, const char *path, bool primary,
                  cbw_error_t *error);
void Database_Finish(database_t *database);

uint64_t Database_Position(const database_t *database);
uint64_t Database_LastTerm(const database_t *database);
/* The entry at a position from 1, or NULL. */
const entry_t *Database_Entry(const database_t *database, uint64_t position);
/* The position that a request key was recorded at; 0 when it was not. */
uint64_t Database_KeyPosition(const database_t *database, const char *key);
void Database_GetState(const database_t *database,
                       cbw_endpoint_state_t *state);

/* Appends an entry of the present term and applies it. Returns its position,
 * or 0 when the statement is malformed. */
uint64_t Database_Write(database_t *database, entry_type_t type,
                        const char *key, const char *statement);
/* Appends an entry that came from the primary. */
void Database_Replicate(database_t *database, uint64_t term, entry_type_t type,
                        const char *key, const char *statement,
                        const char *result);
/* Drops all entries after `position`. */
void Database_Truncate(database_t *database, uint64_t position);
/* Refuses terms below `term` from now on; the present role ends if it is of a
 * lower term. Returns false when `term` itself is too low. */
bool Database_Fence(database_t *database, uint64_t term);
/* Becomes primary of the fenced term. Returns false when that is another. */
bool Database_Promote(database_t *database, uint64_t term);
/* Answers "get NAME" with "NAME=value"; NULL when it is malformed. The caller
 * frees the text. */
char *Database_Read(const database_t *database, const char *statement);
/* Whether each line is a well-formed write. */
bool Database_IsWrite(const char *statement);

#endif
