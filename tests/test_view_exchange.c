#include <glib.h>
#include <string.h>

#include "protocol/view_delta.h"
#include "support/loopback.h"
#include "transport/event_base.h"
#include "transport/view_exchange.h"

#define SENDER_IPV4 LOOPBACK_IPV4
#define RECEIVER_IPV4 (LOOPBACK_IPV4 + 1)
#define ROUND_US 5000
#define ROUNDS_MAX 400

/* Process with a view and an exchange of it. */
struct Node {
    struct GbViewGossipPort port;
    struct GbViewExchangeListener listener;
    struct GbViewExchange exchange;
    struct GbViewStore store;
    struct GbViewGossip gossip;
    struct GbSystemClock clock;
    struct GbSeededRandom random;
    struct GbCounters counters;
    uint32_t pulls;
    uint32_t updates;
};

/* Process of before the format numbers, which pulls from a node. */
struct OldProcess {
    struct GbPeerReplyHandler handler;
    struct GbPeerClient client;
    struct GbViewStore store;
    struct GbSystemClock clock;
    struct GbKeys keys;
    struct GbCounters counters;
    bool is_done;
};

static void
ignore_announce(struct GbViewGossipPort *port, uint32_t peer_ipv4,
                const struct GbViewVersion *version, uint32_t age_ms)
{
    (void)port;
    (void)peer_ipv4;
    (void)version;
    (void)age_ms;
}

static void
start_pull(struct GbViewGossipPort *port, uint32_t peer_ipv4)
{
    struct Node *node = (struct Node *)port;

    node->pulls++;
    GbViewExchange_Pull(&node->exchange, peer_ipv4);
}

static void
ignore_reading(struct GbViewGossipPort *port, bool is_wanted)
{
    (void)port;
    (void)is_wanted;
}

static const struct GbViewGossipPortClass port_class = {
    .announce = ignore_announce,
    .pull = start_pull,
    .read_platform = ignore_reading,
};

static void
count_update(struct GbViewExchangeListener *listener, uint32_t peer_ipv4)
{
    struct Node *node =
        (struct Node *)((char *)listener - offsetof(struct Node, listener));

    (void)peer_ipv4;
    node->updates++;
}

static void
open_node(struct Node *node, const struct GbAddress *address,
          struct event_base *base)
{
    struct GbViewGossipConfig config = {.own_ipv4 = address->ipv4};

    memset(node, 0, sizeof(*node));
    node->port.klass = &port_class;
    node->listener.view_updated = count_update;
    GbSystemClock_Init(&node->clock);
    GbSeededRandom_Init(&node->random, 1);
    GbViewStore_Init(&node->store, &node->clock.super);
    GbViewGossip_Init(&node->gossip, &config, &node->port, &node->store,
                      &node->clock.super, &node->random.super);
    g_assert_cmpint(GbViewExchange_Open(
                        &node->exchange, address, base, &node->store,
                        &node->gossip, &node->listener, &node->counters, NULL),
                    ==, GB_TRANSPORT_OK);
}

static void
close_node(struct Node *node)
{
    GbViewExchange_Close(&node->exchange);
    GbViewStore_Finish(&node->store);
}

/* Fills a view of revision 10 with routes of version 3. */
static void
fill_store(struct GbViewStore *store, bool is_reduced)
{
    struct GbRoute route = {.service_id = 1};
    struct GbServiceSettings service = {1, 2000, 1500};
    struct GbRouteTable *routes = GbRouteTable_New(3, 0, &route, 1);
    struct GbInstanceList *list = GbInstanceList_New();

    list->version = 10;
    if (!is_reduced) {
        GbRouteTable_SetServices(routes, &service, 1);
        GbEvacuations_Order(&store->evacuations, "a", 9);
    }
    GbViewStore_SetRoutes(store, routes);
    GbViewStore_SetInstances(store, list);
    GbViewStore_SetReduced(store, is_reduced);
    GbInstanceList_Unref(list);
    GbRouteTable_Unref(routes);
}

static uint16_t
free_port(void)
{
    struct event_base *base = GbEventBase_New();
    struct GbPeerServer server;
    struct GbAddress any = {SENDER_IPV4, 0};
    static const struct GbKeys keys;
    struct GbCounters counters;
    uint16_t port;

    g_assert_cmpint(
        GbPeerServer_Open(&server, &any, base, NULL, &keys, &counters, NULL),
        ==, GB_TRANSPORT_OK);
    port = GbPeerServer_Port(&server);
    GbPeerServer_Close(&server);
    event_base_free(base);
    return port;
}

static void
run_round(struct event_base *base)
{
    static const struct timeval round = {0, ROUND_US};

    event_base_loopexit(base, &round);
    event_base_dispatch(base);
}

/* YOUNG: whole, but read from the platform a moment ago. */
enum View { EMPTY, REDUCED, YOUNG, WHOLE };

