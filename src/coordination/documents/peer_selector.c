#include "coordination/documents/peer_selector.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Maximum number of random picks to find a peer that is not excluded. */
#define PICK_ATTEMPTS_MAX 32

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
contains_address(const struct GbAddress *address,
                 const struct GbAddress *excluded, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (GbAddress_Equal(address, &excluded[i])) {
            return true;
        }
    }
    return false;
}

static bool
pick_peer(const struct GbPeerSelector *self, struct GbRandom *random,
          const struct GbAddress *excluded, uint32_t excluded_count,
          struct GbAddress *picked)
{
    if (self->count <= PICK_ATTEMPTS_MAX) {
        /* With few peers, random picks might miss the only one that is not
         * excluded. */
        uint32_t first =
            self->count > 0 ? GbRandom_Below(random, self->count) : 0;

        for (uint32_t i = 0; i < self->count; i++) {
            *picked = self->addresses[(first + i) % self->count];
            if (!contains_address(picked, excluded, excluded_count)) {
                return true;
            }
        }
        return false;
    }
    for (int i = 0; i < PICK_ATTEMPTS_MAX; i++) {
        *picked = self->addresses[GbRandom_Below(random, self->count)];
        if (!contains_address(picked, excluded, excluded_count)) {
            return true;
        }
    }
    return false;
}

static bool
is_reader(const struct GbPeerSelector *self, const struct GbInstanceList *list)
{
    const struct GbInstance *own = GbInstanceList_Find(list, self->own_id);
    uint32_t lower_ids = 0;

    if (own == NULL) {
        return true;
    }
    for (uint32_t i = 0; i < list->count; i++) {
        const struct GbInstance *other = &list->instances[i];

        lower_ids += !other->is_leaving && other->id < own->id &&
                     strcmp(other->data_centre, own->data_centre) == 0;
    }
    return lower_ids < GB_READERS_PER_DATA_CENTRE;
}

void
GbPeerSelector_Init(struct GbPeerSelector *self, uint64_t own_id)
{
    memset(self, 0, sizeof(*self));
    self->own_id = own_id;
    self->is_reader = true;
}

void
GbPeerSelector_Finish(struct GbPeerSelector *self)
{
    g_free(self->addresses);
    self->addresses = NULL;
    self->count = 0;
}

void
GbPeerSelector_SetList(struct GbPeerSelector *self,
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
GbPeerSelector_Contains(const struct GbPeerSelector *self,
                        const struct GbAddress *address)
{
    return self->count > 0 &&
           bsearch(address, self->addresses, self->count,
                   sizeof(*self->addresses), compare_address) != NULL;
}

uint32_t
GbPeerSelector_Sample(const struct GbPeerSelector *self,
                      struct GbRandom *random, struct GbAddress *sample,
                      uint32_t count)
{
    uint32_t found = 0;

    while (found < count &&
           pick_peer(self, random, sample, found, &sample[found])) {
        found++;
    }
    return found;
}

bool
GbPeerSelector_PickUntried(struct GbPeerSelector *self,
                           struct GbRandom *random, struct GbAddress *peer)
{
    if (self->tried_count == GB_BOOTSTRAP_TRIES_MAX ||
        !pick_peer(self, random, self->tried, self->tried_count, peer)) {
        return false;
    }
    self->tried[self->tried_count++] = *peer;
    return true;
}

void
GbPeerSelector_AddAnnouncement(struct GbPeerSelector *self,
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
GbPeerSelector_TakeHighestAnnouncement(struct GbPeerSelector *self,
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
