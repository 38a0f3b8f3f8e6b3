#include <glib.h>
#include <string.h>

#include "coordination/flows/view_gossip.h"
#include "protocol/view_delta.h"

/* Processes of a site of today's size, and of a large one. */
#define NODES 16
#define NODES_MAX 100
#define READERS 3
#define FIRST_IPV4 0x0a010001U
#define STEP_US 10000
#define MS 1000
#define SECOND 1000000
#define SEED 11
/* The platform responds to a reader at once after a change, and once a second
 * otherwise. */
#define WATCH_US SECOND

struct World;

struct Node {
    struct GbViewGossipPort port;
    struct World *world;
    struct GbViewStore store;
    struct GbViewGossip gossip;
    uint32_t ipv4;
    bool is_reading;
    bool is_platform_unreachable;
    /* The platform sends this process new revisions but not their routes. */
    bool lacks_new_routes;
    int64_t last_response_us;
    uint64_t calls;
};

/* Processes that exchange views in memory, and a platform with one version of
 * the routes for each revision. */
struct World {
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct Node nodes[NODES_MAX];
    uint32_t node_count;
    uint64_t revision;
    uint64_t routes_version;
    bool is_platform_down;
};

static struct Node *
find_node(struct World *world, uint32_t ipv4)
{
    uint32_t at = ipv4 - FIRST_IPV4;

    return at < world->node_count ? &world->nodes[at] : NULL;
}

static void
deliver_announce(struct GbViewGossipPort *port, uint32_t peer_ipv4,
                 const struct GbViewVersion *version, uint32_t age_ms)
{
    struct Node *node = (struct Node *)port;
    struct Node *peer = find_node(node->world, peer_ipv4);

    if (peer != NULL && peer != node) {
        GbViewGossip_ReceiveAnnouncement(&peer->gossip, node->ipv4, version,
                                         age_ms);
    }
}

static void
pull_delta(struct GbViewGossipPort *port, uint32_t peer_ipv4)
{
    struct Node *node = (struct Node *)port;
    struct Node *peer = find_node(node->world, peer_ipv4);
    struct GbViewVersion own = GbViewStore_Version(&node->store);
    GByteArray *delta = GbViewDelta_Encode(&peer->store, &own);

    g_assert_cmpint(GbViewDelta_Apply(&node->store, delta->data, delta->len),
                    ==, GB_PROTOCOL_OK);
    g_byte_array_free(delta, TRUE);
    GbViewGossip_FinishPull(&node->gossip);
    GbViewGossip_AnnounceChange(&node->gossip);
}

static void
set_reading(struct GbViewGossipPort *port, bool is_wanted)
{
    struct Node *node = (struct Node *)port;

    node->is_reading = is_wanted;
    node->last_response_us = node->world->clock.monotonic_us - WATCH_US;
}

static const struct GbViewGossipPortClass port_class = {
    .announce = deliver_announce,
    .pull = pull_delta,
    .read_platform = set_reading,
};

static void
apply_platform_state(struct Node *node)
{
    struct World *world = node->world;
    struct GbInstanceList *list = GbInstanceList_New();

    list->version = world->revision;
    list->count = world->node_count;
    list->instances = g_new0(struct GbInstance, world->node_count);
    for (uint32_t i = 0; i < world->node_count; i++) {
        struct GbInstance *instance = &list->instances[i];

        g_snprintf(instance->name, GB_NAME_BYTES, "i-%u", i);
        instance->id = GbInstance_IdOfName(instance->name);
        instance->role = GB_ROLE_AGENT;
        g_strlcpy(instance->service, "hints", GB_NAME_BYTES);
        instance->service_id = GbRouteTable_ServiceId(instance->service);
        instance->address.ipv4 = FIRST_IPV4 + i;
        instance->weight = 2;
    }
    GbViewStore_SetInstances(&node->store, list);
    GbInstanceList_Unref(list);
    if (!node->lacks_new_routes) {
        struct GbRoute route = {.service_id = 1};
        struct GbRouteTable *routes =
            GbRouteTable_New(world->routes_version, 0, &route, 1);

        GbViewStore_SetRoutes(&node->store, routes);
        GbRouteTable_Unref(routes);
    }
}

static void
read_platform(struct Node *node)
{
    struct World *world = node->world;
    int64_t now_us = world->clock.monotonic_us;

    if (!node->is_reading || node->is_platform_unreachable ||
        world->is_platform_down) {
        return;
    }
    if (node->store.revision < world->revision ||
        now_us - node->last_response_us >= WATCH_US) {
        node->last_response_us = now_us;
        node->calls++;
        apply_platform_state(node);
        GbViewGossip_RecordConfirmation(&node->gossip);
        GbViewGossip_AnnounceChange(&node->gossip);
    }
}

static void
advance(struct World *world, int64_t time_us)
{
    for (int64_t at_us = 0; at_us < time_us; at_us += STEP_US) {
        GbManualClock_Advance(&world->clock, STEP_US);
        for (uint32_t i = 0; i < world->node_count; i++) {
            GbViewGossip_Tick(&world->nodes[i].gossip);
            read_platform(&world->nodes[i]);
        }
    }
}

