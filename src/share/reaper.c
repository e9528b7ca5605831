#include "share/reaper.h"

#include <stdlib.h>

typedef struct entry {
    struct entry *next;
    void (*release)(void *object);
    void *object;
} entry_t;

static entry_t *pending;
static ev_prepare prepare_watcher;

static void
release_pending(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    entry_t *remaining = pending;

    (void)loop;
    (void)watcher;
    (void)events;
    /* Objects added by `release` wait for the next iteration. */
    pending = NULL;
    while (remaining != NULL) {
        entry_t *entry = remaining;
        remaining = entry->next;
        entry->release(entry->object);
        free(entry);
    }
}

void
CbwReaper_Start(struct ev_loop *loop)
{
    ev_prepare_init(&prepare_watcher, release_pending);
    ev_prepare_start(loop, &prepare_watcher);
    ev_unref(loop);
}

void
CbwReaper_Defer(void (*release)(void *object), void *object)
{
    entry_t *entry = malloc(sizeof(*entry));

    if (entry == NULL) {
        return; /* leaks the object, rather than freeing it too early */
    }
    entry->release = release;
    entry->object = object;
    entry->next = pending;
    pending = entry;
}
