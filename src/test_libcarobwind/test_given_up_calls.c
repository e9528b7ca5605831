/* A cancelled call takes no effect later: bytes that the remote end has not
 * received by then never reach it. */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "carobwind/plugin.h"
#include "carobwindd/drivers.h"
#include "share/net.h"
#include "share/reaper.h"
#include "suites.h"

/* Larger than the receive buffer of a connection of the server below. */
#define TEXT_SIZE ((size_t)100000)
/* Rounds of the event loop, 1 ms each, until a wait has failed. */
#define ROUNDS_MAX 500
/* Longest time for which a connection may keep unacknowledged bytes. */
#define ACKNOWLEDGE_TIMEOUT_MAX_MS 2000

static struct ev_loop *loop;
static daemon_t remote;  /* as a daemon whose remote ends are the server */
static char *large_text; /* TEXT_SIZE letters */
static int answers;
static cbw_promote_status_t answer;
static cbw_store_status_t store_answer;

/* The server. Nothing accepts or reads unless a test does. */

static int
start_server(char *address)
{
    struct sockaddr_in local = {.sin_port = 0};
    socklen_t length = sizeof(local);
    int smallest = 1;
    int fd = CbwNet_Listen("127.0.0.1:0", NULL);

    g_assert_cmpint(fd, >=, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof(smallest));
    getsockname(fd, (struct sockaddr *)&local, &length);
    snprintf(address, Cbw_ADDRESS_MAX, "127.0.0.1:%d", ntohs(local.sin_port));
    return fd;
}

static void
run_loop(void)
{
    ev_run(loop, EVRUN_NOWAIT);
    g_usleep(1000);
}

/* Accepts a connection; returns -1 when none is made within the wait. */
static int
accept_connection(int listener)
{
    char ip[CbwNet_IP_MAX];
    int fd = -1;

    for (int i = 0; i < ROUNDS_MAX && fd < 0; i++) {
        run_loop();
        fd = CbwNet_Accept(listener, ip);
    }
    return fd;
}

static bool
has_waiting_connection(int listener)
{
    char ip[CbwNet_IP_MAX];
    int fd = CbwNet_Accept(listener, ip);

    if (fd >= 0) {
        close(fd);
    }
    return fd >= 0;
}

static void
wait_for_bytes(int fd)
{
    int size = 0;

    for (int i = 0; i < ROUNDS_MAX && size == 0; i++) {
        run_loop();
        ioctl(fd, FIONREAD, &size);
    }
    g_assert_cmpint(size, >, 0);
}

static void
answer_with(int fd, const char *text)
{
    g_assert_cmpint(write(fd, text, strlen(text)), ==, (int)strlen(text));
}

/* Reads until the connection ends. Returns the number of bytes, and the error
 * with which it ended: 0 for an orderly close, EAGAIN if it did not end. */
static size_t
read_to_end(int fd, int *error)
{
    char buffer[4096];
    size_t total = 0;

    *error = EAGAIN;
    for (int i = 0; i < ROUNDS_MAX && *error == EAGAIN; i++) {
        ssize_t size;
        while ((size = read(fd, buffer, sizeof(buffer))) > 0) {
            total += (size_t)size;
        }
        *error = size == 0 ? 0 : errno;
        run_loop();
    }
    return total;
}

/* Checks that a cancelled call of at least TEXT_SIZE bytes ended with a reset,
 * without its remaining bytes. */
static void
check_discarded(int fd)
{
    int error;
    size_t size = read_to_end(fd, &error);

    g_test_message("received %zu bytes, then: %s", size,
                   error == 0 ? "orderly close" : g_strerror(error));
    g_assert_cmpint(error, ==, ECONNRESET);
    g_assert_cmpuint(size, <, TEXT_SIZE / 4);
    close(fd);
}

/* Returns this process's socket at the other end of an accepted connection; -1
 * when there is none. */
static int
find_other_end(int accepted)
{
    struct sockaddr_in peer = {.sin_port = 0};
    socklen_t length = sizeof(peer);

    g_assert_cmpint(getpeername(accepted, (struct sockaddr *)&peer, &length),
                    ==, 0);
    for (int fd = 0; fd < 1024; fd++) {
        struct sockaddr_in local = {.sin_port = 0};
        length = sizeof(local);
        if (getsockname(fd, (struct sockaddr *)&local, &length) == 0 &&
            length == sizeof(local) && local.sin_port == peer.sin_port) {
            return fd;
        }
    }
    return -1;
}

