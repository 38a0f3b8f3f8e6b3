#ifndef GB_COORDINATION_PLACEMENT_POOL_H
#define GB_COORDINATION_PLACEMENT_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "state/counters.h"
#include "state/instance_list.h"
#include "state/random.h"

#define GB_POOL_MEMBERS_MAX 64
/* Members whose load is queried for one CALL. */
#define GB_POOL_SAMPLE_MAX 3

/* Another agent of the same service, with its last report. */
struct GbPoolMember {
    uint64_t instance_id;
    struct GbAddress address;
    /* Monotonic time at which the member appeared in the instance list. */
    int64_t listed_us;
    bool is_listed_leaving;
    bool has_reported;
    /* Monotonic time of the last report; unset before the first one. */
    int64_t last_report_us;
    /* Changes when the agent restarts. */
    uint64_t incarnation;
    struct GbLoad load;
};

/* The other agents of a service, as seen by one agent. */
struct GbPool {
    struct GbPoolMember members[GB_POOL_MEMBERS_MAX];
    uint32_t count;
    /* Agents of the service that did not fit into members. */
    uint32_t excess;
};

void GbPool_Init(struct GbPool *self);

/* Replaces the members by the agents of the service in the instance list.
 * Members that are still listed keep their last report. If there are more than
 * GB_POOL_MEMBERS_MAX, the pool holds the neighbours of own_id in the circular
 * order of ids, half of them on each side, so that of two agents either both
 * hold each other or neither does. */
void GbPool_SetInstances(struct GbPool *self,
                         const struct GbInstanceList *list,
                         const char *service, uint64_t own_id, int64_t now_us,
                         struct GbCounters *counters);

/* Returns the member with this instance id, or NULL. */
struct GbPoolMember *GbPool_Find(struct GbPool *self, uint64_t instance_id);

/* Records a load report that a member sent. */
void GbPoolMember_RecordReport(struct GbPoolMember *member,
                               const struct GbAddress *address,
                               uint64_t incarnation, const struct GbLoad *load,
                               int64_t now_us);

/* Returns true if new flows may go to the member: its last report is recent,
 * it is not leaving and its target accepts requests. */
bool GbPoolMember_IsUsable(const struct GbPoolMember *member, int64_t now_us);

/* Chooses up to GB_POOL_SAMPLE_MAX different usable members at random and
 * returns their number. */
uint32_t GbPool_SampleUsable(struct GbPool *self, struct GbRandom *random,
                             int64_t now_us,
                             struct GbPoolMember *chosen[GB_POOL_SAMPLE_MAX]);

/* Returns the usable member with the lowest reported load, or NULL. */
struct GbPoolMember *GbPool_LeastLoaded(struct GbPool *self, int64_t now_us);

/* Returns the number of agents that share the limits of the service, this one
 * included. A newly listed member counts until its first report is overdue. */
uint32_t GbPool_CountLimitSharers(const struct GbPool *self, int64_t now_us);

/* Compares loads by (running + queued) / capacity. Returns a negative value,
 * zero or a positive value if a is less, equally or more loaded than b. A
 * capacity of 0 ranks as the highest load. */
int GbLoad_Compare(const struct GbLoad *a, const struct GbLoad *b);

#endif
