#ifndef GB_COORDINATION_PEER_CHOICE_H
#define GB_COORDINATION_PEER_CHOICE_H

#include <stdbool.h>

#include "state/instance_list.h"
#include "state/random.h"

/* Announcements that wait to be followed up. */
#define GB_ANNOUNCEMENTS_MAX 4
/* Peers that a new process tries. */
#define GB_TRIED_PEERS_MAX 6

struct GbAnnouncement {
    struct GbAddress from;
    struct GbRevision revision;
};

/* Other processes that may be asked for documents or told of them. Only
 * addresses of the instance list qualify: anyone can send an announcement,
 * and following it connects to where it came from. */
struct GbPeerChoice {
    uint64_t own_id;
    struct GbAddress *addresses;
    uint32_t count;
    struct GbAnnouncement announcements[GB_ANNOUNCEMENTS_MAX];
    uint32_t announcement_count;
    struct GbAddress tried[GB_TRIED_PEERS_MAX];
    uint32_t tried_count;
};

void GbPeerChoice_Init(struct GbPeerChoice *self, uint64_t own_id);

void GbPeerChoice_Finish(struct GbPeerChoice *self);

/* Takes the addresses of all instances but the own one. */
void GbPeerChoice_SetList(struct GbPeerChoice *self,
                          const struct GbInstanceList *list);

bool GbPeerChoice_Contains(const struct GbPeerChoice *self,
                           const struct GbAddress *address);

/* Picks up to count different random peers. Returns how many there are. */
uint32_t GbPeerChoice_Sample(const struct GbPeerChoice *self,
                             struct GbRandom *random, struct GbAddress *sample,
                             uint32_t count);

/* Picks a random peer that was not tried yet and marks it as tried. Returns
 * false if there is none or if enough were tried. */
bool GbPeerChoice_Try(struct GbPeerChoice *self, struct GbRandom *random,
                      struct GbAddress *peer);

/* Remembers an announcement. With too many of them it is dropped: the peer
 * repeats it. */
void GbPeerChoice_Announced(struct GbPeerChoice *self,
                            const struct GbAnnouncement *announcement);

/* Removes the announcement of the highest revision. Returns false if there is
 * none. */
bool GbPeerChoice_TakeHighest(struct GbPeerChoice *self,
                              struct GbAnnouncement *announcement);

#endif
