#include "support/endpoint_fixture.h"

#include <glib.h>
#include <string.h>

#include "support/fleet.h"
#include "support/sample_messages.h"

const struct GbAddress endpoint_fixture_sender = {0x0a0a0a0a, 5353};

static const enum GbCounterId refusal_counters[] = {
    GB_COUNTER_DATAGRAMS_MALFORMED, GB_COUNTER_DATAGRAMS_UNEXPECTED,
    GB_COUNTER_TOKENS_FORGED,       GB_COUNTER_PATHS_FORGED,
    GB_COUNTER_NO_INSTANCE,         GB_COUNTER_WRONG_SERVICE,
    GB_COUNTER_WRONG_INSTANCE,
};

static void
record_datagram(struct GbDatagramPort *port, const struct GbAddress *to,
                struct GbBytes header, struct GbBytes body)
{
    struct RecordingPort *self = (struct RecordingPort *)port;

    self->count++;
    self->to = *to;
    g_assert_cmpuint(header.size_bytes + body.size_bytes, <=,
                     GB_ENVELOPE_BYTES_MAX);
    if (header.size_bytes > 0) {
        memcpy(self->data, header.data, header.size_bytes);
    }
    memcpy(self->data + header.size_bytes, body.data, body.size_bytes);
    self->size_bytes = header.size_bytes + body.size_bytes;
}

static const struct GbDatagramPortClass recording_port_class = {
    .send = record_datagram};

static void
count_revision(struct GbRevisionListener *listener,
               const struct GbAddress *from, const struct GbRevision *revision)
{
    (void)from;
    (void)revision;
    ((struct CountingListener *)listener)->count++;
}

static const struct GbRevisionListenerClass counting_listener_class = {
    .received = count_revision};

static void
count_start(struct GbTargetPort *port, const struct GbTargetRequest *request)
{
    (void)request;
    ((struct CountingTarget *)port)->started++;
}

static void
ignore_cancel(struct GbTargetPort *port, uint64_t work_id)
{
    (void)port;
    (void)work_id;
}

static void
ignore_extend_window(struct GbTargetPort *port, uint64_t work_id,
                     uint32_t size_bytes)
{
    (void)port;
    (void)work_id;
    (void)size_bytes;
}

static const struct GbTargetPortClass counting_target_class = {
    .start = count_start,
    .cancel = ignore_cancel,
    .extend_window = ignore_extend_window};

void
endpoint_fixture_init(struct EndpointFixture *self)
{
    static const struct Fleet fleet = {SAMPLE_SERVICE_ID, 14, 4000};
    struct GbAgentConfig config = {.instance_id = SAMPLE_INSTANCE_ID,
                                   .incarnation = SAMPLE_INCARNATION,
                                   .service = "service-7",
                                   .address = {0x7f000001, 9000}};

    memset(self, 0, sizeof(*self));
    init_sample_keys(&self->keys);
    GbManualClock_Init(&self->clock, INT64_C(200000000), 0);
    GbSeededRandom_Init(&self->random, 3);
    self->port.super.klass = &recording_port_class;
    self->listener.super.klass = &counting_listener_class;
    self->target.super.klass = &counting_target_class;
    GbBalancer_Init(&self->balancer, &self->clock.super, &self->counters);
    GbBalancer_SetView(&self->balancer, fleet_view(&fleet));
    GbBalancerEndpoint_Init(&self->balancer_endpoint, &self->balancer,
                            &self->keys, &self->port.super,
                            &self->listener.super, &self->counters);
    GbAgentEndpoint_Init(&self->agent_endpoint, &self->agent, &self->keys,
                         &self->port.super, &self->target.super,
                         &self->listener.super, &self->counters);
    GbAgent_Init(&self->agent, &config, &self->agent_endpoint.super,
                 &self->clock.super, &self->random.super, &self->counters);
    GbAgent_SetView(&self->agent, fleet_view(&fleet));
}

void
endpoint_fixture_finish(struct EndpointFixture *self)
{
    GbBalancer_Finish(&self->balancer);
    GbAgent_Finish(&self->agent);
}

void
endpoint_fixture_reset(struct EndpointFixture *self)
{
    GbCounters_Init(&self->counters);
    self->port.count = 0;
    self->listener.count = 0;
    self->target.started = 0;
}

uint64_t
endpoint_fixture_refused_count(const struct EndpointFixture *self)
{
    uint64_t total = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(refusal_counters); i++) {
        total += self->counters.values[refusal_counters[i]];
    }
    return total;
}

uint32_t
endpoint_fixture_wrap(const struct GbKeys *keys, enum GbEnvelopeKind kind,
                      const struct GbAddress *caller, const uint8_t *inner,
                      uint32_t inner_bytes, uint8_t *buffer)
{
    struct GbEnvelope envelope = {.kind = kind};
    uint32_t header_bytes;

    envelope.path.caller = *caller;
    envelope.path.tag = GbKeys_ComputePathTag(keys, caller);
    envelope.instance_id = SAMPLE_INSTANCE_ID;
    envelope.revision.number = 5;
    envelope.inner.data = inner;
    envelope.inner.size_bytes = inner_bytes;
    header_bytes = GbEnvelope_EncodeHeader(&envelope, buffer);
    memcpy(buffer + header_bytes, inner, inner_bytes);
    return header_bytes + inner_bytes;
}
