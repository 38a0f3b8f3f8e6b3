#include "support/weighted_agents.h"

static uint64_t
service_at(uint32_t ipv4)
{
    return GbFlowFixture_ServiceId(ipv4 < GB_WEIGHTED_OTHER_IPV4 ? 0 : 1);
}

void
GbWeightedAgents_SetWeights(struct GbFlowAgentFixture *fixture, int32_t own,
                            int32_t other, uint64_t version)
{
    struct GbFlowFixtureBackend backends[] = {
        {own, GB_WEIGHTED_OWN_AGENTS}, {other, GB_WEIGHTED_OTHER_AGENTS}};

    GbFlowAgent_SetView(
        &fixture->agent,
        GbFlowFixture_Succeed(
            GbFlowFixture_NewWeightedView(backends, 2, version),
            fixture->agent.view, fixture->clock.monotonic_us));
}

struct GbFlowNotice
GbWeightedAgents_MakeNotice(enum GbFlowNoticeKind kind, uint32_t client)
{
    struct GbFlowNotice notice = {.kind = kind};

    notice.service_id = GbFlowFixture_ServiceId(0);
    notice.key = GbFlowFixture_Key(client);
    return notice;
}

void
GbWeightedAgents_CheckServices(const struct GbFlowRecorder *recorder)
{
    for (uint32_t i = 0; i < recorder->count; i++) {
        const struct GbFlowAction *action = &recorder->actions[i];

        if (action->kind == GB_FLOW_ACTION_FORWARD) {
            g_assert_true(GbFlowAction_IsForService(
                action, service_at(action->to_ipv4)));
        }
        if (action->kind == GB_FLOW_ACTION_NOTIFY &&
            action->to_ipv4 != GB_FLOW_FIXTURE_BALANCER_IPV4) {
            g_assert_cmpuint(action->notice.service_id, ==,
                             service_at(action->to_ipv4));
        }
    }
}

void
GbWeightedAgents_ReturnPacket(struct GbFlowAgentFixture *fixture,
                              uint32_t client)
{
    GbFlowAgentFixture_ReceiveFromBalancer(fixture, client, GB_PACKET_ACK, 7,
                                           200);
    GbFlowAgentFixture_ReceiveFromTarget(
        fixture, client, GB_PACKET_ACK | GB_PACKET_RETURNED, 1, 200);
}
