#ifndef GB_COORDINATION_FLOWS_VIEW_GOSSIP_H
#define GB_COORDINATION_FLOWS_VIEW_GOSSIP_H

#include "coordination/flows/view_fallback.h"
#include "coordination/flows/view_startup.h"
#include "coordination/flows/view_store.h"
#include "state/random.h"

#define GB_VIEW_PEERS_MAX 64

struct GbViewGossipPort;

/* Actions of the gossip protocol. */
struct GbViewGossipPortClass {
    /* Announces the own version to a peer, with the time since the platform
     * confirmed that nothing is newer. */
    void (*announce)(struct GbViewGossipPort *self, uint32_t peer_ipv4,
                     const struct GbViewVersion *version, uint32_t age_ms);
    /* Requests newer changes from a peer. Completes with a call of
     * GbViewGossip_FinishPull. */
    void (*pull)(struct GbViewGossipPort *self, uint32_t peer_ipv4);
    /* Starts or stops reading from the platform. */
    void (*read_platform)(struct GbViewGossipPort *self, bool is_wanted);
};

struct GbViewGossipPort {
    const struct GbViewGossipPortClass *klass;
};

struct GbViewPeer {
    uint32_t ipv4;
    /* Monotonic time of the last announcement; 0 for a seed. */
    int64_t last_seen_us;
};

struct GbViewGossipConfig {
    uint32_t own_ipv4;
    /* Always reads from the platform, on behalf of all processes. */
    bool is_reader;
    /* Cannot work without a view. */
    bool is_view_urgent;
};

/* Gossip protocol that spreads routes and instances, and decides which
 * processes read from the platform. Readers always read. All processes
 * periodically announce their version and its age to a few random peers, and a
 * peer with an older version pulls the difference. A process without a current
 * version for the time of GbViewFallback reads from the platform itself.
 * GbViewStartup decides how a process without any view gets its first one. */
struct GbViewGossip {
    struct GbViewGossipConfig config;
    struct GbViewGossipPort *port;
    struct GbClock *clock;
    struct GbRandom *random;
    /* Must outlive self. */
    struct GbViewStore *store;
    struct GbViewStartup startup;
    /* Seeds and recent senders of announcements, which may be missing from the
     * instance list. */
    struct GbViewPeer peers[GB_VIEW_PEERS_MAX];
    uint32_t peer_count;
    /* Monotonic time at which the stored version was last confirmed as current
     * by the platform or by a peer, and the latest such time from a peer. */
    int64_t confirmed_us;
    int64_t peer_confirmed_us;
    /* Monotonic time at which the startup was done. */
    int64_t started_us;
    struct GbViewVersion announced_version;
    /* Monotonic time of the next periodic announcement. */
    int64_t next_round_us;
    struct GbViewFallback fallback;
    /* Peer of the pull in progress; 0 if none. */
    uint32_t pull_peer_ipv4;
    /* Version that this peer has announced, and the monotonic time at which it
     * was confirmed. */
    struct GbViewVersion pull_version;
    int64_t pull_confirmed_us;
    /* Monotonic time of the next pull of what a reduced view lacks. */
    int64_t next_completion_us;
    /* Monotonic time of the next pull of the history of the routes, and the
     * delay of the one after it. */
    int64_t next_history_pull_us;
    int64_t history_period_us;
    /* Replies to announcements that may still be sent in this round. */
    uint32_t replies_left;
    bool is_reading;
};

/* All pointers must outlive self. */
void GbViewGossip_Init(struct GbViewGossip *self,
                       const struct GbViewGossipConfig *config,
                       struct GbViewGossipPort *port,
                       struct GbViewStore *store, struct GbClock *clock,
                       struct GbRandom *random);

/* Adds a seed, which may be missing from the instance list. */
void GbViewGossip_AddPeer(struct GbViewGossip *self, uint32_t ipv4);

/* Sets whether the process always reads from the platform. */
void GbViewGossip_SetReader(struct GbViewGossip *self, bool is_reader);

/* Records that the platform has just confirmed the stored version, after the
 * process has read all of it. */
void GbViewGossip_RecordConfirmation(struct GbViewGossip *self);

/* Announces the stored version to random peers if it has advanced. */
void GbViewGossip_AnnounceChange(struct GbViewGossip *self);

/* Handles a peer's announcement of its version and its age. */
void GbViewGossip_ReceiveAnnouncement(struct GbViewGossip *self,
                                      uint32_t from_ipv4,
                                      const struct GbViewVersion *version,
                                      uint32_t age_ms);

/* Records the end of a pull, successful or not. */
void GbViewGossip_FinishPull(struct GbViewGossip *self);

/* Returns the time since the stored version was last confirmed. */
int64_t GbViewGossip_AgeUs(const struct GbViewGossip *self);

int64_t GbViewGossip_NextTimerUs(const struct GbViewGossip *self);

void GbViewGossip_Tick(struct GbViewGossip *self);

#endif
