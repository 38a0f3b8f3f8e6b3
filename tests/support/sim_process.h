#ifndef GB_SUPPORT_SIM_PROCESS_H
#define GB_SUPPORT_SIM_PROCESS_H

#include "protocol/agent_endpoint.h"
#include "protocol/balancer_endpoint.h"
#include "protocol/caller_endpoint.h"
#include "support/sim_network.h"
#include "support/sim_platform.h"
#include "support/sim_target.h"

struct GbSimulation;

enum GbSimRole { GB_SIM_BALANCER, GB_SIM_AGENT, GB_SIM_CALLER };

enum GbSimState { GB_SIM_STOPPED, GB_SIM_RUNNING, GB_SIM_PAUSED };

struct GbSimBalancer {
    struct GbBalancer core;
    struct GbBalancerEndpoint endpoint;
    /* Set when it is being stopped. */
    int64_t stop_us;
    int64_t last_datagram_us;
};

struct GbSimAgent {
    struct GbAgent core;
    struct GbAgentEndpoint endpoint;
    struct GbTargetPort target_port;
    struct GbSimTargetListener target_listener;
    struct GbSimTarget target;
    char service[GB_SIM_NAME_BYTES];
    /* When it was told to leave; GB_SIM_NEVER if not. */
    int64_t drain_us;
};

struct GbSimCaller {
    struct GbCaller core;
    struct GbCallerEndpoint endpoint;
    struct GbResultPort result_port;
    struct GbService service;
    /* Struct GbCallerFlow by name. */
    GHashTable *sessions;
};

/* One process: the real decisions and the real encoding over fakes. */
struct GbSimProcess {
    struct GbSimNode node;
    struct GbSimulation *simulation;
    enum GbSimRole role;
    enum GbSimState state;
    /* Each process has a clock of its own, with another start. */
    struct GbManualClock clock;
    int64_t clock_offset_us;
    int64_t wall_offset_us;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct GbDatagramPort datagram_port;
    struct GbRevisionListener revision_listener;
    struct GbSimPlatformClient platform_client;
    int64_t poll_us;
    /* What waits while the process is paused or busy. */
    GQueue inbox;
    GQueue outbox;
    /* Calls into the decisions that have not returned. */
    uint32_t call_depth;
    bool has_core;
    union {
        struct GbSimBalancer balancer;
        struct GbSimAgent agent;
        struct GbSimCaller caller;
    };
};

/* Makes a stopped process. service is that of an agent's target or of the
 * caller's calls; NULL for a balancer. */
struct GbSimProcess *GbSimProcess_New(struct GbSimulation *simulation,
                                      enum GbSimRole role, const char *name,
                                      const struct GbAddress *address,
                                      const char *service);

void GbSimProcess_Free(struct GbSimProcess *self);

/* Starts the process with a new incarnation. */
void GbSimProcess_Start(struct GbSimProcess *self);

/* For sim_io: frees the decisions of a process that was killed. */
void GbSimProcess_FinishCore(struct GbSimProcess *self);

/* Ends the process at once, even in the middle of what it does. */
void GbSimProcess_Kill(struct GbSimProcess *self);

void GbSimProcess_Pause(struct GbSimProcess *self);

/* Wakes the process: what it was doing goes on, then it receives what has
 * been queued, and its timers are due. */
void GbSimProcess_Resume(struct GbSimProcess *self);

/* Planned stop: agents drain, balancers go on until it is quiet. */
void GbSimProcess_Stop(struct GbSimProcess *self);

/* When the process next wants to run by itself; GB_SIM_NEVER if not. */
int64_t GbSimProcess_NextTimerUs(struct GbSimProcess *self);

void GbSimProcess_Tick(struct GbSimProcess *self);

/* Starts a call on a session of a caller. Returns false if the caller does
 * not run. context comes back with the outcome. */
bool GbSimProcess_StartCall(struct GbSimProcess *self, const char *session,
                            const char *operation, const char *body,
                            void *context);

#endif
