#ifndef GB_COORDINATION_FLOWS_VIEW_GOSSIP_H
#define GB_COORDINATION_FLOWS_VIEW_GOSSIP_H

#include "coordination/flows/view_store.h"
#include "state/random.h"

#define GB_VIEW_PEERS_MAX 64

struct GbViewGossipPort;

/* What the spread of views causes. */
struct GbViewGossipPortClass {
    /* Tells another process what this one knows, and how long ago the
     * platform confirmed that nothing is newer. */
    void (*announce)(struct GbViewGossipPort *self, uint32_t peer_ipv4,
                     const struct GbViewVersion *version, uint32_t age_ms);
    /* Asks another process for what is newer. Ends with a call of
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
    int64_t last_seen_us;
};

struct GbViewGossipConfig {
    uint32_t own_ipv4;
    /* Keeps reading from the platform, for all others. */
    bool is_reader;
};

/* Decides who reads from the platform and how news reaches the rest. Readers
 * read all the time. All processes tell a few random ones what they have and
 * how current it is; whoever has less pulls the difference. A process that
 * has heard nothing current for a while reads for itself. */
struct GbViewGossip {
    struct GbViewGossipConfig config;
    struct GbViewGossipPort *port;
    struct GbClock *clock;
    struct GbRandom *random;
    /* Must outlive self. */
    struct GbViewStore *store;
    /* Processes that were heard lately; they may not be in the list. */
    struct GbViewPeer peers[GB_VIEW_PEERS_MAX];
    uint32_t peer_count;
    /* Monotonic time at which all that is known here was current, and the
     * latest such time that other processes gave. */
    int64_t confirmed_us;
    int64_t peer_confirmed_us;
    /* What was last announced. */
    struct GbViewVersion announced_version;
    int64_t next_round_us;
    /* Silence after which the process reads for itself. */
    int64_t fallback_delay_us;
    /* Peer that is being asked; 0 if none. */
    uint32_t pull_peer_ipv4;
    uint32_t replies_left;
    bool is_reading;
};

/* All pointers must outlive self. */
void GbViewGossip_Init(struct GbViewGossip *self,
                       const struct GbViewGossipConfig *config,
                       struct GbViewGossipPort *port,
                       struct GbViewStore *keeper, struct GbClock *clock,
                       struct GbRandom *random);

/* Adds a process that may not be in the instance list, such as a seed. */
void GbViewGossip_AddPeer(struct GbViewGossip *self, uint32_t ipv4);

/* Whether the process keeps reading from the platform for all others. */
void GbViewGossip_SetReader(struct GbViewGossip *self, bool is_reader);

/* The platform has just confirmed what the keeper has. */
void GbViewGossip_RecordConfirmation(struct GbViewGossip *self);

/* The keeper may have something new: tells others of it. */
void GbViewGossip_AnnounceChange(struct GbViewGossip *self);

/* Another process has announced what it has. */
void GbViewGossip_ReceiveAnnouncement(struct GbViewGossip *self,
                                      uint32_t from_ipv4,
                                      const struct GbViewVersion *version,
                                      uint32_t age_ms);

/* A pull has ended, with or without success. */
void GbViewGossip_FinishPull(struct GbViewGossip *self);

/* Time since what is known here was current. */
int64_t GbViewGossip_AgeUs(const struct GbViewGossip *self);

int64_t GbViewGossip_NextTimerUs(const struct GbViewGossip *self);

void GbViewGossip_Tick(struct GbViewGossip *self);

#endif
