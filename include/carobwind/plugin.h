/* Registry of plug-ins.  A plug-in registers itself before main() under a
 * type and a name; settings choose by name. */
#ifndef CAROBWIND_PLUGIN_H
#define CAROBWIND_PLUGIN_H

typedef enum {
    CBW_PLUGIN_QUEUE,           /* cbw_queue_ops_t */
    CBW_PLUGIN_LIMIT,           /* cbw_limit_ops_t */
    CBW_PLUGIN_ROUTE,           /* cbw_route_ops_t */
    CBW_PLUGIN_ENDPOINT_DRIVER, /* endpoint_driver_t */
    CBW_PLUGIN_STORE_DRIVER,    /* store_driver_t */
    CBW_PLUGIN_CALLER_DRIVER,   /* caller_driver_t */
    CBW_PLUGIN_REGISTRY_DRIVER, /* registry_driver_t */
    CBW_PLUGIN_ORDER_DRIVER,    /* order_driver_t */
} cbw_plugin_type_t;

/* Names of the members of cbw_plugin_type_t, in their order. */
extern const char *const CbwPlugin_TypeString[];

typedef struct cbw_plugin {
    cbw_plugin_type_t type;
    const char *name;
    const void *ops; /* table of functions, see cbw_plugin_type_t */
    struct cbw_plugin *next;
} cbw_plugin_t;

/* Adds `plugin`, which must live as long as the process. */
void CbwPlugin_Register(cbw_plugin_t *plugin);
/* The table of the plug-in, or NULL. */
const void *CbwPlugin_Find(cbw_plugin_type_t type, const char *name);
/* Calls `report` for each registered plug-in. */
void CbwPlugin_ForEach(void (*report)(void *context,
                                      const cbw_plugin_t *plugin),
                       void *context);

/* Registers a plug-in when the program starts. */
/* NOLINTBEGIN(bugprone-macro-parentheses): the identifier is declared */
#define Cbw_PLUGIN_REGISTER(identifier, plugin_type, plugin_name, table)      \
    static cbw_plugin_t identifier = {                                        \
        .type = (plugin_type), .name = (plugin_name), .ops = (table)};        \
    __attribute__((constructor)) static void identifier##_register(void)      \
    {                                                                         \
        CbwPlugin_Register(&identifier);                                      \
    }
/* NOLINTEND(bugprone-macro-parentheses) */

#endif
