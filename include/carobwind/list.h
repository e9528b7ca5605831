/* Intrusive circular doubly linked list. The head is a sentinel link. */
#ifndef CAROBWIND_LIST_H
#define CAROBWIND_LIST_H

#include <stdbool.h>
#include <stddef.h>

typedef struct cbw_link {
    struct cbw_link *next;
    struct cbw_link *previous;
} cbw_link_t;

/* The struct of type `type` that contains `link` as its member `member`. */
#define Cbw_LIST_ITEM(link, type, member)                                     \
    ((type *)(void *)((char *)(link)-offsetof(type, member)))

/* Iterates over `list`. The body may remove the current link; `safe` keeps the
 * one that follows it. */
#define Cbw_LIST_FOREACH(list, link, safe)                                    \
    for ((link) = (list)->next, (safe) = (link)->next; (link) != (list);      \
         (link) = (safe), (safe) = (link)->next)

static inline void
CbwList_Init(cbw_link_t *list)
{
    list->next = list;
    list->previous = list;
}

static inline bool
CbwList_IsEmpty(const cbw_link_t *list)
{
    return list->next == list;
}

static inline void
CbwList_Append(cbw_link_t *list, cbw_link_t *link)
{
    link->next = list;
    link->previous = list->previous;
    list->previous->next = link;
    list->previous = link;
}

static inline void
CbwList_Prepend(cbw_link_t *list, cbw_link_t *link)
{
    CbwList_Append(list->next, link);
}

/* Removes `link` from its list. Does nothing when it is in no list. */
static inline void
CbwList_Remove(cbw_link_t *link)
{
    link->previous->next = link->next;
    link->next->previous = link->previous;
    CbwList_Init(link);
}

/* Removes and returns the first link. Returns NULL when the list is empty. */
static inline cbw_link_t *
CbwList_TakeFirst(cbw_link_t *list)
{
    cbw_link_t *first = list->next;
    if (first == list) {
        return NULL;
    }
    CbwList_Remove(first);
    return first;
}

#endif
