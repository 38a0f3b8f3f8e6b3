#include <glib.h>

#include "support/flow_fixture.h"
#include "support/restart_simulation.h"

#define OUTAGE_MS 700
/* The first requests open all flows at once. */
#define BEFORE_MS 7000
#define RECOVERED_MS 1500
#define AFTER_MS 5800
#define IN_GOAL_PERCENT_MIN 98
#define MS 1000
#define REQUEST_SEQUENCE 7000
#define REQUEST_BYTES 200
#define TARGET_SEQUENCE 5000
#define SERVICE_TIME_MS 25

static void
log_periods(const struct GbRestartSim *sim, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        const struct GbRestartSimPeriod *period = &sim->periods[i];

        g_test_message("%5u ms: sent %u, in goal %u, late %u, failed %u, "
                       "refused %u, verdicts %u, in flight up to %u, "
                       "service time up to %u ms",
                       i * GB_RESTART_SIM_PERIOD_MS, period->sent,
                       period->in_goal, period->late, period->failed,
                       period->refused, period->verdicts,
                       period->in_flight_max, period->service_ms_max);
    }
}

/* Fault pattern: all agents restart beside targets that keep running, and the
 * requests of the outage are repeated on open flows. Guards against requests
 * that count as in flight although no target has them, and against healthy
 * targets that are classified as failing, which together made agents refuse
 * new flows for ten seconds. */
static void
test_all_agents_restart(void)
{
    for (uint32_t seed = 1; seed <= 2; seed++) {
        struct GbRestartSim *sim = g_new(struct GbRestartSim, 1);
        uint32_t restarted_ms = BEFORE_MS + OUTAGE_MS;
        uint32_t first =
            (restarted_ms + RECOVERED_MS) / GB_RESTART_SIM_PERIOD_MS;
        uint32_t last = (restarted_ms + AFTER_MS) / GB_RESTART_SIM_PERIOD_MS;

        GbRestartSim_Init(sim, seed);
        GbRestartSim_Run(sim, BEFORE_MS);
        GbRestartSim_RestartAgents(sim, OUTAGE_MS);
        GbRestartSim_Run(sim, AFTER_MS);
        log_periods(sim, last + 1);
        for (uint32_t i = restarted_ms / GB_RESTART_SIM_PERIOD_MS; i < last;
             i++) {
            g_assert_cmpuint(sim->periods[i].verdicts, ==, 0);
        }
        /* The requests of the last period may be unfinished. */
        for (uint32_t i = first + 1; i < last - 1; i++) {
            const struct GbRestartSimPeriod *period = &sim->periods[i];

            g_assert_cmpuint(period->in_goal * 100, >=,
                             period->sent * IN_GOAL_PERCENT_MIN);
            g_assert_cmpuint(period->refused, ==, 0);
        }
        GbRestartSim_Finish(sim);
        g_free(sim);
    }
}

static struct GbPacket
make_packet(struct GbFlowAgentFixture *fixture, uint32_t client,
            uint32_t sequence, uint32_t acknowledgement, uint16_t data_bytes)
{
    struct GbPacket packet = {.key = GbFlowFixture_Key(client),
                              .flags = GB_PACKET_ACK,
                              .sequence = sequence,
                              .acknowledgement = acknowledgement,
                              .data_bytes = data_bytes,
                              .bytes = fixture->bytes,
                              .size_bytes = sizeof(fixture->bytes)};

    GbPacket_SetService(&packet,
                        GbRouteTable_ServiceId(GB_FLOW_FIXTURE_SERVICE));
    return packet;
}

static void
request(struct GbFlowAgentFixture *fixture, uint32_t client, uint32_t sequence)
{
    struct GbPacket packet = make_packet(fixture, client, sequence,
                                         TARGET_SEQUENCE + 1, REQUEST_BYTES);

    GbFlowAgent_ReceivePacket(&fixture->agent, GB_FLOW_FIXTURE_BALANCER_IPV4,
                              &packet);
}

static void
respond(struct GbFlowAgentFixture *fixture, uint32_t client,
        uint32_t acknowledgement)
{
    struct GbPacket packet = make_packet(fixture, client, TARGET_SEQUENCE + 1,
                                         acknowledgement, REQUEST_BYTES);

    GbFlowAgent_ReceiveFromTarget(&fixture->agent, &packet);
}

struct AdoptedCase {
    const char *name;
    /* Acknowledgement of the response with which the flow is adopted. */
    uint32_t acknowledgement;
    /* Sequence number of the client's next packet. */
    uint32_t sequence;
    uint32_t expected_in_flight;
};

static const struct AdoptedCase adopted_cases[] = {
    {"copy of the request", REQUEST_SEQUENCE + REQUEST_BYTES, REQUEST_SEQUENCE,
     0},
    {"next request", REQUEST_SEQUENCE + REQUEST_BYTES,
     REQUEST_SEQUENCE + REQUEST_BYTES, 1},
    {"copy, and the target acknowledges nothing", 0, REQUEST_SEQUENCE, 1},
    {"copy, and the target acknowledges the start of the request",
     REQUEST_SEQUENCE, REQUEST_SEQUENCE, 1},
};

/* Fault pattern: an agent restarts while its target processes a request, and
 * the client repeats the request after the response. Guards against a request
 * that counts as in flight, or as failed, because it gets no second response.
 */
