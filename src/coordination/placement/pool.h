#ifndef GB_COORDINATION_PLACEMENT_POOL_H
#define GB_COORDINATION_PLACEMENT_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "state/counters.h"
#include "state/instance_list.h"
#include "state/random.h"

#define GB_POOL_MEMBERS_MAX 64
/* Members that are asked for their load about one CALL. */
#define GB_POOL_SAMPLE_MAX 3

/* Other agent of the same service, and what it last said of itself. */
struct GbPoolMember {
    uint64_t instance_id;
    struct GbAddress address;
    /* When the member appeared in the instance list. */
    int64_t listed_us;
    bool is_listed_leaving;
    bool has_reported;
    int64_t last_report_us;
    uint64_t incarnation;
    struct GbLoad load;
};

/* Members of a pool, as one of them sees the others. */
struct GbPool {
    struct GbPoolMember members[GB_POOL_MEMBERS_MAX];
    uint32_t count;
    /* Agents of the service beyond the members that are held. */
    uint32_t excess;
};

void GbPool_Init(struct GbPool *self);

/* Takes the agents of a service from the instance list and keeps what is
 * known of those that stay. Of more than GB_POOL_MEMBERS_MAX, it holds the
 * neighbours of own_id in the order of ids, half of them on either side, so
 * that two agents always hold each other or neither does. */
void GbPool_SetInstances(struct GbPool *self,
                         const struct GbInstanceList *list,
                         const char *service, uint64_t own_id, int64_t now_us,
                         struct GbCounters *counters);

/* Member by instance id; NULL if there is none. */
struct GbPoolMember *GbPool_Find(struct GbPool *self, uint64_t instance_id);

/* Records what a member said of itself. */
void GbPoolMember_RecordReport(struct GbPoolMember *member,
                               const struct GbAddress *address,
                               uint64_t incarnation, const struct GbLoad *load,
                               int64_t now_us);

/* Whether new flows may go to the member: it was heard of lately, is not
 * leaving and its target takes work. */
bool GbPoolMember_IsUsable(const struct GbPoolMember *member, int64_t now_us);

/* Chooses up to GB_POOL_SAMPLE_MAX different usable members at random. Returns
 * their number. */
uint32_t GbPool_SampleUsable(struct GbPool *self, struct GbRandom *random,
                             int64_t now_us,
                             struct GbPoolMember *chosen[GB_POOL_SAMPLE_MAX]);

/* Usable member with the least load, as last heard; NULL if there is none. */
struct GbPoolMember *GbPool_LeastLoaded(struct GbPool *self, int64_t now_us);

/* Agents that share the limits of the service, with this one. A member that
 * is new in the list counts until it has had the time to be heard. */
uint32_t GbPool_CountLimitSharers(const struct GbPool *self, int64_t now_us);

/* Order of loads by (running + queued) / capacity: negative, zero or positive
 * as a is less, as much or more loaded than b. No capacity is the highest
 * load. */
int GbLoad_Compare(const struct GbLoad *a, const struct GbLoad *b);

#endif