static void
init_world(struct World *world, uint32_t node_count)
{
    memset(world, 0, sizeof(*world));
    world->node_count = node_count;
    GbManualClock_Init(&world->clock, 100 * (int64_t)SECOND, 0);
    GbSeededRandom_Init(&world->random, SEED);
    world->revision = 10;
    world->routes_version = 1;
    for (uint32_t i = 0; i < node_count; i++) {
        struct Node *node = &world->nodes[i];
        struct GbViewGossipConfig config = {.own_ipv4 = FIRST_IPV4 + i,
                                            .is_reader = i < READERS};

        node->port.klass = &port_class;
        node->world = world;
        node->ipv4 = config.own_ipv4;
        GbViewStore_Init(&node->store, &world->clock.super);
        GbViewGossip_Init(&node->gossip, &config, &node->port, &node->store,
                          &world->clock.super, &world->random.super);
        for (uint32_t seed = 0; seed < READERS; seed++) {
            GbViewGossip_AddPeer(&node->gossip, FIRST_IPV4 + seed);
        }
    }
    advance(world, 3 * (int64_t)SECOND);
}

static void
finish_world(struct World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        GbViewStore_Finish(&world->nodes[i].store);
    }
}

static uint32_t
count_current(const struct World *world)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < world->node_count; i++) {
        struct GbViewVersion version =
            GbViewStore_Version(&world->nodes[i].store);

        count += version.revision == world->revision &&
                 version.routes_version == world->routes_version;
    }
    return count;
}

struct FaultCase {
    const char *name;
    /* Processes 0 to unreachable_count - 1 cannot reach the platform. */
    uint32_t unreachable_count;
    /* Process 0 receives new revisions without their routes for 100 ms. */
    bool does_first_lack_routes;
    int64_t within_us;
};

static const struct FaultCase fault_cases[] = {
    {"nothing fails", 0, false, 600 * MS},
    {"one reader cut off", 1, false, 1000 * MS},
    {"all readers cut off", READERS, false, 2500 * MS},
    {"most processes cut off", NODES - 1, false, 3000 * MS},
    {"a reader has the list before the routes", 0, true, 1000 * MS},
};

/* Fault pattern: a change while some processes, including readers, cannot
 * reach the platform. Guards against connected processes that keep an old view
 * for longer than 3 s. */
static void
test_change_reaches_all(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        const struct FaultCase *row = &fault_cases[i];
        static struct World world;

        g_test_message("%s", row->name);
        init_world(&world, NODES);
        g_assert_cmpuint(count_current(&world), ==, NODES);
        for (uint32_t at = 0; at < row->unreachable_count; at++) {
            world.nodes[at].is_platform_unreachable = true;
        }
        world.nodes[0].lacks_new_routes = row->does_first_lack_routes;
        world.revision++;
        world.routes_version++;
        advance(&world, 100 * MS);
        world.nodes[0].lacks_new_routes = false;
        advance(&world, row->within_us - 100 * MS);
        g_assert_cmpuint(count_current(&world), ==, NODES);
        finish_world(&world);
    }
}

struct SizeCase {
    const char *name;
    uint32_t node_count;
};

static const struct SizeCase size_cases[] = {
    {"site of today's size", NODES},
    {"large site", NODES_MAX},
};

/* Guards against processes that read from the platform although the readers
 * have just done so: in a large fleet, announcements took longer to arrive
 * than the processes waited for them. */
static void
test_only_readers_read_without_changes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(size_cases); i++) {
        static struct World world;
        uint64_t calls = 0;

        g_test_message("%s", size_cases[i].name);
        init_world(&world, size_cases[i].node_count);
        for (uint32_t at = 0; at < world.node_count; at++) {
            world.nodes[at].calls = 0;
        }
        advance(&world, 20 * (int64_t)SECOND);
        for (uint32_t at = READERS; at < world.node_count; at++) {
            calls += world.nodes[at].calls;
        }
        g_test_message("calls of non-readers %u", (unsigned)calls);
        g_assert_cmpuint(calls, <=, 20);
        finish_world(&world);
    }
}

/* Fault pattern: the platform is unreachable for a while. Guards against a
 * version that decreases, and against processes that do not read again
 * afterwards. */
static void
test_platform_outage(void)
{
    static struct World world;

    init_world(&world, NODES);
    world.is_platform_down = true;
    advance(&world, 5 * (int64_t)SECOND);
    g_assert_cmpuint(count_current(&world), ==, NODES);
    world.revision++;
    world.routes_version++;
    world.is_platform_down = false;
    advance(&world, SECOND);
    g_assert_cmpuint(count_current(&world), ==, NODES);
    finish_world(&world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-gossip/change-reaches-all",
                    test_change_reaches_all);
    g_test_add_func("/view-gossip/only-readers-read-without-changes",
                    test_only_readers_read_without_changes);
    g_test_add_func("/view-gossip/platform-outage", test_platform_outage);
    return g_test_run();
}