static void
test_request_from_before_the_start(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(adopted_cases); i++) {
        const struct AdoptedCase *row = &adopted_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 1);
        request(&fixture, 1, REQUEST_SEQUENCE);
        respond(&fixture, 1, row->acknowledgement);
        request(&fixture, 1, row->sequence);
        g_assert_cmpuint(fixture.agent.in_flight, ==, row->expected_in_flight);
        GbFlowAgentFixture_Advance(&fixture, 3100 * MS);
        g_assert_cmpuint(fixture.agent.in_flight, ==, 0);
        g_assert_cmpuint(fixture.counters.values[GB_COUNTER_FLOWS_FAILED], ==,
                         0);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

/* Sends the request with this number on the flow of a client. */
static void
request_next(struct GbFlowAgentFixture *fixture, uint32_t client,
             uint32_t number)
{
    request(fixture, client, REQUEST_SEQUENCE + number * REQUEST_BYTES);
}

static void
respond_next(struct GbFlowAgentFixture *fixture, uint32_t client,
             uint32_t number)
{
    respond(fixture, client, REQUEST_SEQUENCE + (number + 1) * REQUEST_BYTES);
}

/* Adopts flows from 1 to count, all of which get responses to requests 0 to
 * 2. */
static void
adopt_flows(struct GbFlowAgentFixture *fixture, uint32_t count)
{
    for (uint32_t client = 1; client <= count; client++) {
        for (uint32_t number = 0; number <= 2; number++) {
            request_next(fixture, client, number);
            GbFlowAgentFixture_Advance(fixture, SERVICE_TIME_MS * MS);
            respond_next(fixture, client, number);
        }
    }
}

struct BusyCase {
    const char *name;
    uint32_t rounds;
    uint32_t requests;
    /* Number of requests, the last ones, that get a response. */
    uint32_t responses;
    /* Time from the requests to the responses. */
    int64_t response_ms;
    uint32_t expected_in_flight;
    bool is_failing_expected;
};

/* The target has two slots. */
static const struct BusyCase busy_cases[] = {
    {"a full target rejects requests", 1, 25, 20, 0, 5, false},
    {"a target that is not full rejects requests", 5, 4, 4, 0, 0, true},
    {"requests that could be in the slots", 1, 3, 1, 25, 2, false},
    {"overtaken requests beyond the slots", 1, 9, 1, 25, 2, false},
};

/* Load pattern: more requests arrive on open flows than a target accepts, and
 * some of them are lost. Guards against a full target that is classified as
 * failing, and against counting requests that no target can have. */
static void
test_more_requests_than_slots(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(busy_cases); i++) {
        const struct BusyCase *row = &busy_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 1);
        adopt_flows(&fixture, row->requests);
        for (uint32_t number = 3; number < 3 + row->rounds; number++) {
            for (uint32_t client = 1; client <= row->requests; client++) {
                request_next(&fixture, client, number);
                fixture.clock.monotonic_us += MS / 10;
            }
            GbFlowAgentFixture_Advance(&fixture, row->response_ms * MS);
            for (uint32_t k = 0; k < row->responses; k++) {
                respond_next(&fixture, row->requests - k, number);
            }
            GbFlowAgentFixture_Advance(&fixture, 100 * MS);
        }
        g_assert_cmpuint(fixture.agent.in_flight, ==, row->expected_in_flight);
        g_assert_true(fixture.agent.outcomes.is_failing ==
                      row->is_failing_expected);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

struct LateCase {
    const char *name;
    /* Time from the other responses to that of the overtaken request. */
    int64_t response_ms;
    uint64_t expected_failures;
};

static const struct LateCase late_cases[] = {
    {"response before the timeout", 200, 0},
    {"response after the timeout", 2500, 1},
};

/* Fault pattern: requests reach the slots in another order than the agent,
 * for example because a packet to the target is repeated, so that one of them
 * stops counting as in flight before its response. Guards against counting it
 * as failed although the target responded in time. */
static void
test_response_of_an_overtaken_request(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(late_cases); i++) {
        const struct LateCase *row = &late_cases[i];
        struct GbFlowAgentFixture fixture;

        g_test_message("%s", row->name);
        GbFlowAgentFixture_Init(&fixture, 1);
        adopt_flows(&fixture, 4);
        for (uint32_t client = 1; client <= 4; client++) {
            request_next(&fixture, client, 3);
            fixture.clock.monotonic_us += MS / 10;
        }
        GbFlowAgentFixture_Advance(&fixture, SERVICE_TIME_MS * MS);
        respond_next(&fixture, 4, 3);
        GbFlowAgentFixture_Advance(&fixture, 100 * MS);
        g_assert_cmpuint(fixture.agent.in_flight, ==, 2);
        respond_next(&fixture, 2, 3);
        respond_next(&fixture, 3, 3);
        GbFlowAgentFixture_Advance(&fixture, row->response_ms * MS);
        respond_next(&fixture, 1, 3);
        GbFlowAgentFixture_Advance(&fixture, 3000 * MS);
        g_assert_cmpuint(fixture.counters.values[GB_COUNTER_FLOWS_FAILED], ==,
                         row->expected_failures);
        g_assert_cmpuint(fixture.agent.in_flight, ==, 0);
        GbFlowAgentFixture_Finish(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/agent-restart/request-from-before-the-start",
                    test_request_from_before_the_start);
    g_test_add_func("/agent-restart/more-requests-than-slots",
                    test_more_requests_than_slots);
    g_test_add_func("/agent-restart/response-of-an-overtaken-request",
                    test_response_of_an_overtaken_request);
    g_test_add_func("/agent-restart/all-agents-restart",
                    test_all_agents_restart);
    return g_test_run();
}
