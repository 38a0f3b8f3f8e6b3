#include "coordination/flows/evacuations.h"

#include <glib.h>
#include <string.h>

#include "state/store_position.h"
#include "state/timer_queue.h"

/* Operators write again what a restored store has lost, within this time. */
#define LOST_USE_US INT64_C(10000000)

static bool
is_in_force(const struct GbEvacuation *item)
{
    return !item->is_withdrawn || item->use_until_us != 0;
}

static struct GbEvacuation *
find_item(struct GbEvacuations *self, const char *data_centre)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (strcmp(self->items[i].data_centre, data_centre) == 0) {
            return &self->items[i];
        }
    }
    return NULL;
}

/* Returns the tombstone with the lowest position, or NULL. */
static struct GbEvacuation *
find_oldest_tombstone(struct GbEvacuations *self)
{
    struct GbEvacuation *oldest = NULL;

    for (uint32_t i = 0; i < self->count; i++) {
        struct GbEvacuation *item = &self->items[i];

        if (!is_in_force(item) &&
            (oldest == NULL || item->position < oldest->position)) {
            oldest = item;
        }
    }
    return oldest;
}

/* Returns the item of a data centre. A new one is a tombstone at position 0.
 * Returns NULL if there is no space for it. */
static struct GbEvacuation *
find_or_add_item(struct GbEvacuations *self, const char *data_centre)
{
    struct GbEvacuation *item = find_item(self, data_centre);

    if (item != NULL || strlen(data_centre) >= GB_NAME_BYTES) {
        return item;
    }
    item = self->count < GB_DATA_CENTRES_MAX ? &self->items[self->count++]
                                             : find_oldest_tombstone(self);
    if (item != NULL) {
        memset(item, 0, sizeof(*item));
        g_strlcpy(item->data_centre, data_centre, GB_NAME_BYTES);
        item->is_withdrawn = true;
    }
    return item;
}

void
GbEvacuations_Init(struct GbEvacuations *self, struct GbClock *clock)
{
    memset(self, 0, sizeof(*self));
    self->clock = clock;
}

bool
GbEvacuations_Order(struct GbEvacuations *self, const char *data_centre,
                    uint64_t position)
{
    struct GbEvacuation *item = find_or_add_item(self, data_centre);

    if (item == NULL) {
        return false;
    }
    if (position <= item->position) {
        return true;
    }
    self->is_changed = self->is_changed || !is_in_force(item);
    item->position = position;
    item->is_withdrawn = false;
    item->use_until_us = 0;
    return true;
}

void
GbEvacuations_Withdraw(struct GbEvacuations *self, const char *data_centre,
                       uint64_t position, int64_t use_us)
{
    struct GbEvacuation *item = find_or_add_item(self, data_centre);
    bool was_in_force;

    if (item == NULL || position <= item->position) {
        return;
    }
    was_in_force = is_in_force(item);
    item->position = position;
    item->is_withdrawn = true;
    item->use_until_us =
        use_us > 0 ? GbClock_MonotonicUs(self->clock) + use_us : 0;
    self->is_changed = self->is_changed || was_in_force != is_in_force(item);
}

void
GbEvacuations_WithdrawUnlisted(struct GbEvacuations *self,
                               const struct GbDataCentreSet *listed,
                               uint64_t position)
{
    for (uint32_t i = 0; i < self->count; i++) {
        const struct GbEvacuation *item = &self->items[i];
        bool is_older_era = GbStorePosition_Era(item->position) <
                            GbStorePosition_Era(position);

        if (!item->is_withdrawn &&
            !GbDataCentreSet_Contains(listed, item->data_centre)) {
            GbEvacuations_Withdraw(self, item->data_centre, position,
                                   is_older_era ? LOST_USE_US : 0);
        }
    }
}

const struct GbEvacuation *
GbEvacuations_Find(const struct GbEvacuations *self, const char *data_centre)
{
    return find_item((struct GbEvacuations *)self, data_centre);
}

int64_t
GbEvacuations_UseLeftUs(const struct GbEvacuations *self,
                        const struct GbEvacuation *evacuation)
{
    if (evacuation->use_until_us == 0) {
        return 0;
    }
    return MAX(evacuation->use_until_us - GbClock_MonotonicUs(self->clock), 0);
}

void
GbEvacuations_Collect(struct GbEvacuations *self, struct GbDataCentreSet *set)
{
    GbDataCentreSet_Init(set);
    for (uint32_t i = 0; i < self->count; i++) {
        if (is_in_force(&self->items[i])) {
            GbDataCentreSet_Add(set, self->items[i].data_centre);
        }
    }
    self->is_changed = false;
}

int64_t
GbEvacuations_NextTimerUs(const struct GbEvacuations *self)
{
    int64_t next_us = GB_TIMER_NEVER;

    for (uint32_t i = 0; i < self->count; i++) {
        if (self->items[i].use_until_us != 0) {
            next_us = MIN(next_us, self->items[i].use_until_us);
        }
    }
    return next_us;
}

void
GbEvacuations_Tick(struct GbEvacuations *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    for (uint32_t i = 0; i < self->count; i++) {
        struct GbEvacuation *item = &self->items[i];

        if (item->use_until_us != 0 && item->use_until_us <= now_us) {
            item->use_until_us = 0;
            self->is_changed = true;
        }
    }
}
