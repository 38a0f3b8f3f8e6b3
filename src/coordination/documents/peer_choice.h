#ifndef GB_COORDINATION_DOCUMENTS_PEER_CHOICE_H
#define GB_COORDINATION_DOCUMENTS_PEER_CHOICE_H

#include <stdbool.h>

#include "state/instance_list.h"
#include "state/random.h"

/* Announcements that wait to be followed up. */
#define GB_ANNOUNCEMENTS_MAX 4
/* Processes of a data centre that keep a watch on the platform's head. With 4
 * the others still have one when three fail at once, and 5 data centres make
 * 20 calls at a change instead of 9,230. */
#define GB_READERS_PER_DATA_CENTRE 4
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
    /* Whether this process is one of the readers of its data centre, by the
     * order of ids in the instance list: nobody elects them. True for a
     * process that the list does not name. */
    bool is_reader;
};

void GbPeerChoice_Init(struct GbPeerChoice *self, uint64_t own_id);

void GbPeerChoice_Finish(struct GbPeerChoice *self);

/* Takes the addresses of all instances but the own one, and decides whether
 * this process is a reader. */
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
