#include <glib.h>
#include <string.h>

#include "coordination/flows/view_gossip.h"
#include "protocol/view_delta.h"

/* Processes of one site today, and of a grown one. */
#define NODES 16
#define NODES_MAX 100
#define READERS 3
#define FIRST_IPV4 0x0a010001U
#define STEP_US 10000
#define MS 1000
#define SECOND 1000000
#define SEED 11
/* A reader hears of a change at once, and of no change once a second. */
#define WATCH_US SECOND

struct World;

struct Node {
    struct GbViewGossipPort port;
    struct World *world;
    struct GbViewStore keeper;
    struct GbViewGossip spread;
    uint32_t ipv4;
    bool is_reading;
    bool is_cut_from_platform;
    /* The platform has told this process revisions without their routes. */
    bool has_no_routes_news;
    int64_t answered_us;
    uint64_t calls;
};

/* Processes that exchange views in memory, and a platform with one routes
 * version at each revision. */
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
        GbViewGossip_ReceiveAnnouncement(&peer->spread, node->ipv4, version,
                                         age_ms);
    }
}

static void
do_pull(struct GbViewGossipPort *port, uint32_t peer_ipv4)
{
    struct Node *node = (struct Node *)port;
    struct Node *peer = find_node(node->world, peer_ipv4);
    struct GbViewVersion own = GbViewStore_Version(&node->keeper);
    GByteArray *delta = GbViewDelta_Encode(&peer->keeper, &own);

    g_assert_cmpint(GbViewDelta_Apply(&node->keeper, delta->data, delta->len),
                    ==, GB_PROTOCOL_OK);
    g_byte_array_free(delta, TRUE);
    GbViewGossip_FinishPull(&node->spread);
    GbViewGossip_AnnounceChange(&node->spread);
}

static void
do_read(struct GbViewGossipPort *port, bool is_wanted)
{
    struct Node *node = (struct Node *)port;

    node->is_reading = is_wanted;
    node->answered_us = node->world->clock.monotonic_us - WATCH_US;
}

static const struct GbViewGossipPortClass port_class = {
    .announce = deliver_announce,
    .pull = do_pull,
    .read_platform = do_read,
};

static void
give_all(struct Node *node)
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
    GbViewStore_SetInstances(&node->keeper, list);
    GbInstanceList_Unref(list);
    if (!node->has_no_routes_news) {
        struct GbRoute route = {.service_id = 1};
        struct GbRouteTable *routes =
            GbRouteTable_New(world->routes_version, 0, &route, 1);

        GbViewStore_SetRoutes(&node->keeper, routes);
        GbRouteTable_Unref(routes);
    }
}

static void
read_platform(struct Node *node)
{
    struct World *world = node->world;
    int64_t now_us = world->clock.monotonic_us;

    if (!node->is_reading || node->is_cut_from_platform ||
        world->is_platform_down) {
        return;
    }
    if (node->keeper.revision < world->revision ||
        now_us - node->answered_us >= WATCH_US) {
        node->answered_us = now_us;
        node->calls++;
        give_all(node);
        GbViewGossip_RecordConfirmation(&node->spread);
        GbViewGossip_AnnounceChange(&node->spread);
    }
}

static void
advance(struct World *world, int64_t time_us)
{
    for (int64_t at_us = 0; at_us < time_us; at_us += STEP_US) {
        GbManualClock_Advance(&world->clock, STEP_US);
        for (uint32_t i = 0; i < world->node_count; i++) {
            GbViewGossip_Tick(&world->nodes[i].spread);
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
        GbViewStore_Init(&node->keeper, &world->clock.super);
        GbViewGossip_Init(&node->spread, &config, &node->port, &node->keeper,
                          &world->clock.super, &world->random.super);
        for (uint32_t seed = 0; seed < READERS; seed++) {
            GbViewGossip_AddPeer(&node->spread, FIRST_IPV4 + seed);
        }
    }
    advance(world, 3 * (int64_t)SECOND);
}

static void
finish_world(struct World *world)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        GbViewStore_Finish(&world->nodes[i].keeper);
    }
}

static uint32_t
count_current(const struct World *world)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < world->node_count; i++) {
        struct GbViewVersion version =
            GbViewStore_Version(&world->nodes[i].keeper);

        count += version.revision == world->revision &&
                 version.routes_version == world->routes_version;
    }
    return count;
}

struct FaultCase {
    const char *name;
    /* Processes 0 to cut_count - 1 are cut off from the platform. */
    uint32_t cut_count;
    /* Process 0 learns revisions but not their routes for a while. */
    bool is_first_without_routes;
    int64_t within_us;
};

static const struct FaultCase fault_cases[] = {
    {"nothing fails", 0, false, 600 * MS},
    {"one reader cut off", 1, false, 1000 * MS},
    {"all readers cut off", READERS, false, 2500 * MS},
    {"most processes cut off", NODES - 1, false, 3000 * MS},
    {"a reader has the list before the routes", 0, true, 1000 * MS},
};

/* Fault pattern: a change while some processes, the readers among them, can't
 * reach the platform. Guards against processes in touch that keep an old
 * view for longer than 3 s. */
static void
test_change_reaches_all(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        const struct FaultCase *row = &fault_cases[i];
        static struct World world;

        g_test_message("%s", row->name);
        init_world(&world, NODES);
        g_assert_cmpuint(count_current(&world), ==, NODES);
        for (uint32_t at = 0; at < row->cut_count; at++) {
            world.nodes[at].is_cut_from_platform = true;
        }
        world.nodes[0].has_no_routes_news = row->is_first_without_routes;
        world.revision++;
        world.routes_version++;
        advance(&world, 100 * MS);
        world.nodes[0].has_no_routes_news = false;
        advance(&world, row->within_us - 100 * MS);
        g_assert_cmpuint(count_current(&world), ==, NODES);
        finish_world(&world);
    }
}

struct CalmCase {
    const char *name;
    uint32_t node_count;
};

static const struct CalmCase calm_cases[] = {
    {"site of today", NODES},
    {"grown site", NODES_MAX},
};

/* Guards against processes that read from the platform although others have
 * just done so: in a large fleet word of it took longer than they wait. */
static void
test_only_readers_read_when_calm(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(calm_cases); i++) {
        static struct World world;
        uint64_t calls = 0;

        g_test_message("%s", calm_cases[i].name);
        init_world(&world, calm_cases[i].node_count);
        for (uint32_t at = 0; at < world.node_count; at++) {
            world.nodes[at].calls = 0;
        }
        advance(&world, 20 * (int64_t)SECOND);
        for (uint32_t at = READERS; at < world.node_count; at++) {
            calls += world.nodes[at].calls;
        }
        g_test_message("calls of others %u", (unsigned)calls);
        g_assert_cmpuint(calls, <=, 20);
        finish_world(&world);
    }
}

/* Fault pattern: the platform is away. Guards against a version that goes
 * back, and against a process that does not read again afterwards. */
static void
test_platform_away_and_back(void)
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
    g_test_add_func("/view-spread/change-reaches-all",
                    test_change_reaches_all);
    g_test_add_func("/view-spread/only-readers-read-when-calm",
                    test_only_readers_read_when_calm);
    g_test_add_func("/view-spread/platform-away-and-back",
                    test_platform_away_and_back);
    return g_test_run();
}
