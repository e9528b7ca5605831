#include <glib.h>
#include <string.h>

#include "carobwind/traffic.h"
#include "suites.h"

/* The metrics distinguish kinds, directions and places, and omit series
 * without counts: a mix-up would mislead a search for the cause of traffic. */
static void
test_format(void)
{
    static const char *const kinds[Cbw_TRAFFIC_KINDS] = {[1] = "probe"};
    static const char *const verbs[Cbw_TRAFFIC_VERBS] = {[2] = "watch"};
    cbw_traffic_t traffic = {0};
    char text[2048];
    size_t length;

    CbwTraffic_Add(&traffic, 1, CBW_TRAFFIC_SENT, CBW_TRAFFIC_INSIDE, 100);
    CbwTraffic_Add(&traffic, 1, CBW_TRAFFIC_SENT, CBW_TRAFFIC_INSIDE, 20);
    CbwTraffic_Add(&traffic, 1, CBW_TRAFFIC_RECEIVED, CBW_TRAFFIC_OUTSIDE, 7);
    CbwTraffic_Add(&traffic, 5, CBW_TRAFFIC_SENT, CBW_TRAFFIC_OUTSIDE, 3);
    CbwTraffic_Add(&traffic, 999, CBW_TRAFFIC_SENT, CBW_TRAFFIC_OUTSIDE, 3);
    CbwTraffic_AddStoreCall(&traffic, 2);
    CbwTraffic_AddStoreCall(&traffic, 999);
    g_assert_cmpuint(CbwTraffic_Sum(&traffic, 1).bytes, ==, 127);
    g_assert_cmpuint(CbwTraffic_Sum(&traffic, 1).messages, ==, 3);
    length = CbwTraffic_Format(&traffic, kinds, verbs, text, sizeof(text));
    g_assert_cmpuint(length, ==, strlen(text));
    g_assert_nonnull(
        strstr(text, "carobwind_peer_bytes_by_kind_total{kind=\"probe\","
                     "direction=\"sent\",place=\"inside\"} 120\n"));
    g_assert_nonnull(
        strstr(text, "carobwind_peer_messages_by_kind_total{kind=\"probe\","
                     "direction=\"received\",place=\"outside\"} 1\n"));
    g_assert_nonnull(strstr(text, "{kind=\"5\","));
    g_assert_null(strstr(text, "direction=\"sent\",place=\"outside\"} 0"));
    g_assert_nonnull(strstr(
        text, "carobwind_store_calls_by_verb_total{verb=\"watch\"} 1\n"));
    length = CbwTraffic_Format(&traffic, kinds, verbs, text, 40);
    g_assert_cmpuint(length, ==, 39);
    g_assert_cmpuint(strlen(text), ==, 39);
}

void
Suite_AddTraffic(void)
{
    g_test_add_func("/traffic/format", test_format);
}
