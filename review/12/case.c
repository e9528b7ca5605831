/* Case 12 before the stand-in of the second review: the same platform, backends, clients and check
 * of STALE, with other disruptions. One replica is lost for good; the other one receives nothing,
 * while the primary commits and crashes; the deaf replica is promoted, serves and is lost for good;
 * the former primary comes back with its log.
 *
 *   case-12 NETWORK RECORD TROUBLE    TROUBLE 0: without the disruptions
 *
 * Exits with 1 if STALE was broken, 0 if it held, 2 if the case could not run. */
#define main run_second_review
#include "../standin-2/standin.c"
#undef main

/* From the first crash to the end: the owner waits 15 s for another log, and then some seconds are
 * served. */
#define LENGTH_MS 27000

static bool
wait_until_ready(void)
{
    for (int i = 0; i < 100; i++) {
        int ready = 0;
        run_for(200);
        for (int m = 0; m < MACHINES; m++) {
            ready += is_ready(m);
        }
        if (ready == MACHINES) {
            return true;
        }
    }
    return false;
}

static void
plan_disruptions(void)
{
    after(1000, crash, 2, 0, NULL);         /* for good */
    after(2000, set_deaf, 1, 1, NULL);      /* until it is lost */
    after(4000, crash, 0, 0, NULL);         /* for 5 s */
    after(6000, crash, 1, 0, NULL);         /* for good */
    after(9000, start_backend, 0, 0, NULL);
}

int
main(int argc, char **argv)
{
    const char *config =
        "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"database\":\"pay\",\"routeType\":"
        "\"primary\",\"timeoutMs\":800,\"targetLatencyMs\":150,\"priority\":0,\"service\":"
        "\"ledger\"}],\"services\":[{\"name\":\"ledger\",\"maxConns\":88,\"syncReplicas\":0}],"
        "\"limits\":{\"idleTxMs\":3000}}";

    if (argc < 4) {
        return 2;
    }
    network = argv[1];
    record = fopen(argv[2], "w");
    trouble = atoi(argv[3]);
    if (record == NULL) {
        return 2;
    }
    setvbuf(record, NULL, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    started = now_ms();
    add_socket(LISTEN_HTTP, open_listener(100, 7300), 0);
    put_text("op/config", config);
    for (int i = 0; i < BACKENDS; i++) {
        backends[i].primary = i == 0;
        backends[i].term = 1;
        start_backend(i, 0, NULL);
    }
    if (!wait_until_ready()) {
        note("the machines are not ready");
        return 2;
    }
    note("all machines are ready");
    for (int c = 0; c < CLIENTS; c++) {
        clients[c] = (client_t){.slot = -1, .machine = c % MACHINES, .read = -1, .write = -1};
        connect_client(c, 0, NULL);
    }
    run_for(1000);
    if (trouble) {
        plan_disruptions();
    }
    run_for(LENGTH_MS);
    stopping = true;
    run_for(1000);
    return judge();
}
