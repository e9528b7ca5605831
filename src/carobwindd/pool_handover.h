/* Hands databases of this host over to their next owners. */
#ifndef CAROBWINDD_POOL_HANDOVER_H
#define CAROBWINDD_POOL_HANDOVER_H

#include "pool_instance.h"

/* Longest time to prepare databases: before this host accepts work, and while
 * another one waits to hand a database over to it. */
#define POOL_PREPARE_TIMEOUT (900 * Cbw_MSEC)

/* Asks the database's next owner to prepare. The pool task gets the answer as
 * a MESSAGE_OUTBOUND_DONE with `context`. Returns whether there is a next
 * owner. */
bool PoolHandover_AskNextOwner(const pool_instance_t *instance, void *context);
/* Hands the database over if that is due because its home has moved. */
void PoolHandover_Tick(pool_instance_t *instance, cbw_time_t now);
/* Handles and frees the answer of the next owner to PoolHandover_Tick. */
void PoolHandover_OnDone(outbound_t *outbound);

#endif
