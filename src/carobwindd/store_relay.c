#include "store_relay.h"

#include <stdlib.h>
#include <string.h>

/* Replaces the text of a record by the one without keys, if it has any. */
static void
hide_keys(const registry_driver_t *registry, const char *key, char **text,
          size_t *size)
{
    char *hidden;

    if (registry == NULL || registry->hide_keys == NULL || *text == NULL ||
        strcmp(key, registry->config_key) != 0) {
        return;
    }
    hidden = registry->hide_keys(*text);
    if (hidden != NULL) {
        free(*text);
        *text = hidden;
        *size = strlen(hidden);
    }
}

static void
move_items(store_call_t *call, const registry_driver_t *registry, size_t count,
           peer_store_result *result)
{
    result->items.items_val = calloc(count + 1, sizeof(peer_store_item));
    result->items.items_len = (u_int)count;
    if (result->items.items_val == NULL) {
        abort();
    }
    for (size_t i = 0; i < count; i++) {
        peer_store_item *to = &result->items.items_val[i];
        store_item_t *from = &call->items[i];
        hide_keys(registry, from->key, &from->value, &from->value_size);
        to->key = from->key;
        to->value.value_val = from->value;
        to->value.value_len = (u_int)from->value_size;
        to->removed = from->value == NULL;
        to->record_version = from->version;
        from->key = NULL; /* moved into the result */
        from->value = NULL;
    }
}

void
StoreRelay_FillResult(store_call_t *call, const registry_driver_t *registry,
                      peer_store_result *result)
{
    size_t count = call->status == CBW_STORE_OK ? call->item_count : 0;
    size_t size;

    /* peer.x bounds the items of a store result by the same constant as the
     * members of a member list. */
    if (count > PEER_MEMBERS_MAX) {
        call->status = CBW_STORE_LOST;
        count = 0;
    }
    if (call->verb == STORE_GET) {
        hide_keys(registry, call->key, &call->value, &size);
    }
    result->status = call->status;
    result->record_version = call->version;
    result->value = strdup(
        call->verb == STORE_GET && call->value != NULL ? call->value : "");
    move_items(call, registry, count, result);
}