static void
check_acknowledge_timeout(int fd)
{
    unsigned timeout_ms = 0;
    socklen_t length = sizeof(timeout_ms);

    getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, &length);
    g_assert_cmpuint(timeout_ms, >, 0);
    g_assert_cmpuint(timeout_ms, <=, ACKNOWLEDGE_TIMEOUT_MAX_MS);
}

/* The kernel closes the sockets of a process that is killed as by close(). */
static void
check_reset_on_close(int fd)
{
    struct linger linger = {.l_onoff = 0, .l_linger = -1};
    socklen_t length = sizeof(linger);

    getsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, &length);
    g_assert_cmpint(linger.l_onoff, ==, 1);
    g_assert_cmpint(linger.l_linger, ==, 0);
}

/* Sockets. */

static void
test_socket_options(void)
{
    const cbw_net_options_t options = {.reset_on_close = true,
                                       .acknowledge_timeout = 2 * Cbw_SEC};
    char address[Cbw_ADDRESS_MAX];
    int listener = start_server(address);
    int fd = CbwNet_Connect("", address, &options, NULL);
    int accepted;

    g_assert_cmpint(fd, >=, 0);
    check_reset_on_close(fd);
    check_acknowledge_timeout(fd);
    accepted = accept_connection(listener);
    g_assert_cmpint(write(fd, large_text, TEXT_SIZE), >, 0);
    close(fd);
    check_discarded(accepted);
    close(listener);
}

/* The kernel discards bytes that stay unacknowledged, without action of the
 * process. */
static void
test_acknowledge_timeout(void)
{
    const cbw_net_options_t options = {.acknowledge_timeout = 100 * Cbw_MSEC};
    char address[Cbw_ADDRESS_MAX];
    int listener = start_server(address);
    int fd = CbwNet_Connect("", address, &options, NULL);
    struct pollfd watched = {.fd = fd, .events = 0};
    int error = 0;
    socklen_t length = sizeof(error);
    int accepted = accept_connection(listener);

    g_assert_cmpint(write(fd, large_text, TEXT_SIZE), >, 0);
    g_assert_cmpint(poll(&watched, 1, 900), ==, 1);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
    g_assert_cmpint(error, ==, ETIMEDOUT);
    check_discarded(accepted);
    close(fd);
    close(listener);
}

/* Orders to promote. */

static const order_driver_t *
find_order_driver(int *listener)
{
    static char address[Cbw_ADDRESS_MAX];

    /* The driver keeps its client, so all tests share the server. */
    static int fd = -1;
    if (fd < 0) {
        fd = start_server(address);
    }
    *listener = fd;
    remote.settings.orders_address = address;
    answers = 0;
    return CbwPlugin_Find(CBW_PLUGIN_ORDER_DRIVER, "duty");
}

static void
on_order_done(void *context, cbw_promote_status_t status)
{
    (void)context;
    answers++;
    answer = status;
}

static order_t *
start_order(const order_driver_t *driver, const char *endpoint)
{
    return driver->promote(&remote, "db", endpoint, "node1", 7, on_order_done,
                           NULL);
}

/* An order that is cancelled while TCP holds a part of it never arrives in
 * full. */
static void
test_order_cancelled(void)
{
    int listener;
    const order_driver_t *driver = find_order_driver(&listener);
    order_t *order = start_order(driver, large_text);
    int fd = accept_connection(listener);

    wait_for_bytes(fd);
    driver->cancel(order);
    check_discarded(fd);
    g_assert_cmpint(answers, ==, 0);
}

/* An order that is cancelled before its connection is open never arrives. */
static void
test_order_cancelled_at_once(void)
{
    int listener;
    const order_driver_t *driver = find_order_driver(&listener);
    order_t *order = start_order(driver, "ep1");
    size_t size = 0;
    int fd;
    int error;

    driver->cancel(order);
    for (int i = 0; i < 10; i++) {
        run_loop();
    }
    fd = accept_connection(listener);
    if (fd >= 0) {
        size = read_to_end(fd, &error);
        close(fd);
    }
    g_assert_cmpuint(size, ==, 0);
    g_assert_cmpint(answers, ==, 0);
}

/* An order whose connection was established while this process was suspended
 * is not sent any more. */