struct ExchangeCase {
    const char *name;
    enum View sender;
    enum View receiver;
    /* Expected of the receiver after two announcements of the sender. */
    uint32_t pulls;
    uint32_t updates;
    bool is_whole;
};

static const struct ExchangeCase exchange_cases[] = {
    {"first view", WHOLE, EMPTY, 1, 1, true},
    {"rest of a reduced view", WHOLE, REDUCED, 1, 1, true},
    {"both reduced", REDUCED, REDUCED, 1, 0, false},
    {"nothing new", WHOLE, WHOLE, 0, 0, true},
    {"history of the routes", WHOLE, YOUNG, 1, 1, true},
    {"history of a process that has started lately", YOUNG, YOUNG, 1, 1, true},
};

static void
fill_as(struct Node *node, enum View view)
{
    if (view != EMPTY) {
        fill_store(&node->store, view == REDUCED);
    }
    if (view != EMPTY && view != YOUNG) {
        node->store.history.complete_from_us = INT64_MIN / 2;
    }
}

static void
announce(struct Node *receiver, struct event_base *base)
{
    static const struct GbViewVersion version = {10, 3};

    GbViewGossip_ReceiveAnnouncement(&receiver->gossip, SENDER_IPV4, &version,
                                     0);
    for (uint32_t i = 0;
         i < ROUNDS_MAX && receiver->gossip.pull_peer_ipv4 != 0; i++) {
        run_round(base);
    }
}

/* Guards against a process that never gets the evacuations which an old peer
 * left out, and against one that pulls with each announcement. */
static void
test_exchange(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(exchange_cases); i++) {
        const struct ExchangeCase *row = &exchange_cases[i];
        struct GbAddress addresses[2] = {{SENDER_IPV4, free_port()},
                                         {RECEIVER_IPV4, 0}};
        struct event_base *base = GbEventBase_New();
        struct Node sender;
        struct Node receiver;

        g_test_message("%s", row->name);
        addresses[1].port = addresses[0].port;
        open_node(&sender, &addresses[0], base);
        open_node(&receiver, &addresses[1], base);
        fill_as(&sender, row->sender);
        fill_as(&receiver, row->receiver);
        announce(&receiver, base);
        announce(&receiver, base);
        g_assert_cmpuint(receiver.pulls, ==, row->pulls);
        g_assert_cmpuint(receiver.updates, ==, row->updates);
        g_assert_true(GbViewStore_IsDetailed(&receiver.store) ==
                      row->is_whole);
        g_assert_true(GbEvacuations_Find(&receiver.store.evacuations, "a") !=
                          NULL ||
                      !row->is_whole);
        g_assert_cmpuint(receiver.store.routes->service_count, ==,
                         row->is_whole ? 1 : 0);
        close_node(&receiver);
        close_node(&sender);
        event_base_free(base);
    }
}

static void
apply_to_old(struct GbPeerReplyHandler *handler, const struct GbFrame *frame)
{
    struct OldProcess *old = (struct OldProcess *)handler;

    old->is_done = true;
    g_assert_nonnull(frame);
    g_assert_cmpint(frame->kind, ==, GB_FRAME_DOCUMENT);
    g_assert_cmpint(GbViewDelta_Apply(&old->store, frame->document.data,
                                      frame->document.size_bytes),
                    ==, GB_PROTOCOL_OK);
}

/* A process of before the format numbers pulls after one of today has, whose
 * answer is cached. Guards against an answer that the old one rejects. */
static void
test_pull_of_old_process(void)
{
    static const struct GbDocumentHead unknown = {.revision = 0};
    struct GbAddress addresses[2] = {{SENDER_IPV4, free_port()},
                                     {RECEIVER_IPV4, 0}};
    struct event_base *base = GbEventBase_New();
    struct OldProcess old = {.handler.completed = apply_to_old};
    struct Node sender;
    struct Node receiver;

    addresses[1].port = addresses[0].port;
    open_node(&sender, &addresses[0], base);
    open_node(&receiver, &addresses[1], base);
    fill_store(&sender.store, false);
    announce(&receiver, base);
    GbSystemClock_Init(&old.clock);
    GbViewStore_Init(&old.store, &old.clock.super);
    GbPeerClient_Init(&old.client, base, &old.keys, &old.handler,
                      &old.counters);
    GbPeerClient_Pull(&old.client, &addresses[0], &unknown);
    for (uint32_t i = 0; i < ROUNDS_MAX && !old.is_done; i++) {
        run_round(base);
    }
    g_assert_true(old.is_done);
    /* The basic format. */
    g_assert_true(old.store.is_reduced);
    g_assert_cmpuint(old.store.revision, ==, 10);
    g_assert_cmpuint(old.store.routes->version, ==, 3);
    GbPeerClient_CancelPull(&old.client);
    GbViewStore_Finish(&old.store);
    close_node(&receiver);
    close_node(&sender);
    event_base_free(base);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-exchange/exchange", test_exchange);
    g_test_add_func("/view-exchange/pull-of-old-process",
                    test_pull_of_old_process);
    return g_test_run();
}
