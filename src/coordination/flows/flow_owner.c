#include "coordination/flows/flow_owner.h"

#include "coordination/flows/flow_service.h"

/* A single query or its reply may be lost. */
#define UNANSWERED_MIN 2

static bool
is_listed(const struct GbFlowAgent *self, uint32_t ipv4)
{
    return GbRoutingView_FindIpv4(self->view, ipv4) != NULL;
}

bool
GbFlowOwner_IsDoubtful(const struct GbFlowAgent *self,
                       const struct GbPacketFlow *flow, int64_t now_us)
{
    /* A listed owner stays even if it is silent. It need not be a member of
     * the pool, so that its reports need not arrive here. */
    return flow->state == GB_PACKET_FLOW_REMOTE && self->view != NULL &&
           !is_listed(self, flow->owner_ipv4) &&
           !GbUnlistedAgents_IsHeard(&self->unlisted, flow->owner_ipv4,
                                     now_us);
}

bool
GbFlowOwner_IsGone(const struct GbFlowAgent *self,
                   const struct GbPacketFlow *flow, int64_t now_us)
{
    return GbFlowOwner_IsDoubtful(self, flow, now_us) &&
           flow->owner_query_count >= UNANSWERED_MIN &&
           now_us - flow->owner_queried_us >= GB_UNLISTED_AGENT_SILENCE_US;
}

void
GbFlowOwner_RecordQuery(struct GbPacketFlow *flow, int64_t now_us)
{
    if (flow->owner_query_count++ == 0) {
        flow->owner_queried_us = now_us;
    }
}

void
GbFlowOwner_Verify(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                   int64_t now_us)
{
    struct GbFlowNotice query = {.kind = GB_FLOW_NOTICE_OWNER_QUERY};

    if (flow == NULL || !GbFlowOwner_IsDoubtful(self, flow, now_us)) {
        return;
    }
    query.key = flow->key;
    GbFlowService_Notify(self, &query, flow->owner_ipv4);
    GbFlowOwner_RecordQuery(flow, now_us);
}

void
GbFlowOwner_ReceiveReply(struct GbFlowAgent *self, uint32_t from_ipv4,
                         const struct GbFlowNotice *notice, int64_t now_us)
{
    struct GbPacketFlow *flow =
        GbPacketFlowTable_Find(&self->flows, &notice->key);

    if (flow == NULL || !GbPacketFlow_IsAt(flow, from_ipv4) ||
        notice->kind == GB_FLOW_NOTICE_NOT_OWNER) {
        return;
    }
    flow->owner_query_count = 0;
    GbFlowOwner_RecordHeard(self, from_ipv4, now_us);
}

void
GbFlowOwner_RecordFormerMembers(struct GbFlowAgent *self)
{
    for (uint32_t i = 0; i < self->pool.count; i++) {
        const struct GbFlowMember *member = &self->pool.members[i];

        if (!is_listed(self, member->ipv4)) {
            GbUnlistedAgents_RecordFormer(&self->unlisted, member->ipv4,
                                          member->last_report_us);
        }
    }
}

void
GbFlowOwner_RecordHeard(struct GbFlowAgent *self, uint32_t from_ipv4,
                        int64_t now_us)
{
    if (self->view != NULL && !is_listed(self, from_ipv4)) {
        GbUnlistedAgents_RecordHeard(&self->unlisted, from_ipv4, now_us);
    }
}
