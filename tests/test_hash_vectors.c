#include <glib.h>
#include <string.h>

#include "coordination/placement/placement.h"
#include "state/packet.h"
#include "state/route_table.h"

/* Processes compare these hashes with each other, so that a build for another
 * architecture or with other optimisation must not change them. CMake builds
 * this program at several levels of optimisation. */

#define STACK_FILL_BYTES 512
#define HOST_COUNT 7

struct FlowKeyCase {
    struct GbFlowKey key;
    uint64_t hash;
    uint64_t client_hash;
};

static const struct FlowKeyCase flow_key_cases[] = {
    {{0x64400007, 0xc6120001, 40001, 443},
     UINT64_C(0x41bf082477358fd0),
     UINT64_C(0xaa32e81eb979cbb1)},
    {{0x64400007, 0xc6120001, 40002, 443},
     UINT64_C(0xf02e4a083e83d420),
     UINT64_C(0xaa32e81eb979cbb1)},
    {{0x0a010005, 0xc6120001, 1024, 8443},
     UINT64_C(0x94a79dd31c070f0e),
     UINT64_C(0xa53e88cdf9de385f)},
    {{0xffffffff, 0xffffffff, 65535, 65535},
     UINT64_C(0x0e9a748176145f5f),
     UINT64_C(0xa760cbdc88c34757)},
    {{0, 0, 0, 0}, UINT64_C(0xef6eb604187a17fa), UINT64_C(0xef6eb604187a17fa)},
};

/* Leaves different bytes on the stack below the caller. */
static void __attribute__((noinline)) fill_stack(uint8_t value)
{
    volatile uint8_t bytes[STACK_FILL_BYTES];

    for (size_t i = 0; i < sizeof(bytes); i++) {
        bytes[i] = value;
    }
}

/* Guards against a hash that reads its key before it is written: on arm64 the
 * hash of a copied key depended on earlier contents of the stack. */
static void
test_flow_keys(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(flow_key_cases); i++) {
        const struct FlowKeyCase *row = &flow_key_cases[i];

        for (uint32_t fill = 0; fill <= UINT8_MAX; fill += 51) {
            fill_stack((uint8_t)fill);
            g_assert_cmphex(GbFlowKey_Hash(&row->key), ==, row->hash);
            fill_stack((uint8_t)fill);
            g_assert_cmphex(GbFlowKey_ClientHash(&row->key), ==,
                            row->client_hash);
        }
    }
}

struct NameCase {
    const char *name;
    uint64_t instance_id;
    uint64_t service_id;
};

static const struct NameCase name_cases[] = {
    {"", UINT64_C(0xef46db3751d8e999), UINT64_C(0x18220dec5644b3cb)},
    {"i-1", UINT64_C(0x89e42d62ebe548c3), UINT64_C(0xcfcfb36d43d850f2)},
    {"hint-desk", UINT64_C(0xa252c25fbf63fe74), UINT64_C(0xd6c7c61549d06498)},
    {"servers", UINT64_C(0x3a286052885b9162), UINT64_C(0x52dc923464f398c8)},
    {"a-name-of-more-than-thirty-two-bytes-for-the-long-path-of-the-hash",
     UINT64_C(0xfc58d7a366b556ca), UINT64_C(0xb5665735a12c98d2)},
};

/* Guards against ids of instances and services that differ between
 * processes. */
static void
test_names(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(name_cases); i++) {
        const struct NameCase *row = &name_cases[i];

        g_assert_cmphex(GbInstance_IdOfName(row->name), ==, row->instance_id);
        g_assert_cmphex(GbRouteTable_ServiceId(row->name), ==,
                        row->service_id);
    }
}

struct TagCase {
    uint64_t service_id;
    uint32_t tag;
};

static const struct TagCase tag_cases[] = {
    {0, 0x358fd0},
    {UINT64_C(0xd6c7c61549d06498), 0x95c061},
};

/* Guards against agents that drop the packets of balancers of another build.
 */
static void
test_tags(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(tag_cases); i++) {
        struct GbPacket packet = {.key = flow_key_cases[0].key};

        GbPacket_SetService(&packet, tag_cases[i].service_id);
        g_assert_cmphex(packet.service_tag, ==, tag_cases[i].tag);
    }
}

struct RankCase {
    uint64_t flow_id;
    /* Index of the host of first rank. */
    uint32_t host;
};

static const struct RankCase rank_cases[] = {
    {0, 1},
    {1, 1},
    {UINT64_C(0x0123456789abcdef), 2},
    {UINT64_MAX, 3},
};

/* Guards against balancers that rank the agents of a client differently. */
static void
test_ranks(void)
{
    struct GbInstance hosts[HOST_COUNT];
    const struct GbInstance *pointers[HOST_COUNT];
    struct GbCandidates candidates = {.instances = pointers,
                                      .count = HOST_COUNT};

    memset(hosts, 0, sizeof(hosts));
    for (uint32_t i = 0; i < HOST_COUNT; i++) {
        g_snprintf(hosts[i].name, sizeof(hosts[i].name), "host-%u", i);
        hosts[i].id = GbInstance_IdOfName(hosts[i].name);
        hosts[i].weight = 1;
        pointers[i] = &hosts[i];
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rank_cases); i++) {
        const struct RankCase *row = &rank_cases[i];

        g_assert_true(GbPlacement_InstanceAtRank(&candidates, row->flow_id, 0,
                                                 NULL) == &hosts[row->host]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/hash_vectors/flow_keys", test_flow_keys);
    g_test_add_func("/hash_vectors/names", test_names);
    g_test_add_func("/hash_vectors/tags", test_tags);
    g_test_add_func("/hash_vectors/ranks", test_ranks);
    return g_test_run();
}
