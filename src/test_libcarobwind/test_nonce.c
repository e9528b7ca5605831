#include <glib.h>

#include "carobwind/nonce.h"
#include "suites.h"

#define HERE "10.1.0.8:8782"
/* Two starts of a process, identified by their random numbers. */
#define FORMER UINT64_C(0x1234567887654321)
#define PRESENT UINT64_C(0xfedcba98ffffffff)

typedef struct {
    const char *what;
    const char *address; /* of the owner's process */
    uint64_t random;
    uint64_t id;    /* of the owner in its process */
    int since_last; /* milliseconds since the last order */
    bool ended;
} nonce_case_t;

static const nonce_case_t cases[] = {
    {"a former process", HERE, FORMER, 1, 3000, true},
    {"a former process that has just ended", HERE, FORMER, 1, 2999, false},
    {"an owner of this process that was freed", HERE, PRESENT, 7, 3000, true},
    {"one that was freed just now", HERE, PRESENT, 7, 0, false},
    {"the last owner with a number", HERE, PRESENT, INT32_MAX, 3000, true},
    {"a host of the same name", "10.1.0.9:8782", FORMER, 1, 60000, false},
    {"the same random number elsewhere", "10.1.0.9:8782", PRESENT, 1, 60000,
     false},
    {"another port of this machine", "10.1.0.8:8783", FORMER, 1, 60000, false},
};

static void
test_has_ended(void)
{
    cbw_time_t orders_until = 40 * Cbw_SEC;
    uint64_t own = CbwNonce_New(HERE, PRESENT);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const nonce_case_t *c = &cases[i];
        uint64_t nonce = CbwNonce_New(c->address, c->random) + c->id;
        cbw_time_t now = orders_until + c->since_last * Cbw_MSEC;
        g_test_message("%s", c->what);
        g_assert_cmpint(CbwNonce_HasEnded(nonce, own, now, orders_until), ==,
                        c->ended);
    }
}

/* Owners of two starts at one address have different nonces, and none has
 * nonce 0, which the tenure record reserves for no holder. */
static void
test_unique(void)
{
    g_assert_cmpuint(CbwNonce_New(HERE, FORMER) + 1, !=,
                     CbwNonce_New(HERE, PRESENT) + 1);
    g_assert_cmpuint(CbwNonce_New(HERE, 0) + 1, !=, 0);
}

void
Suite_AddNonce(void)
{
    g_test_add_func("/nonce/has-ended", test_has_ended);
    g_test_add_func("/nonce/unique", test_unique);
}
