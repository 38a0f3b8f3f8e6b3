#ifndef GB_COORDINATION_FLOWS_FLOW_POOL_H
#define GB_COORDINATION_FLOWS_FLOW_POOL_H

#include "state/flow_notice.h"
#include "state/routing_view.h"

/* If a service has more agents, the pool holds those that are nearest in the
 * circular order of addresses. */
#define GB_FLOW_POOL_MEMBERS_MAX 16

/* Another agent of the same service, with its last report. */
struct GbFlowMember {
    uint32_t ipv4;
    uint32_t slots;
    bool is_same_data_centre;
    bool is_leaving;
    /* Its data centre is evacuated. */
    bool is_evacuated;
    /* Revision and start time in the entry that warmup_end_us was set from. */
    uint64_t revision;
    uint64_t born_ms;
    /* Monotonic time at which its target's warm-up ends. */
    int64_t warmup_end_us;
    /* Monotonic time since which it is a member. */
    int64_t listed_us;
    /* Monotonic time of the last report. */
    int64_t last_report_us;
    struct GbLoad load;
    /* Share of its target's requests that fail; 0 if it is not failing. */
    uint32_t failing_percent;
    /* Time to the first byte of its target's responses; 0 if unknown. */
    uint32_t response_time_us;
};

/* The other agents of a service, as seen by one agent. */
struct GbFlowPool {
    struct GbFlowMember members[GB_FLOW_POOL_MEMBERS_MAX];
    uint32_t count;
};

void GbFlowPool_Init(struct GbFlowPool *self);

/* Replaces the members by the agents of the service in the view, without the
 * one at own_ipv4. Members that are still listed keep their last report. */
void GbFlowPool_SetView(struct GbFlowPool *self,
                        const struct GbRoutingView *view, uint64_t service_id,
                        uint32_t own_ipv4, const char *data_centre,
                        int64_t now_us);

/* Returns the member at this address, or NULL. */
struct GbFlowMember *GbFlowPool_Find(struct GbFlowPool *self, uint32_t ipv4);

/* Returns true if new flows may go to the member: its last report is recent,
 * it is not leaving, its target accepts flows and its data centre is not
 * evacuated. */
bool GbFlowMember_IsUsable(const struct GbFlowMember *member, int64_t now_us);

/* Returns true if the member is usable, or has not been a member for long
 * enough to have reported. */
bool GbFlowMember_MayBeUsable(const struct GbFlowMember *member,
                              int64_t now_us);

#endif
