/* Cost of an agent against flows, requests and pool size, and the size of
 * each message. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench/slope.h"
#include "protocol/envelope.h"
#include "protocol/message_codec.h"
#include "support/agent_load.h"
#include "support/endpoint_fixture.h"
#include "support/load.h"
#include "support/loopback.h"
#include "support/memory_usage.h"
#include "support/sample_messages.h"

#define RUNS 5
#define ANSWER_BYTES 100
#define POOL_INSTANCES 9
/* Headers of IPv4 and UDP. */
#define HEADER_BYTES 28
#define TICKS 1000

static const uint32_t flow_counts[] = {2000, 10000, 30000, 100000};
static const uint32_t request_counts[] = {1000, 2000, 4000, 8000, 16000};
static const uint32_t pool_sizes[] = {3, 9, 17, 33, 65};

static double
least(double a, double b)
{
    return a < b ? a : b;
}

static void
measure_flows(void)
{
    struct Slope memory;
    struct Slope tick;

    slope_init(&memory, "memory of flows", "bytes a flow");
    slope_init(&tick, "a tick with nothing due", "ns a flow");
    for (size_t i = 0; i < G_N_ELEMENTS(flow_counts); i++) {
        struct AgentLoad *load = g_new0(struct AgentLoad, 1);
        double best_ns = G_MAXDOUBLE;
        int64_t heap_bytes;

        agent_load_init(load, POOL_INSTANCES);
        heap_bytes = memory_heap_bytes();
        for (uint64_t flow = 1; flow <= flow_counts[i]; flow++) {
            GbFlowTable_Add(&load->agent.flows, flow, 0,
                            GbClock_MonotonicUs(&load->clock.super));
        }
        slope_add(&memory, flow_counts[i],
                  (double)(memory_heap_bytes() - heap_bytes));
        for (int run = 0; run < RUNS; run++) {
            int64_t start_ns = load_own_cpu_ns();

            for (int j = 0; j < TICKS; j++) {
                GbAgent_Tick(&load->agent);
            }
            best_ns = least(best_ns, (double)(load_own_cpu_ns() - start_ns));
        }
        slope_add(&tick, flow_counts[i], best_ns / TICKS);
        agent_load_finish(load);
        g_free(load);
    }
    slope_print(&memory);
    slope_print(&tick);
}

/* Calls from arrival to the acknowledged answer. The records stay for 1 s
 * after that, so that a run ends with all of them. */
static void
measure_requests(void)
{
    struct Slope memory;
    struct Slope time;

    slope_init(&memory, "memory of finished requests with flow",
               "bytes a request");
    slope_init(&time, "decisions of a CALL up to its end", "ns a request");
    for (size_t i = 0; i < G_N_ELEMENTS(request_counts); i++) {
        double best_ns = G_MAXDOUBLE;
        int64_t heap_bytes = 0;

        for (int run = 0; run < RUNS; run++) {
            struct AgentLoad *load = g_new0(struct AgentLoad, 1);
            int64_t start_ns;

            agent_load_init(load, POOL_INSTANCES);
            heap_bytes = memory_heap_bytes();
            start_ns = load_own_cpu_ns();
            for (uint32_t flow = 1; flow <= request_counts[i]; flow++) {
                agent_load_call(load, flow, ANSWER_BYTES);
                agent_load_acknowledge(load, flow, ANSWER_BYTES);
            }
            best_ns = least(best_ns, (double)(load_own_cpu_ns() - start_ns));
            heap_bytes = memory_heap_bytes() - heap_bytes;
            agent_load_finish(load);
            g_free(load);
        }
        slope_add(&memory, request_counts[i], (double)heap_bytes);
        slope_add(&time, request_counts[i], best_ns);
    }
    slope_print(&memory);
    slope_print(&time);
}

static uint32_t
member_message(const struct GbKeys *keys, enum GbMessageKind kind,
               uint8_t *buffer)
{
    struct GbMessage message;

    init_sample_message(&message, kind, true);
    message.flow_id = 0;
    message.token.flow_id = 0;
    return GbMessageCodec_Encode(&message, keys, buffer, GB_ENVELOPE_BYTES);
}

/* One second of ALIVE by the rule: one to and one from each member. */
static void
measure_pool(void)
{
    struct Slope messages;
    struct Slope bytes;
    struct Slope time;
    struct EndpointFixture *fixture = g_new0(struct EndpointFixture, 1);
    uint8_t buffer[GB_ENVELOPE_BYTES];

    slope_init(&messages, "ALIVE sent and received", "a second a member");
    slope_init(&bytes, "bytes of them, with IPv4 and UDP", "bytes/s a member");
    slope_init(&time, "encoding and handling of them, no sockets",
               "ns/s a member");
    endpoint_fixture_init(fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(pool_sizes); i++) {
        uint32_t members = pool_sizes[i] - 1;
        uint32_t size_bytes = 0;
        double best_ns = G_MAXDOUBLE;

        for (int run = 0; run < RUNS; run++) {
            int64_t start_ns = load_own_cpu_ns();

            for (uint32_t member = 0; member < members; member++) {
                size_bytes =
                    member_message(&fixture->keys, GB_MESSAGE_ALIVE, buffer);
                GbAgentEndpoint_Receive(&fixture->agent_endpoint,
                                        &endpoint_fixture_sender, buffer,
                                        size_bytes);
            }
            best_ns = least(best_ns, (double)(load_own_cpu_ns() - start_ns));
        }
        slope_add(&messages, members, 2.0 * members);
        slope_add(&bytes, members,
                  2.0 * members * (size_bytes + HEADER_BYTES));
        slope_add(&time, members, best_ns);
    }
    slope_print(&messages);
    slope_print(&bytes);
    slope_print(&time);
    endpoint_fixture_finish(fixture);
    g_free(fixture);
}

/* Sizes with fields at the values of the sample messages. */
static void
print_sizes(void)
{
    struct GbKeys keys;
    struct GbEnvelope envelope = {.kind = GB_ENVELOPE_TO_BALANCER};
    uint8_t buffer[GB_ENVELOPE_BYTES];

    init_sample_keys(&keys);
    printf("\nSize of messages without IPv4 and UDP (%d bytes); a sample "
           "body has 18 bytes\n%-12s %10s %10s\n",
           HEADER_BYTES, "message", "no token", "token");
    for (int kind = GB_MESSAGE_CALL; kind < GB_MESSAGE_KIND_END; kind++) {
        struct GbMessage message;
        uint32_t bare_bytes;

        init_sample_message(&message, (enum GbMessageKind)kind, false);
        bare_bytes =
            GbMessageCodec_Encode(&message, &keys, buffer, sizeof(buffer));
        init_sample_message(&message, (enum GbMessageKind)kind, true);
        printf("%-12s %10u %10u\n",
               GbMessage_KindName((enum GbMessageKind)kind), bare_bytes,
               GbMessageCodec_Encode(&message, &keys, buffer, sizeof(buffer)));
    }
    envelope.path.caller.ipv4 = LOOPBACK_IPV4;
    envelope.path.caller.port = UINT16_MAX;
    envelope.path.tag = UINT64_MAX;
    envelope.instance_id = UINT64_MAX;
    envelope.revision.number = UINT32_MAX;
    envelope.revision.digest_prefix = UINT32_MAX;
    envelope.inner.size_bytes = GB_DATAGRAM_BYTES;
    printf("%-12s %10u\n", "envelope",
           GbEnvelope_EncodeHeader(&envelope, buffer));
}

int
main(void)
{
    slope_print_head("Agent");
    measure_flows();
    measure_requests();
    measure_pool();
    print_sizes();
    return 0;
}