static void
test_order_after_suspension(void)
{
    int listener;
    const order_driver_t *driver = find_order_driver(&listener);
    size_t size;
    int fd;
    int error;

    start_order(driver, "ep1");
    g_usleep((gulong)(Cbw_POOL_ORDER_TIMEOUT + 50 * Cbw_MSEC));
    fd = accept_connection(listener);
    size = read_to_end(fd, &error);
    g_assert_cmpuint(size, ==, 0);
    g_assert_cmpint(answers, ==, 1);
    g_assert_cmpint(answer, ==, CBW_PROMOTE_LOST);
    close(fd);
}

/* The options under which the kernel discards a part of an order that it holds
 * when the process is killed or suspended. */
static void
test_order_options(void)
{
    int listener;
    const order_driver_t *driver = find_order_driver(&listener);
    order_t *order = start_order(driver, "ep1");
    int fd = accept_connection(listener);
    int other_end = find_other_end(fd);

    check_reset_on_close(other_end);
    check_acknowledge_timeout(other_end);
    driver->cancel(order);
    close(fd);
}

/* Each order has a connection of its own. */
static void
test_order_connections(void)
{
    int listener;
    const order_driver_t *driver = find_order_driver(&listener);

    for (int i = 1; i <= 2; i++) {
        int fd;
        start_order(driver, "ep1");
        fd = accept_connection(listener);
        g_assert_cmpint(fd, >=, 0);
        if (fd < 0) {
            return;
        }
        wait_for_bytes(fd);
        answer_with(fd, i == 1 ? "HTTP/1.1 200 OK\r\n"
                                 "Content-Length: 2\r\n\r\n{}"
                               : "HTTP/1.1 409 Conflict\r\n"
                                 "Content-Length: 2\r\n\r\n{}");
        for (int j = 0; j < ROUNDS_MAX && answers < i; j++) {
            run_loop();
        }
        g_assert_cmpint(answers, ==, i);
        g_assert_cmpint(answer, ==,
                        i == 1 ? CBW_PROMOTE_ACCEPTED : CBW_PROMOTE_REFUSED);
        close(fd);
    }
}

/* Calls to the store. */

static void
on_store_done(store_call_t *call)
{
    answers++;
    store_answer = call->status;
}

static const store_driver_t *
open_store(int *listener)
{
    static const store_events_t events = {.on_done = on_store_done};
    static char address[Cbw_ADDRESS_MAX];
    const store_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_STORE_DRIVER, "kv");
    /* The driver keeps its client, so that it is opened once. */
    static int fd = -1;

    answers = 0;
    if (fd < 0) {
        fd = start_server(address);
        remote.settings.platform_address = address;
        driver->open(&remote, &events);
    }
    *listener = fd;
    return driver;
}

/* A write that is cancelled while TCP holds a part of it never arrives in
 * full. */
static void
test_store_write_cancelled(void)
{
    int listener;
    const store_driver_t *driver = open_store(&listener);
    store_call_t *call = StoreCall_New(STORE_SWAP, "group/g");
    int fd;

    call->value = strdup(large_text);
    driver->call(call);
    fd = accept_connection(listener);
    wait_for_bytes(fd);
    check_acknowledge_timeout(find_other_end(fd));
    driver->cancel(call);
    check_discarded(fd);
    g_assert_cmpint(answers, ==, 0);
    StoreCall_Free(call);
}

/* Calls that are answered share a connection. */
static void
test_store_connections(void)
{
    int listener;
    const store_driver_t *driver = open_store(&listener);
    int fd = -1;

    for (int i = 1; i <= 2; i++) {
        store_call_t *call = StoreCall_New(STORE_DELETE, "group/g");
        driver->call(call);
        if (fd < 0) {
            fd = accept_connection(listener);
        }
        wait_for_bytes(fd);
        while (read(fd, (char[4096]){0}, 4096) > 0) {
        }
        answer_with(fd, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"
                        "{\"revision\":5}");
        for (int j = 0; j < ROUNDS_MAX && answers < i; j++) {
            run_loop();
        }
        g_assert_cmpint(answers, ==, i);
        g_assert_cmpint(store_answer, ==, CBW_STORE_OK);
        StoreCall_Free(call);
    }
    g_assert_false(has_waiting_connection(listener));
    close(fd);
    for (int i = 0; i < 10; i++) {
        run_loop(); /* the driver drops the connection */
    }
}

/* Statements on endpoints. */

