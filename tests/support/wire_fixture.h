#ifndef GB_TESTS_SUPPORT_WIRE_FIXTURE_H
#define GB_TESTS_SUPPORT_WIRE_FIXTURE_H

#include "protocol/agent_endpoint.h"
#include "protocol/balancer_endpoint.h"
#include "protocol/envelope.h"
#include "state/clock.h"

/* Datagram port that keeps the last datagram. */
struct RecordingPort {
    struct GbDatagramPort super;
    uint32_t count;
    struct GbAddress to;
    uint8_t data[2 * GB_ENVELOPE_BYTES];
    uint32_t size_bytes;
};

/* Counts the revisions that were announced. */
struct CountingListener {
    struct GbRevisionListener super;
    uint32_t count;
};

/* Counts what is started at the target. */
struct CountingTarget {
    struct GbTargetPort super;
    uint32_t started;
};

/* Balancer and agent of service 7 over ports that send nothing. */
struct WireFixture {
    struct GbKeys keys;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct RecordingPort port;
    struct CountingListener listener;
    struct CountingTarget target;
    struct GbBalancer balancer;
    struct GbBalancerEndpoint balancer_wire;
    struct GbAgent agent;
    struct GbAgentEndpoint agent_wire;
};

/* Address that fixtures receive from. */
extern const struct GbAddress wire_fixture_from;

void wire_fixture_init(struct WireFixture *self);

void wire_fixture_finish(struct WireFixture *self);

/* Zeroes all counts. */
void wire_fixture_reset(struct WireFixture *self);

/* Datagrams refused under any counter since the last reset. */
uint64_t wire_fixture_refused(const struct WireFixture *self);

/* Wraps a datagram into an envelope. Returns its size. */
uint32_t wire_fixture_wrap(const struct GbKeys *keys, enum GbEnvelopeKind kind,
                           const struct GbAddress *caller,
                           const uint8_t *inner, uint32_t inner_bytes,
                           uint8_t *buffer);

#endif
