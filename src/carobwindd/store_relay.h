/* Answers to store calls that this host makes for a peer. */
#ifndef CAROBWINDD_STORE_RELAY_H
#define CAROBWINDD_STORE_RELAY_H

#include "drivers.h"
#include "messages.h"

/* Moves the answer of `call` into `result`, which is zeroed. In the
 * configuration record, callers' keys are replaced by their hashes: neither
 * the peer nor anyone else who reaches the peers' port needs them. `registry`
 * may be NULL: there is no such record. An answer with more items than a
 * result may have becomes CBW_STORE_LOST. */
void StoreRelay_FillResult(store_call_t *call,
                           const registry_driver_t *registry,
                           peer_store_result *result);

#endif
