/* Test suites of the library. Each function registers its cases with GLib's
 * test framework. */
#ifndef TEST_LIBCAROBWIND_SUITES_H
#define TEST_LIBCAROBWIND_SUITES_H

void Suite_AddAccess(void);
void Suite_AddAcceptor(void);
void Suite_AddBasics(void);
void Suite_AddBootstrap(void);
void Suite_AddCompression(void);
void Suite_AddConnectionCache(void);
void Suite_AddConnectionDriver(void);
void Suite_AddTransactionDriver(void);
void Suite_AddExplorer(void);
void Suite_AddFuzz(void);
void Suite_AddGate(void);
void Suite_AddGivenUpCalls(void);
void Suite_AddInventory(void);
void Suite_AddLargeFleet(void);
void Suite_AddLiveness(void);
void Suite_AddLocalHealth(void);
void Suite_AddLog(void);
void Suite_AddMembership(void);
void Suite_AddMemoryBudget(void);
void Suite_AddNonce(void);
void Suite_AddOddRecords(void);
void Suite_AddOffload(void);
void Suite_AddOwner(void);
void Suite_AddPolicies(void);
void Suite_AddPool(void);
void Suite_AddPoolConfirm(void);
void Suite_AddPoolFleet(void);
void Suite_AddPoolFreshness(void);
void Suite_AddPoolObserver(void);
void Suite_AddPoolOrders(void);
void Suite_AddPoolQuota(void);
void Suite_AddPoolSynchronous(void);
void Suite_AddPoolTerms(void);
void Suite_AddQueueFair(void);
void Suite_AddPoolReads(void);
void Suite_AddPoolRegions(void);
void Suite_AddReadDispatch(void);
void Suite_AddRegions(void);
void Suite_AddRegistry(void);
void Suite_AddQuota(void);
void Suite_AddQuotaFleet(void);
void Suite_AddScheduling(void);
void Suite_AddPlacement(void);
void Suite_AddPlatform(void);
void Suite_AddSession(void);
void Suite_AddSpread(void);
void Suite_AddStoreRelay(void);
void Suite_AddTenure(void);
void Suite_AddTick(void);
void Suite_AddTraffic(void);
void Suite_AddWitness(void);

#endif
