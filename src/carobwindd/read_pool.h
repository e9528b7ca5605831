/* The pools of the databases for which this host is the read dispatcher of its
 * region (see read_dispatch.h), and the samples that it gives to others as an
 * owner. Runs in the pool task. */
#ifndef CAROBWINDD_READ_POOL_H
#define CAROBWINDD_READ_POOL_H

#include "pool_instance.h"

/* Takes a request that is for this host as a read dispatcher, or of a
 * transaction that began here as such. Returns false when it is neither. */
bool ReadPool_Submit(job_t *job, cbw_time_t now);
/* Runs what is due. Returns whether the instance has work to do; it may have
 * been freed if not. */
bool ReadPool_Tick(pool_instance_t *instance, cbw_time_t now);
/* Attaches the endpoint of the lease while that is in force, else none. */
void ReadPool_UpdateEndpoints(pool_instance_t *instance);
/* Answers PEER_SAMPLE. */
void ReadPool_AnswerSample(inbound_t *inbound);
/* Handles and frees the owner's answer. */
void ReadPool_OnSampleDone(outbound_t *outbound);

#endif