static void
on_endpoint_reply(void *context, uint64_t id, const cbw_reply_t *reply)
{
    (void)context;
    (void)id;
    (void)reply;
    answers++;
}

/* Sends a write on a connection that has started, as the last statement of
 * transaction 9 or on its own, and returns the endpoint's end. */
static int
start_write(const endpoint_driver_t *driver, endpoint_link_t *endpoint_link,
            int listener, uint64_t transaction)
{
    const cbw_call_t call = {.id = 1,
                             .verb = CBW_CALL_RUN,
                             .writes = true,
                             .key = "",
                             .statement = large_text,
                             .statement_size = TEXT_SIZE,
                             .transaction = transaction,
                             .begins = transaction != 0,
                             .trace = "t",
                             .values = "",
                             .shape = ""};
    int fd;

    g_assert_true(driver->call(endpoint_link, &call));
    fd = accept_connection(listener);
    wait_for_bytes(fd);
    while (read(fd, (char[4096]){0}, 4096) > 0) {
    }
    answer_with(fd, "READY I -\r\n");
    if (transaction != 0) {
        wait_for_bytes(fd);
        while (read(fd, (char[4096]){0}, 4096) > 0) {
        }
        answer_with(fd, "COMPLETE -\r\nREADY T 1.1\r\n");
    }
    wait_for_bytes(fd);
    return fd;
}

static endpoint_link_t *
open_endpoint(const endpoint_driver_t *driver, int *listener)
{
    static const endpoint_events_t events = {.on_reply = on_endpoint_reply};
    static cbw_endpoint_t endpoint = {.name = "ep1"};

    answers = 0;
    *listener = start_server(endpoint.address);
    return driver->open(&remote, "db", &endpoint, 4, &events, NULL);
}

static void
close_endpoint(const endpoint_driver_t *driver, endpoint_link_t *endpoint_link,
               int listener)
{
    driver->close(endpoint_link);
    close(listener);
    run_loop();
}

/* A write that is aborted while TCP holds a part of it never arrives in
 * full. */
static void
test_write_aborted(void)
{
    const endpoint_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, "wire");
    int listener;
    endpoint_link_t *endpoint_link = open_endpoint(driver, &listener);
    int fd = start_write(driver, endpoint_link, listener, 0);
    int other_end = find_other_end(fd);

    check_reset_on_close(other_end);
    check_acknowledge_timeout(other_end);
    g_assert_true(driver->abort(endpoint_link, 1));
    check_discarded(fd);
    g_assert_cmpint(answers, ==, 0);
    close_endpoint(driver, endpoint_link, listener);
}

/* The same when a transaction ends without its caller. */
static void
test_transaction_ended(void)
{
    const endpoint_driver_t *driver =
        CbwPlugin_Find(CBW_PLUGIN_ENDPOINT_DRIVER, "wire");
    int listener;
    endpoint_link_t *endpoint_link = open_endpoint(driver, &listener);
    int fd = start_write(driver, endpoint_link, listener, 9);

    driver->end_transaction(endpoint_link, 9, false);
    check_discarded(fd);
    g_assert_cmpint(answers, ==, 0);
    close_endpoint(driver, endpoint_link, listener);
}

void
Suite_AddGivenUpCalls(void)
{
    loop = ev_loop_new(0);
    CbwReaper_Start(loop);
    remote.loop = loop;
    large_text = g_strnfill(TEXT_SIZE, 'x');
    g_test_add_func("/given-up-calls/socket-options", test_socket_options);
    g_test_add_func("/given-up-calls/acknowledge-timeout",
                    test_acknowledge_timeout);
    g_test_add_func("/given-up-calls/order-cancelled", test_order_cancelled);
    g_test_add_func("/given-up-calls/order-cancelled-at-once",
                    test_order_cancelled_at_once);
    g_test_add_func("/given-up-calls/order-after-suspension",
                    test_order_after_suspension);
    g_test_add_func("/given-up-calls/order-options", test_order_options);
    g_test_add_func("/given-up-calls/order-connections",
                    test_order_connections);
    g_test_add_func("/given-up-calls/store-write-cancelled",
                    test_store_write_cancelled);
    g_test_add_func("/given-up-calls/store-connections",
                    test_store_connections);
    g_test_add_func("/given-up-calls/write-aborted", test_write_aborted);
    g_test_add_func("/given-up-calls/transaction-ended",
                    test_transaction_ended);
}
