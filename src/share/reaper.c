#include "share/reaper.h"

#include <stdlib.h>

typedef struct entry {
    struct entry *next;
    void (*release)(void *object);
    void *object;
} entry_t;

static entry_t *entries;
static ev_prepare prepare;

static void
reap(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    entry_t *present = entries;

    (void)loop;
    (void)watcher;
    (void)events;
    entries = NULL; /* what is added now waits for the next round */
    while (present != NULL) {
        entry_t *entry = present;
        present = entry->next;
        entry->release(entry->object);
        free(entry);
    }
}

void
CbwReaper_Start(struct ev_loop *loop)
{
    ev_prepare_init(&prepare, reap);
    ev_prepare_start(loop, &prepare);
    ev_unref(loop);
}

void
CbwReaper_Defer(void (*release)(void *object), void *object)
{
    entry_t *entry = malloc(sizeof(*entry));

    if (entry == NULL) {
        return; /* leaks the object, which is safe */
    }
    entry->release = release;
    entry->object = object;
    entry->next = entries;
    entries = entry;
}
