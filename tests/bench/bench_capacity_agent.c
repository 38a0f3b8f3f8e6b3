/* Cost of an agent as the numbers of flows, requests and pool members grow,
 * and the encoded size of each message. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench/slope.h"
#include "protocol/envelope.h"
#include "protocol/message_codec.h"
#include "support/bench_agent.h"
#include "support/endpoint_fixture.h"
#include "support/load_generator.h"
#include "support/loopback.h"
#include "support/memory_usage.h"
#include "support/sample_messages.h"

#define RUNS 5
#define RESPONSE_BYTES 100
#define POOL_INSTANCES 9
/* IPv4 and UDP headers. */
#define HEADER_BYTES 28
#define TICKS 1000

static const uint32_t flow_counts[] = {2000, 10000, 30000, 100000};
static const uint32_t request_counts[] = {1000, 2000, 4000, 8000, 16000};
static const uint32_t pool_sizes[] = {3, 9, 17, 33, 65};

static double
minimum(double a, double b)
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
        struct BenchAgent *bench = g_new0(struct BenchAgent, 1);
        double best_ns = G_MAXDOUBLE;
        int64_t heap_bytes;

        bench_agent_init(bench, POOL_INSTANCES);
        heap_bytes = memory_heap_bytes();
        for (uint64_t flow = 1; flow <= flow_counts[i]; flow++) {
            GbFlowTable_Add(&bench->agent.flows, flow, 0,
                            GbClock_MonotonicUs(&bench->clock.super));
        }
        slope_add(&memory, flow_counts[i],
                  (double)(memory_heap_bytes() - heap_bytes));
        for (int run = 0; run < RUNS; run++) {
            int64_t start_ns = load_current_thread_cpu_ns();

            for (int j = 0; j < TICKS; j++) {
                GbAgent_Tick(&bench->agent);
            }
            best_ns = minimum(
                best_ns, (double)(load_current_thread_cpu_ns() - start_ns));
        }
        slope_add(&tick, flow_counts[i], best_ns / TICKS);
        bench_agent_finish(bench);
        g_free(bench);
    }
    slope_print(&memory);
    slope_print(&tick);
}

/* Requests from the arrival of the CALL to the acknowledgement of the
 * response. Records are kept for 1 s after that, so all still exist when a run
 * ends. */
static void
measure_requests(void)
{
    struct Slope memory;
    struct Slope time;

    slope_init(&memory, "memory of finished requests with flow",
               "bytes a request");
    slope_init(&time, "decisions for a CALL until its end", "ns a request");
    for (size_t i = 0; i < G_N_ELEMENTS(request_counts); i++) {
        double best_ns = G_MAXDOUBLE;
        int64_t heap_bytes = 0;

        for (int run = 0; run < RUNS; run++) {
            struct BenchAgent *bench = g_new0(struct BenchAgent, 1);
            int64_t start_ns;

            bench_agent_init(bench, POOL_INSTANCES);
            heap_bytes = memory_heap_bytes();
            start_ns = load_current_thread_cpu_ns();
            for (uint32_t flow = 1; flow <= request_counts[i]; flow++) {
                bench_agent_run_call(bench, flow, RESPONSE_BYTES);
                bench_agent_acknowledge(bench, flow, RESPONSE_BYTES);
            }
            best_ns = minimum(
                best_ns, (double)(load_current_thread_cpu_ns() - start_ns));
            heap_bytes = memory_heap_bytes() - heap_bytes;
            bench_agent_finish(bench);
            g_free(bench);
        }
        slope_add(&memory, request_counts[i], (double)heap_bytes);
        slope_add(&time, request_counts[i], best_ns);
    }
    slope_print(&memory);
    slope_print(&time);
}

static uint32_t
encode_member_message(const struct GbKeys *keys, enum GbMessageKind kind,
                      uint8_t *buffer)
{
    struct GbMessage message;

    init_sample_message(&message, kind, true);
    message.flow_id = 0;
    message.token.flow_id = 0;
    return GbMessageCodec_Encode(&message, keys, buffer,
                                 GB_ENVELOPE_BYTES_MAX);
}

/* ALIVE messages of one second: one to and one from each member. */
static void
measure_pool(void)
{
    struct Slope messages;
    struct Slope bytes;
    struct Slope time;
    struct EndpointFixture *fixture = g_new0(struct EndpointFixture, 1);
    uint8_t buffer[GB_ENVELOPE_BYTES_MAX];

    slope_init(&messages, "ALIVE sent and received", "a second a member");
    slope_init(&bytes, "bytes of ALIVE, with IPv4 and UDP",
               "bytes/s a member");
    slope_init(&time, "encoding and handling of ALIVE, no sockets",
               "ns/s a member");
    endpoint_fixture_init(fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(pool_sizes); i++) {
        uint32_t members = pool_sizes[i] - 1;
        uint32_t size_bytes = 0;
        double best_ns = G_MAXDOUBLE;

        for (int run = 0; run < RUNS; run++) {
            int64_t start_ns = load_current_thread_cpu_ns();

            for (uint32_t member = 0; member < members; member++) {
                size_bytes = encode_member_message(&fixture->keys,
                                                   GB_MESSAGE_ALIVE, buffer);
                GbAgentEndpoint_Receive(&fixture->agent_endpoint,
                                        &endpoint_fixture_sender, buffer,
                                        size_bytes);
            }
            best_ns = minimum(
                best_ns, (double)(load_current_thread_cpu_ns() - start_ns));
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

/* Prints the encoded sizes of the sample messages. */
static void
print_sizes(void)
{
    struct GbKeys keys;
    struct GbEnvelope envelope = {.kind = GB_ENVELOPE_TO_BALANCER};
    uint8_t buffer[GB_ENVELOPE_BYTES_MAX];

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
    envelope.inner.size_bytes = GB_DATAGRAM_BYTES_MAX;
    printf("%-12s %10u\n", "envelope",
           GbEnvelope_EncodeHeader(&envelope, buffer));
}

int
main(void)
{
    slope_print_header("Agent");
    measure_flows();
    measure_requests();
    measure_pool();
    print_sizes();
    return 0;
}
