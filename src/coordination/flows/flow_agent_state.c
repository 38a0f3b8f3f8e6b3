#include "coordination/flows/flow_agent_state.h"

#include "coordination/flows/flow_load.h"

#define US_PER_MS INT64_C(1000)

/* A client accepts a reset with a sequence number near its last
 * acknowledgement, and any number before the flow is open. The answer to a SYN
 * packet gets a number that no target is likely to use: another agent may have
 * opened the flow with a copy of the packet, and the client must not take the
 * reset then. */
static uint32_t
reset_sequence(const struct GbPacket *packet)
{
    return GbPacket_IsSyn(packet)
               ? (uint32_t)(GbFlowKey_Hash(&packet->key) >> 32)
               : packet->acknowledgement;
}

static void
log_decision(struct GbFlowAgent *self, struct GbFlowDecision *decision)
{
    decision->waiting = self->queue.count;
    decision->routes_version =
        self->view != NULL ? self->view->routes->version : 0;
    self->port->klass->record_decision(self->port, decision);
}

void
GbFlowAgent_RecordDecision(struct GbFlowAgent *self,
                           enum GbFlowDecisionKind kind,
                           const struct GbFlowKey *key, uint32_t agent_ipv4,
                           uint32_t in_flight, uint32_t slots)
{
    struct GbFlowDecision decision = {.kind = kind,
                                      .key = *key,
                                      .agent_ipv4 = agent_ipv4,
                                      .in_flight = in_flight,
                                      .slots = slots};

    log_decision(self, &decision);
}

void
GbFlowAgent_RecordPendingFlow(struct GbFlowAgent *self,
                              enum GbFlowDecisionKind kind,
                              const struct GbPendingFlow *pending,
                              int64_t now_us)
{
    struct GbFlowDecision decision = {.kind = kind,
                                      .key = pending->packet.key,
                                      .agent_ipv4 = self->config.own_ipv4,
                                      .in_flight = self->in_flight,
                                      .slots = GbFlowLoad_OwnSlots(self)};

    decision.age_ms =
        (uint32_t)((now_us - pending->first_attempt_us) / US_PER_MS);
    log_decision(self, &decision);
}

void
GbFlowAgent_DeliverToTarget(struct GbFlowAgent *self, struct GbPacket *packet)
{
    GbCounters_Add(self->counters, GB_COUNTER_PACKETS_DELIVERED, 1);
    packet->syn_age_ms = 0;
    packet->request_age_ms = 0;
    self->port->klass->deliver(self->port, packet);
}

void
GbFlowAgent_ResetClient(struct GbFlowAgent *self,
                        const struct GbPacket *packet)
{
    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_RESET, 1);
    self->port->klass->reset(self->port, &packet->key, reset_sequence(packet));
}
