#include <glib.h>

#include "suites.h"

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    Suite_AddAccess();
    Suite_AddAcceptor();
    Suite_AddBasics();
    Suite_AddBootstrap();
    Suite_AddCompression();
    Suite_AddConnectionCache();
    Suite_AddConnectionDriver();
    Suite_AddTransactionDriver();
    Suite_AddExplorer();
    Suite_AddFuzz();
    Suite_AddGate();
    Suite_AddGivenUpCalls();
    Suite_AddInventory();
    Suite_AddLargeFleet();
    Suite_AddLiveness();
    Suite_AddLocalHealth();
    Suite_AddLog();
    Suite_AddMembership();
    Suite_AddMemoryBudget();
    Suite_AddNonce();
    Suite_AddOddRecords();
    Suite_AddOffload();
    Suite_AddOwner();
    Suite_AddPeerCalls();
    Suite_AddPolicies();
    Suite_AddPool();
    Suite_AddPoolBranches();
    Suite_AddPoolConfirm();
    Suite_AddPoolFleet();
    Suite_AddPoolFreshness();
    Suite_AddPoolObserver();
    Suite_AddPoolOrders();
    Suite_AddPoolQuota();
    Suite_AddPoolSynchronous();
    Suite_AddPoolTerms();
    Suite_AddQuota();
    Suite_AddQuotaFleet();
    Suite_AddQueueFair();
    Suite_AddPoolReads();
    Suite_AddPoolRegions();
    Suite_AddReadDispatch();
    Suite_AddRegions();
    Suite_AddRegistry();
    Suite_AddScheduling();
    Suite_AddPlacement();
    Suite_AddPlatform();
    Suite_AddSession();
    Suite_AddSpread();
    Suite_AddStatementText();
    Suite_AddStoreRelay();
    Suite_AddTenure();
    Suite_AddTermHistory();
    Suite_AddTick();
    Suite_AddTraffic();
    Suite_AddWitness();
    return g_test_run();
}
