#include "coordination/documents/peer_choice.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Random picks before giving up on one that differs from the others. */
#define PICKS_MAX 32

static int
compare_address(const void *a, const void *b)
{
    const struct GbAddress *address_a = a;
    const struct GbAddress *address_b = b;

    if (address_a->ipv4 != address_b->ipv4) {
        return address_a->ipv4 < address_b->ipv4 ? -1 : 1;
    }
    return (address_a->port > address_b->port) -
           (address_a->port < address_b->port);
}

static bool
is_among(const struct GbAddress *address, const struct GbAddress *others,
         uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (GbAddress_Equal(address, &others[i])) {
            return true;
        }
    }
    return false;
}

static bool
pick(const struct GbPeerChoice *self, struct GbRandom *random,
     const struct GbAddress *others, uint32_t other_count,
     struct GbAddress *picked)
{
    if (self->count <= PICKS_MAX) {
        /* With few peers random picks could miss the last one that is
         * left. */
        uint32_t first =
            self->count > 0 ? GbRandom_Below(random, self->count) : 0;

        for (uint32_t i = 0; i < self->count; i++) {
            *picked = self->addresses[(first + i) % self->count];
            if (!is_among(picked, others, other_count)) {
                return true;
            }
        }
        return false;
    }
    for (int i = 0; i < PICKS_MAX; i++) {
        *picked = self->addresses[GbRandom_Below(random, self->count)];
        if (!is_among(picked, others, other_count)) {
            return true;
        }
    }
    return false;
}

static bool
is_reader(const struct GbPeerChoice *self, const struct GbInstanceList *list)
{
    const struct GbInstance *own = GbInstanceList_Find(list, self->own_id);
    uint32_t before = 0;

    if (own == NULL) {
        return true;
    }
    for (uint32_t i = 0; i < list->count; i++) {
        const struct GbInstance *other = &list->instances[i];

        before += !other->is_leaving && other->id < own->id &&
                  strcmp(other->data_centre, own->data_centre) == 0;
    }
    return before < GB_READERS_PER_DATA_CENTRE;
}

void
GbPeerChoice_Init(struct GbPeerChoice *self, uint64_t own_id)
{
    memset(self, 0, sizeof(*self));
    self->own_id = own_id;
    self->is_reader = true;
}

void
GbPeerChoice_Finish(struct GbPeerChoice *self)
{
    g_free(self->addresses);
    self->addresses = NULL;
    self->count = 0;
}

void
GbPeerChoice_SetList(struct GbPeerChoice *self,
                     const struct GbInstanceList *list)
{
    g_free(self->addresses);
    self->addresses = g_new(struct GbAddress, list->count);
    self->count = 0;
    self->is_reader = is_reader(self, list);
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->instances[i].id != self->own_id) {
            self->addresses[self->count++] = list->instances[i].address;
        }
    }
    if (self->count > 0) {
        qsort(self->addresses, self->count, sizeof(*self->addresses),
              compare_address);
    }
}

bool
GbPeerChoice_Contains(const struct GbPeerChoice *self,
                      const struct GbAddress *address)
{
    return self->count > 0 &&
           bsearch(address, self->addresses, self->count,
                   sizeof(*self->addresses), compare_address) != NULL;
}

uint32_t
GbPeerChoice_Sample(const struct GbPeerChoice *self, struct GbRandom *random,
                    struct GbAddress *sample, uint32_t count)
{
    uint32_t found = 0;

    while (found < count &&
           pick(self, random, sample, found, &sample[found])) {
        found++;
    }
    return found;
}

bool
GbPeerChoice_Try(struct GbPeerChoice *self, struct GbRandom *random,
                 struct GbAddress *peer)
{
    if (self->tried_count == GB_TRIED_PEERS_MAX ||
        !pick(self, random, self->tried, self->tried_count, peer)) {
        return false;
    }
    self->tried[self->tried_count++] = *peer;
    return true;
}

void
GbPeerChoice_Announced(struct GbPeerChoice *self,
                       const struct GbAnnouncement *announcement)
{
    for (uint32_t i = 0; i < self->announcement_count; i++) {
        if (GbAddress_Equal(&self->announcements[i].from,
                            &announcement->from)) {
            self->announcements[i] = *announcement;
            return;
        }
    }
    if (self->announcement_count < GB_ANNOUNCEMENTS_MAX) {
        self->announcements[self->announcement_count++] = *announcement;
    }
}

bool
GbPeerChoice_TakeHighest(struct GbPeerChoice *self,
                         struct GbAnnouncement *announcement)
{
    uint32_t best = 0;

    if (self->announcement_count == 0) {
        return false;
    }
    for (uint32_t i = 1; i < self->announcement_count; i++) {
        if (GbRevision_Compare(&self->announcements[i].revision,
                               &self->announcements[best].revision) > 0) {
            best = i;
        }
    }
    *announcement = self->announcements[best];
    self->announcements[best] =
        self->announcements[--self->announcement_count];
    return true;
}
