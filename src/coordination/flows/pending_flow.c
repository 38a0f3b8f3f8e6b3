#include "coordination/flows/pending_flow.h"

#include <glib.h>

#define US_PER_MS INT64_C(1000)

/* Returns the time at which the client first sent a SYN packet.
 * Retransmissions carry their number in the acknowledgement field. */
static int64_t
get_syn_sent_us(const struct GbPacket *packet, int64_t now_us)
{
    /* Clients retransmit a SYN packet 200 and 600 ms after the first one. */
    static const int64_t retransmission_delays_us[] = {0, 200000, 600000};
    uint32_t number = packet->acknowledgement;
    int64_t delay_us = number < G_N_ELEMENTS(retransmission_delays_us)
                           ? retransmission_delays_us[number]
                           : 0;

    return now_us - MAX(delay_us, packet->syn_age_ms * US_PER_MS);
}

/* Returns true if a SYN packet may be a retry that was not checked for yet.
 * Retransmissions were checked before, and agents forward the request age. */
static bool
may_be_new_retry(const struct GbPacket *packet)
{
    return packet->hops == 0 && packet->acknowledgement == 0;
}

static int64_t
get_first_attempt_us(struct GbFlowAgent *agent,
                     const struct GbPendingFlow *pending, int64_t now_us)
{
    const struct GbPacket *packet = &pending->packet;
    int64_t attempt_us = now_us - packet->request_age_ms * US_PER_MS;

    if (may_be_new_retry(packet)) {
        attempt_us =
            GbRecentRefusals_Match(&agent->refusals, &packet->key, now_us);
    }
    return MIN(pending->syn_sent_us, attempt_us);
}

void
GbPendingFlow_Init(struct GbPendingFlow *self, struct GbFlowAgent *agent,
                   const struct GbPacket *packet, uint32_t from_ipv4,
                   int64_t now_us)
{
    struct GbAddress service = {packet->key.service_ipv4,
                                packet->key.service_port};
    const struct GbRoute *route =
        agent->view != NULL ? GbRouteTable_Find(agent->view->routes, &service)
                            : NULL;

    self->packet = *packet;
    self->queued_us = now_us;
    self->from_ipv4 = from_ipv4;
    self->priority = 0;
    self->syn_sent_us = get_syn_sent_us(packet, now_us);
    self->first_attempt_us = get_first_attempt_us(agent, self, now_us);
    self->goal_us = self->first_attempt_us;
    self->client_timeout_us = self->syn_sent_us + GB_SYN_TIMEOUT_US;
    self->expires_us = self->client_timeout_us;
    if (route != NULL && route->timeout_ms > 0) {
        self->priority = route->priority;
        self->goal_us += route->latency_goal_ms * US_PER_MS;
        self->client_timeout_us =
            MIN(self->client_timeout_us,
                self->syn_sent_us + route->timeout_ms * US_PER_MS);
        self->expires_us =
            MIN(self->client_timeout_us,
                self->first_attempt_us + route->timeout_ms * US_PER_MS);
    }
}

uint16_t
GbPendingFlow_ElapsedMs(int64_t at_us, int64_t now_us)
{
    return (uint16_t)CLAMP((now_us - at_us) / US_PER_MS, 0, UINT16_MAX);
}
