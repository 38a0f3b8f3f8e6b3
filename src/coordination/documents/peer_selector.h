#ifndef GB_COORDINATION_DOCUMENTS_PEER_SELECTOR_H
#define GB_COORDINATION_DOCUMENTS_PEER_SELECTOR_H

#include <stdbool.h>

#include "state/instance_list.h"
#include "state/random.h"

/* Limit on announcements that are queued for a pull. */
#define GB_ANNOUNCEMENTS_MAX 4
/* Processes of a data centre that keep a watch on the platform's head. With 4
 * readers one remains when three fail at once, and 5 data centres make 20
 * calls at a change instead of 9,230. */
#define GB_READERS_PER_DATA_CENTRE 4
/* Limit on the peers that a new process tries to reach. */
#define GB_BOOTSTRAP_TRIES_MAX 6

/* Document revision that a peer has announced. */
struct GbAnnouncement {
    struct GbAddress from;
    struct GbRevision revision;
};

/* Peers from which documents are pulled and to which revisions are
 * announced. Only addresses of the instance list qualify: anyone can send an
 * announcement, and a pull connects to the address that it came from. */
struct GbPeerSelector {
    uint64_t own_id;
    /* Addresses of the peers, sorted. */
    struct GbAddress *addresses;
    uint32_t count;
    struct GbAnnouncement announcements[GB_ANNOUNCEMENTS_MAX];
    uint32_t announcement_count;
    struct GbAddress tried[GB_BOOTSTRAP_TRIES_MAX];
    uint32_t tried_count;
    /* True if this process is a reader: one of the first
     * GB_READERS_PER_DATA_CENTRE of its data centre by instance id, so that no
     * election is needed. Also true if the list does not contain this
     * process. */
    bool is_reader;
};

void GbPeerSelector_Init(struct GbPeerSelector *self, uint64_t own_id);

void GbPeerSelector_Finish(struct GbPeerSelector *self);

/* Replaces the peers by all instances of the list but this process, and
 * updates is_reader. */
void GbPeerSelector_SetList(struct GbPeerSelector *self,
                            const struct GbInstanceList *list);

bool GbPeerSelector_Contains(const struct GbPeerSelector *self,
                             const struct GbAddress *address);

/* Picks up to count distinct random peers. Returns the number picked. */
uint32_t GbPeerSelector_Sample(const struct GbPeerSelector *self,
                               struct GbRandom *random,
                               struct GbAddress *sample, uint32_t count);

/* Picks a random peer that was not tried yet and marks it as tried. Returns
 * false if there is none or if GB_BOOTSTRAP_TRIES_MAX peers were tried. */
bool GbPeerSelector_PickUntried(struct GbPeerSelector *self,
                                struct GbRandom *random,
                                struct GbAddress *peer);

/* Queues an announcement, in place of an earlier one of the same peer. If the
 * queue is full it is dropped: the peer repeats it. */
void GbPeerSelector_AddAnnouncement(struct GbPeerSelector *self,
                                    const struct GbAnnouncement *announcement);

/* Removes the announcement of the highest revision from the queue. Returns
 * false if the queue is empty. */
bool
GbPeerSelector_TakeHighestAnnouncement(struct GbPeerSelector *self,
                                       struct GbAnnouncement *announcement);

#endif
