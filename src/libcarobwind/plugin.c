#include "carobwind/plugin.h"

#include <stddef.h>
#include <string.h>

const char *const CbwPlugin_TypeString[] = {
    "queue",        "limit",         "route",           "endpoint-driver",
    "store-driver", "caller-driver", "registry-driver", "order-driver",
};

static cbw_plugin_t *first_plugin;

void
CbwPlugin_Register(cbw_plugin_t *plugin)
{
    plugin->next = first_plugin;
    first_plugin = plugin;
}

const void *
CbwPlugin_Find(cbw_plugin_type_t type, const char *name)
{
    for (const cbw_plugin_t *p = first_plugin; p != NULL; p = p->next) {
        if (p->type == type && strcmp(p->name, name) == 0) {
            return p->ops;
        }
    }
    return NULL;
}

void
CbwPlugin_ForEach(void (*report)(void *context, const cbw_plugin_t *plugin),
                  void *context)
{
    for (const cbw_plugin_t *p = first_plugin; p != NULL; p = p->next) {
        report(context, p);
    }
}
