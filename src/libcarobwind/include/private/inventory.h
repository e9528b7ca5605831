/* What the parts of the inventory share. */
#ifndef CAROBWIND_PRIVATE_INVENTORY_H
#define CAROBWIND_PRIVATE_INVENTORY_H

#include "carobwind/inventory.h"

/* Whether the text is "a.b.c.d:port". */
bool CbwInventory_IsAddress(const char *text);

#endif
