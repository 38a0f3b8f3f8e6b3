#include "state/address.h"

#include <glib.h>

struct ParseCase {
    const char *text;
    uint32_t ipv4;
    uint16_t port;
    bool is_valid;
};

static const struct ParseCase parse_cases[] = {
    {"127.0.0.1:0", 0x7f000001, 0, true},
    {"0.0.0.0:1", 0, 1, true},
    {"255.255.255.255:65535", 0xffffffff, 65535, true},
    {"10.1.2.3:9000", 0x0a010203, 9000, true},
    {"", 0, 0, false},
    {":", 0, 0, false},
    {"10.1.2.3", 0, 0, false},
    {"10.1.2.3:", 0, 0, false},
    {":9000", 0, 0, false},
    {"10.1.2.3:65536", 0, 0, false},
    {"10.1.2.3:99999999999999999999", 0, 0, false},
    {"10.1.2.3:-1", 0, 0, false},
    {"10.1.2.3:+1", 0, 0, false},
    {"10.1.2.3: 1", 0, 0, false},
    {"10.1.2.3:1 ", 0, 0, false},
    {"10.1.2.3:1:2", 0, 0, false},
    {"10.1.2:9000", 0, 0, false},
    {"10.1.2.256:9000", 0, 0, false},
    {" 10.1.2.3:9000", 0, 0, false},
    {"localhost:9000", 0, 0, false},
    {"[::1]:9000", 0, 0, false},
    {"10.1.2.3.4.5.6.7.8.9.10.11.12:9000", 0, 0, false},
};

/* Guards against a mistyped address that is partly accepted, and against an
 * address that changes when it is formatted and parsed again. */
static void
test_parse(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(parse_cases); i++) {
        const struct ParseCase *row = &parse_cases[i];
        static const struct GbAddress untouched = {1, 2};
        struct GbAddress address = untouched;
        char text[GB_ADDRESS_TEXT_BYTES];

        g_test_message("\"%s\"", row->text);
        g_assert_true(GbAddress_Parse(&address, row->text) == row->is_valid);
        if (!row->is_valid) {
            g_assert_true(GbAddress_Equal(&address, &untouched));
            continue;
        }
        g_assert_cmphex(address.ipv4, ==, row->ipv4);
        g_assert_cmpuint(address.port, ==, row->port);
        g_assert_cmpstr(GbAddress_Format(&address, text), ==, row->text);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/address/parse", test_parse);
    return g_test_run();
}
