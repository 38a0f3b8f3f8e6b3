#include <glib.h>

#include "coordination/flows/view_gossip.h"
#include "protocol/view_delta.h"

#define SECOND INT64_C(1000000)
#define KEPT_SERVICE 1
#define FORMER_SERVICE 2
#define PEER_IPV4 7

static const struct GbAddress address = {0xc6120001, 443};

static void
set_routes(struct GbViewStore *store, uint64_t version, bool has_former)
{
    struct GbRoute route = {
        .address = address,
        .service_id = KEPT_SERVICE,
        .backends = {{KEPT_SERVICE, 1}, {FORMER_SERVICE, 1}},
        .backend_count = has_former ? 2 : 1};
    struct GbRouteTable *routes = GbRouteTable_New(version, 0, &route, 1);

    GbViewStore_SetRoutes(store, routes);
    GbRouteTable_Unref(routes);
}

struct DeltaCase {
    const char *name;
    /* Version of the routes that the receiver has read from the platform; 0 if
     * it has none. */
    uint64_t receiver_version;
    uint32_t format;
    /* Time for which the sender has run before the change. */
    int64_t sender_age_us;
    bool has_former;
    bool is_complete;
};

/* The sender has version 5, without a backend that version 4 had. */
static const struct DeltaCase delta_cases[] = {
    {"process without routes", 0, GB_VIEW_DELTA_FORMAT, 70 * SECOND, true,
     true},
    {"process that has read the platform", 5, GB_VIEW_DELTA_FORMAT,
     70 * SECOND, true, true},
    {"process with an older version", 4, GB_VIEW_DELTA_FORMAT, 70 * SECOND,
     true, true},
    {"process with a newer version", 6, GB_VIEW_DELTA_FORMAT, 70 * SECOND,
     true, false},
    {"sender that has started lately", 5, GB_VIEW_DELTA_FORMAT, 20 * SECOND,
     true, false},
    {"old format", 5, GB_VIEW_DELTA_FORMAT_BASIC, 70 * SECOND, false, false},
};

/* Fault pattern: a route loses a backend, and a process is restarted. Guards
 * against a process that does not learn from its peers that agents of the
 * former backend may own open flows of the route. */
static void
test_peer_sends_history(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(delta_cases); i++) {
        const struct DeltaCase *row = &delta_cases[i];
        struct GbManualClock clock;
        struct GbViewStore sender;
        struct GbViewStore receiver;
        struct GbViewDeltaRequest request = {.format = row->format,
                                             .needs_history = true};
        GByteArray *delta;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, 1000 * SECOND, 0);
        GbViewStore_Init(&sender, &clock.super);
        GbViewStore_Init(&receiver, &clock.super);
        set_routes(&sender, 4, true);
        GbManualClock_Advance(&clock, row->sender_age_us);
        set_routes(&sender, 5, false);
        GbManualClock_Advance(&clock, 10 * SECOND);
        if (row->receiver_version != 0) {
            set_routes(&receiver, row->receiver_version,
                       row->receiver_version < 5);
        }
        request.since = GbViewStore_Version(&receiver);
        delta = GbViewDelta_Encode(&sender, &request);
        g_assert_cmpint(GbViewDelta_Apply(&receiver, delta->data, delta->len),
                        ==, GB_PROTOCOL_OK);
        g_assert_true(GbRouteHistory_HasFormer(
                          &receiver.history, &address, FORMER_SERVICE,
                          clock.monotonic_us) == row->has_former);
        g_assert_true(GbViewStore_NeedsHistory(&receiver) ==
                      !row->is_complete);
        GbManualClock_Advance(&clock, 60 * SECOND);
        g_assert_false(GbRouteHistory_HasFormer(
            &receiver.history, &address, FORMER_SERVICE, clock.monotonic_us));
        g_byte_array_free(delta, TRUE);
        GbViewStore_Finish(&sender);
        GbViewStore_Finish(&receiver);
    }
}

/* Guards against a process that stays without the former backends which its
 * peers know, because each has seen a part of the last 60 s only. */
static void
test_several_peers_know_a_part(void)
{
    struct GbViewDeltaRequest request = {.format = GB_VIEW_DELTA_FORMAT,
                                         .needs_history = true};
    struct GbManualClock clock;
    struct GbViewStore senders[2];
    struct GbViewStore receiver;

    GbManualClock_Init(&clock, 1000 * SECOND, 0);
    GbViewStore_Init(&receiver, &clock.super);
    for (uint32_t i = 0; i < G_N_ELEMENTS(senders); i++) {
        GbViewStore_Init(&senders[i], &clock.super);
    }
    set_routes(&senders[0], 4, true);
    set_routes(&senders[0], 5, false);
    GbManualClock_Advance(&clock, 10 * SECOND);
    set_routes(&senders[1], 5, false);
    set_routes(&receiver, 5, false);
    for (uint32_t i = 0; i < G_N_ELEMENTS(senders); i++) {
        GByteArray *delta = GbViewDelta_Encode(&senders[i], &request);

        g_assert_cmpint(GbViewDelta_Apply(&receiver, delta->data, delta->len),
                        ==, GB_PROTOCOL_OK);
        g_byte_array_free(delta, TRUE);
    }
    g_assert_true(GbRouteHistory_HasFormer(
        &receiver.history, &address, FORMER_SERVICE, clock.monotonic_us));
    g_assert_true(GbViewStore_NeedsHistory(&receiver));
    GbManualClock_Advance(&clock, 50 * SECOND);
    g_assert_false(GbViewStore_NeedsHistory(&receiver));
    for (uint32_t i = 0; i < G_N_ELEMENTS(senders); i++) {
        GbViewStore_Finish(&senders[i]);
    }
    GbViewStore_Finish(&receiver);
}

