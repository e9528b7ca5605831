/* Inventory checks that are private to the library. */
#ifndef CAROBWIND_PRIVATE_INVENTORY_H
#define CAROBWIND_PRIVATE_INVENTORY_H

#include "carobwind/inventory.h"

/* Returns whether the text is an IPv4 address with a port, "a.b.c.d:port". */
bool CbwInventory_IsAddress(const char *text);

#endif
