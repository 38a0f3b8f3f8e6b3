#ifndef GB_COORDINATION_FLOWS_VIEW_SPREAD_H
#define GB_COORDINATION_FLOWS_VIEW_SPREAD_H

#include "coordination/flows/view_keeper.h"
#include "state/random.h"

#define GB_VIEW_PEERS_MAX 64

struct GbViewSpreadPort;

/* What the spread of views causes. */
struct GbViewSpreadPortClass {
    /* Tells another process what this one knows, and how long ago the
     * platform confirmed that nothing is newer. */
    void (*announce)(struct GbViewSpreadPort *self, uint32_t peer_ipv4,
                     const struct GbViewVersion *version, uint32_t age_ms);
    /* Asks another process for what is newer. Ends with a call of
     * GbViewSpread_Pulled. */
    void (*pull)(struct GbViewSpreadPort *self, uint32_t peer_ipv4);
    /* Starts or stops reading from the platform. */
    void (*read_platform)(struct GbViewSpreadPort *self, bool is_wanted);
};

struct GbViewSpreadPort {
    const struct GbViewSpreadPortClass *klass;
};

struct GbViewPeer {
    uint32_t ipv4;
    int64_t heard_us;
};

struct GbViewSpreadConfig {
    uint32_t own_ipv4;
    /* Keeps reading from the platform, for all others. */
    bool is_reader;
};

/* Decides who reads from the platform and how news reaches the rest. Readers
 * read all the time. All processes tell a few random ones what they have and
 * how current it is; whoever has less pulls the difference. A process that
 * has heard nothing current for a while reads for itself. */
struct GbViewSpread {
    struct GbViewSpreadConfig config;
    struct GbViewSpreadPort *port;
    struct GbClock *clock;
    struct GbRandom *random;
    /* Must outlive self. */
    struct GbViewKeeper *keeper;
    /* Processes that were heard lately; they may not be in the list. */
    struct GbViewPeer peers[GB_VIEW_PEERS_MAX];
    uint32_t peer_count;
    /* Monotonic time at which all that is known here was current, and the
     * latest such time that other processes gave. */
    int64_t confirmed_us;
    int64_t peer_confirmed_us;
    /* What was last announced. */
    struct GbViewVersion announced;
    int64_t next_us;
    /* Silence after which the process reads for itself. */
    int64_t patience_us;
    /* Peer that is being asked; 0 if none. */
    uint32_t pulled_ipv4;
    uint32_t replies_left;
    bool is_reading;
};

/* All pointers must outlive self. */
void GbViewSpread_Init(struct GbViewSpread *self,
                       const struct GbViewSpreadConfig *config,
                       struct GbViewSpreadPort *port,
                       struct GbViewKeeper *keeper, struct GbClock *clock,
                       struct GbRandom *random);

/* Adds a process that may not be in the instance list, such as a seed. */
void GbViewSpread_AddPeer(struct GbViewSpread *self, uint32_t ipv4);

/* Whether the process keeps reading from the platform for all others. */
void GbViewSpread_SetReader(struct GbViewSpread *self, bool is_reader);

/* The platform has just confirmed what the keeper has. */
void GbViewSpread_Confirmed(struct GbViewSpread *self);

/* The keeper may have something new: tells others of it. */
void GbViewSpread_Changed(struct GbViewSpread *self);

/* Another process has announced what it has. */
void GbViewSpread_Heard(struct GbViewSpread *self, uint32_t from_ipv4,
                        const struct GbViewVersion *version, uint32_t age_ms);

/* A pull has ended, with or without success. */
void GbViewSpread_Pulled(struct GbViewSpread *self);

/* Time since what is known here was current. */
int64_t GbViewSpread_AgeUs(const struct GbViewSpread *self);

int64_t GbViewSpread_NextTimerUs(const struct GbViewSpread *self);

void GbViewSpread_Tick(struct GbViewSpread *self);

#endif
