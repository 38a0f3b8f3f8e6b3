#include "coordination/flows/flow_pool.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS INT64_C(1000)
/* Members report every 100 ms; two reports in a row may be lost. */
#define REPORT_TIMEOUT_US INT64_C(350000)

struct RingPosition {
    const struct GbInstance *instance;
    /* Distance from the own address in the circular order of addresses. */
    uint32_t distance;
};

static int
compare_distance(const void *a, const void *b)
{
    uint32_t x = ((const struct RingPosition *)a)->distance;
    uint32_t y = ((const struct RingPosition *)b)->distance;

    return (x > y) - (x < y);
}

/* The remaining warm-up time in an entry is that of the time at which the
 * entry was written, so it counts once. */
static void
set_warmup_end(struct GbFlowMember *member, const struct GbInstance *instance,
               int64_t now_us)
{
    member->warmup_end_us = now_us + instance->cold_ms * US_PER_MS;
    member->revision = instance->revision;
    member->born_ms = instance->born_ms;
}

static void
add_member(struct GbFlowPool *self, struct GbFlowPool *old,
           const struct GbRoutingView *view, const struct GbInstance *instance,
           const char *data_centre, int64_t now_us)
{
    struct GbFlowMember *member = &self->members[self->count++];
    const struct GbFlowMember *previous =
        GbFlowPool_Find(old, instance->address.ipv4);

    if (previous != NULL) {
        *member = *previous;
    }
    else {
        memset(member, 0, sizeof(*member));
        member->last_report_us = INT64_MIN / 2;
        member->listed_us = now_us;
    }
    if (previous == NULL || previous->revision != instance->revision ||
        previous->born_ms != instance->born_ms) {
        set_warmup_end(member, instance, now_us);
    }
    member->ipv4 = instance->address.ipv4;
    member->slots = instance->weight;
    member->is_leaving = instance->is_leaving;
    member->is_evacuated =
        GbRoutingView_IsEvacuated(view, instance->data_centre);
    member->is_same_data_centre =
        strcmp(instance->data_centre, data_centre) == 0;
}

void
GbFlowPool_Init(struct GbFlowPool *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbFlowPool_SetView(struct GbFlowPool *self, const struct GbRoutingView *view,
                   uint64_t service_id, uint32_t own_ipv4,
                   const char *data_centre, int64_t now_us)
{
    const struct GbInstanceList *list = view->list;
    struct RingPosition *sorted = calloc(list->count + 1, sizeof(*sorted));
    struct GbFlowPool old = *self;
    uint32_t count = 0;

    GbFlowPool_Init(self);
    for (uint32_t i = 0; sorted != NULL && i < list->count; i++) {
        const struct GbInstance *instance = &list->instances[i];

        if (instance->service_id == service_id &&
            instance->address.ipv4 != own_ipv4) {
            sorted[count].instance = instance;
            sorted[count++].distance = instance->address.ipv4 - own_ipv4;
        }
    }
    if (count > 0) {
        qsort(sorted, count, sizeof(*sorted), compare_distance);
    }
    for (uint32_t i = 0; i < count; i++) {
        if (count <= GB_FLOW_POOL_MEMBERS_MAX ||
            i < GB_FLOW_POOL_MEMBERS_MAX / 2 ||
            i >= count - GB_FLOW_POOL_MEMBERS_MAX / 2) {
            add_member(self, &old, view, sorted[i].instance, data_centre,
                       now_us);
        }
    }
    free(sorted);
}

struct GbFlowMember *
GbFlowPool_Find(struct GbFlowPool *self, uint32_t ipv4)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (self->members[i].ipv4 == ipv4) {
            return &self->members[i];
        }
    }
    return NULL;
}

bool
GbFlowMember_IsUsable(const struct GbFlowMember *member, int64_t now_us)
{
    return now_us - member->last_report_us < REPORT_TIMEOUT_US &&
           !member->is_leaving && !member->is_evacuated &&
           !member->load.is_draining && member->load.capacity > 0;
}

bool
GbFlowMember_MayBeUsable(const struct GbFlowMember *member, int64_t now_us)
{
    return GbFlowMember_IsUsable(member, now_us) ||
           (now_us - member->listed_us < REPORT_TIMEOUT_US &&
            !member->is_leaving && !member->is_evacuated);
}