struct PullRecorder {
    struct GbViewGossipPort super;
    uint32_t pulls;
};

static void
ignore_announcement(struct GbViewGossipPort *port, uint32_t peer_ipv4,
                    const struct GbViewVersion *version, uint32_t age_ms)
{
    (void)port;
    (void)peer_ipv4;
    (void)version;
    (void)age_ms;
}

static void
record_pull(struct GbViewGossipPort *port, uint32_t peer_ipv4)
{
    struct PullRecorder *self = (struct PullRecorder *)port;

    (void)peer_ipv4;
    self->pulls++;
}

static void
ignore_reading(struct GbViewGossipPort *port, bool is_wanted)
{
    (void)port;
    (void)is_wanted;
}

static const struct GbViewGossipPortClass port_class = {
    .announce = ignore_announcement,
    .pull = record_pull,
    .read_platform = ignore_reading,
};

struct PullCase {
    const char *name;
    /* Time for which the process has run when peers of its version announce
     * themselves. */
    int64_t age_us;
    uint32_t pulls;
};

/* Delays of 0.2 s, 0.4 s and so on, in the minute after which the history is
 * known. */
static const struct PullCase pull_cases[] = {
    {"new process", 0, 9},
    {"process that has run for long", 61 * SECOND, 0},
};

/* Guards against a new process that does not ask for the history because it
 * has the version of its peers, or because the first ones did not have it, and
 * against one that asks all the time after an outage of all, when nobody has
 * it. */
static void
test_process_asks_for_history(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pull_cases); i++) {
        const struct PullCase *row = &pull_cases[i];
        const struct GbViewGossipConfig config = {.own_ipv4 = 1};
        struct PullRecorder port = {.super.klass = &port_class};
        struct GbInstanceList *list = GbInstanceList_New();
        struct GbManualClock clock;
        struct GbSeededRandom random;
        struct GbViewStore store;
        struct GbViewGossip gossip;

        g_test_message("%s", row->name);
        GbManualClock_Init(&clock, 1000 * SECOND, 0);
        GbSeededRandom_Init(&random, 1);
        GbViewStore_Init(&store, &clock.super);
        GbViewGossip_Init(&gossip, &config, &port.super, &store, &clock.super,
                          &random.super);
        set_routes(&store, 5, false);
        list->version = 10;
        GbViewStore_SetInstances(&store, list);
        GbViewGossip_RecordConfirmation(&gossip);
        GbManualClock_Advance(&clock, row->age_us);
        for (uint32_t round = 0; round < 600; round++) {
            struct GbViewVersion version = GbViewStore_Version(&store);

            GbManualClock_Advance(&clock, SECOND / 5);
            GbViewGossip_ReceiveAnnouncement(&gossip, PEER_IPV4, &version, 0);
            GbViewGossip_FinishPull(&gossip);
        }
        g_assert_cmpuint(port.pulls, ==, row->pulls);
        GbInstanceList_Unref(list);
        GbViewStore_Finish(&store);
    }
}

/* Guards against a process that does not ask for the history any more because
 * it has asked for the rest of a reduced view again and again, and against
 * delays that double beyond all numbers. */
static void
test_reduced_view_does_not_delay_history(void)
{
    const struct GbViewGossipConfig config = {.own_ipv4 = 1};
    struct PullRecorder port = {.super.klass = &port_class};
    struct GbInstanceList *list = GbInstanceList_New();
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbViewStore store;
    struct GbViewGossip gossip;

    GbManualClock_Init(&clock, 1000 * SECOND, 0);
    GbSeededRandom_Init(&random, 1);
    GbViewStore_Init(&store, &clock.super);
    GbViewGossip_Init(&gossip, &config, &port.super, &store, &clock.super,
                      &random.super);
    set_routes(&store, 5, false);
    GbViewStore_SetInstances(&store, list);
    GbInstanceList_Unref(list);
    GbViewGossip_RecordConfirmation(&gossip);
    for (uint32_t round = 0; round < 150; round++) {
        struct GbViewVersion version = GbViewStore_Version(&store);

        GbViewStore_SetReduced(&store, round < 100);
        if (round == 100) {
            g_assert_cmpuint(port.pulls, ==, 100);
            port.pulls = 0;
        }
        GbManualClock_Advance(&clock, SECOND / 5);
        GbViewGossip_ReceiveAnnouncement(&gossip, PEER_IPV4, &version, 0);
        GbViewGossip_FinishPull(&gossip);
    }
    /* 10 s: delays of 0.2 s to 3.2 s. */
    g_assert_cmpuint(port.pulls, ==, 6);
    GbViewStore_Finish(&store);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/view-history/peer-sends-history",
                    test_peer_sends_history);
    g_test_add_func("/view-history/several-peers-know-a-part",
                    test_several_peers_know_a_part);
    g_test_add_func("/view-history/process-asks-for-history",
                    test_process_asks_for_history);
    g_test_add_func("/view-history/reduced-view-does-not-delay-history",
                    test_reduced_view_does_not_delay_history);
    return g_test_run();
}
