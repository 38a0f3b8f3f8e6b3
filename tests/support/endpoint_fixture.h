#ifndef GB_TESTS_SUPPORT_ENDPOINT_FIXTURE_H
#define GB_TESTS_SUPPORT_ENDPOINT_FIXTURE_H

#include "protocol/agent_endpoint.h"
#include "protocol/balancer_endpoint.h"
#include "protocol/envelope.h"
#include "state/clock.h"

/* Datagram port that records the last datagram. */
struct RecordingPort {
    struct GbDatagramPort super;
    uint32_t count;
    struct GbAddress to;
    uint8_t data[2 * GB_ENVELOPE_BYTES_MAX];
    uint32_t size_bytes;
};

/* Counts the revisions that it receives. */
struct CountingListener {
    struct GbRevisionListener super;
    uint32_t count;
};

/* Counts the requests that are started at the target. */
struct CountingTarget {
    struct GbTargetPort super;
    uint32_t started;
};

/* Balancer and agent of service 7 with ports that send nothing. */
struct EndpointFixture {
    struct GbKeys keys;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct RecordingPort port;
    struct CountingListener listener;
    struct CountingTarget target;
    struct GbBalancer balancer;
    struct GbBalancerEndpoint balancer_endpoint;
    struct GbAgent agent;
    struct GbAgentEndpoint agent_endpoint;
};

/* Sender address of the datagrams that fixtures receive. */
extern const struct GbAddress endpoint_fixture_sender;

void endpoint_fixture_init(struct EndpointFixture *self);

void endpoint_fixture_finish(struct EndpointFixture *self);

/* Resets all counters. */
void endpoint_fixture_reset(struct EndpointFixture *self);

/* Returns the number of datagrams refused since the last reset, for any
 * reason. */
uint64_t endpoint_fixture_refused_count(const struct EndpointFixture *self);

/* Wraps a datagram into an envelope. Returns its size. */
uint32_t endpoint_fixture_wrap(const struct GbKeys *keys,
                               enum GbEnvelopeKind kind,
                               const struct GbAddress *caller,
                               const uint8_t *inner, uint32_t inner_bytes,
                               uint8_t *buffer);

#endif
