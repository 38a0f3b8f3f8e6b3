#include "coordination/placement/pool.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* A member counts as gone only after more than two lost ALIVE messages in a
 * row. */
#define REPORT_TIMEOUT_US INT64_C(3500000)
#define MEMBERS_PER_SIDE (GB_POOL_MEMBERS_MAX / 2)

static int
compare_id(gconstpointer a, gconstpointer b)
{
    uint64_t id_a = (*(const struct GbInstance *const *)a)->id;
    uint64_t id_b = (*(const struct GbInstance *const *)b)->id;

    return (id_a > id_b) - (id_a < id_b);
}

/* Returns the other agents of the service in the circular order of ids,
 * starting after own_id. */
static GPtrArray *
sorted_after_own(const struct GbInstanceList *list, const char *service,
                 uint64_t own_id)
{
    GPtrArray *sorted = g_ptr_array_new();
    GPtrArray *rotated = g_ptr_array_new();
    guint start = 0;

    for (uint32_t i = 0; i < list->count; i++) {
        const struct GbInstance *instance = &list->instances[i];

        if (instance->role == GB_ROLE_AGENT && instance->id != own_id &&
            strcmp(instance->service, service) == 0) {
            g_ptr_array_add(sorted, (gpointer)instance);
        }
    }
    g_ptr_array_sort(sorted, compare_id);
    while (start < sorted->len &&
           ((const struct GbInstance *)sorted->pdata[start])->id < own_id) {
        start++;
    }
    for (guint i = 0; i < sorted->len; i++) {
        g_ptr_array_add(rotated, sorted->pdata[(start + i) % sorted->len]);
    }
    g_ptr_array_free(sorted, TRUE);
    return rotated;
}

static void
add_member(struct GbPool *self, struct GbPool *old,
           const struct GbInstance *instance, int64_t now_us)
{
    struct GbPoolMember *member = &self->members[self->count++];
    const struct GbPoolMember *previous = GbPool_Find(old, instance->id);

    if (previous != NULL) {
        *member = *previous;
    }
    else {
        memset(member, 0, sizeof(*member));
        member->instance_id = instance->id;
        member->listed_us = now_us;
    }
    /* The address in a recent report is newer than the one in the list. */
    if (!member->has_reported ||
        now_us - member->last_report_us >= REPORT_TIMEOUT_US) {
        member->address = instance->address;
    }
    member->is_listed_leaving = instance->is_leaving;
}

static bool
is_live(const struct GbPoolMember *member, int64_t now_us)
{
    return member->has_reported &&
           now_us - member->last_report_us < REPORT_TIMEOUT_US;
}

void
GbPool_Init(struct GbPool *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbPool_SetInstances(struct GbPool *self, const struct GbInstanceList *list,
                    const char *service, uint64_t own_id, int64_t now_us,
                    struct GbCounters *counters)
{
    GPtrArray *sorted = sorted_after_own(list, service, own_id);
    struct GbPool old = *self;

    GbPool_Init(self);
    for (guint i = 0; i < sorted->len; i++) {
        if (sorted->len <= GB_POOL_MEMBERS_MAX || i < MEMBERS_PER_SIDE ||
            i >= sorted->len - MEMBERS_PER_SIDE) {
            add_member(self, &old, sorted->pdata[i], now_us);
        }
        else {
            self->excess++;
        }
    }
    GbCounters_Add(counters, GB_COUNTER_MEMBERS_EXCESS, self->excess);
    g_ptr_array_free(sorted, TRUE);
}

struct GbPoolMember *
GbPool_Find(struct GbPool *self, uint64_t instance_id)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (self->members[i].instance_id == instance_id) {
            return &self->members[i];
        }
    }
    return NULL;
}

void
GbPoolMember_RecordReport(struct GbPoolMember *member,
                          const struct GbAddress *address,
                          uint64_t incarnation, const struct GbLoad *load,
                          int64_t now_us)
{
    member->has_reported = true;
    member->last_report_us = now_us;
    member->address = *address;
    member->incarnation = incarnation;
    member->load = *load;
}

bool
GbPoolMember_IsUsable(const struct GbPoolMember *member, int64_t now_us)
{
    return is_live(member, now_us) && !member->is_listed_leaving &&
           !member->load.is_draining && member->load.capacity > 0;
}

uint32_t
GbPool_SampleUsable(struct GbPool *self, struct GbRandom *random,
                    int64_t now_us,
                    struct GbPoolMember *chosen[GB_POOL_SAMPLE_MAX])
{
    struct GbPoolMember *usable[GB_POOL_MEMBERS_MAX];
    uint32_t usable_count = 0;
    uint32_t count = 0;

    for (uint32_t i = 0; i < self->count; i++) {
        if (GbPoolMember_IsUsable(&self->members[i], now_us)) {
            usable[usable_count++] = &self->members[i];
        }
    }
    while (count < GB_POOL_SAMPLE_MAX && usable_count > 0) {
        uint32_t at = GbRandom_Below(random, usable_count);

        chosen[count++] = usable[at];
        usable[at] = usable[--usable_count];
    }
    return count;
}

struct GbPoolMember *
GbPool_LeastLoaded(struct GbPool *self, int64_t now_us)
{
    struct GbPoolMember *best = NULL;

    for (uint32_t i = 0; i < self->count; i++) {
        struct GbPoolMember *member = &self->members[i];

        if (GbPoolMember_IsUsable(member, now_us) &&
            (best == NULL || GbLoad_Compare(&member->load, &best->load) < 0)) {
            best = member;
        }
    }
    return best;
}

uint32_t
GbPool_CountLimitSharers(const struct GbPool *self, int64_t now_us)
{
    uint32_t sharers = 1 + self->excess;

    for (uint32_t i = 0; i < self->count; i++) {
        const struct GbPoolMember *member = &self->members[i];
        bool is_new = !member->has_reported &&
                      now_us - member->listed_us < REPORT_TIMEOUT_US;

        if (!member->is_listed_leaving && !member->load.is_draining &&
            (is_new || is_live(member, now_us))) {
            sharers++;
        }
    }
    return sharers;
}

int
GbLoad_Compare(const struct GbLoad *a, const struct GbLoad *b)
{
    uint64_t work_a = (uint64_t)a->running + a->queued;
    uint64_t work_b = (uint64_t)b->running + b->queued;

    if (a->capacity == 0 || b->capacity == 0) {
        return (a->capacity == 0) - (b->capacity == 0);
    }
    /* Cross-multiplication does not overflow 64 bits, because no process has
     * as many as 2^32 requests. */
    return (work_a * b->capacity > work_b * a->capacity) -
           (work_a * b->capacity < work_b * a->capacity);
}
