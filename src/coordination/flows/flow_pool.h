#ifndef GB_COORDINATION_FLOWS_FLOW_POOL_H
#define GB_COORDINATION_FLOWS_FLOW_POOL_H

#include "state/flow_notice.h"
#include "state/routing_view.h"

/* Members beyond this number are left out; those nearest in the order of ids
 * are kept. */
#define GB_FLOW_POOL_MEMBERS_MAX 16

/* Other agent of the same service. */
struct GbFlowMember {
    uint32_t ipv4;
    uint32_t slots;
    bool is_same_data_centre;
    bool is_leaving;
    /* Monotonic time at which its target has started up. */
    int64_t warmup_end_us;
    int64_t last_report_us;
    struct GbLoad load;
    /* Share of its target's requests that fail. */
    uint32_t failing_percent;
    /* Time that its target takes to begin an answer; 0 if it is not known. */
    uint32_t response_time_us;
};

/* Other agents of a service, as one agent sees them. */
struct GbFlowPool {
    struct GbFlowMember members[GB_FLOW_POOL_MEMBERS_MAX];
    uint32_t count;
};

void GbFlowPool_Init(struct GbFlowPool *self);

/* Takes the agents of a service from the list, without the one at own_ipv4,
 * and keeps what is known of those that stay. */
void GbFlowPool_SetInstances(struct GbFlowPool *self,
                             const struct GbInstanceList *list,
                             uint32_t service_id, uint32_t own_ipv4,
                             const char *data_centre, int64_t now_us);

/* Member by address; NULL if there is none. */
struct GbFlowMember *GbFlowPool_Find(struct GbFlowPool *self, uint32_t ipv4);

/* Whether new flows may go to the member: it was heard lately, is not leaving
 * and its target takes flows. */
bool GbFlowMember_IsUsable(const struct GbFlowMember *member, int64_t now_us);

#endif
