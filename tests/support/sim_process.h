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
    /* Time of the stop request; GB_SIM_NEVER if there is none. */
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
    /* Time when draining started; GB_SIM_NEVER if it has not. */
    int64_t drain_us;
};

struct GbSimCaller {
    struct GbCaller core;
    struct GbCallerEndpoint endpoint;
    struct GbResultPort result_port;
    struct GbService service;
    /* Struct GbCallerFlow by session name. */
    GHashTable *sessions;
};

/* One process: the production core and message encoding with simulated clock,
 * network, platform and target. */
struct GbSimProcess {
    struct GbSimNode node;
    struct GbSimulation *simulation;
    enum GbSimRole role;
    enum GbSimState state;
    /* The clocks of the processes start at different times. */
    struct GbManualClock clock;
    int64_t clock_offset_us;
    int64_t wall_offset_us;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct GbDatagramPort datagram_port;
    struct GbRevisionListener revision_listener;
    struct GbSimPlatformClient platform_client;
    int64_t poll_us;
    /* Inputs and outputs pending while the process is paused or busy. */
    GQueue inbox;
    GQueue outbox;
    /* Nested calls into the core that have not returned. */
    uint32_t call_depth;
    bool has_core;
    union {
        struct GbSimBalancer balancer;
        struct GbSimAgent agent;
        struct GbSimCaller caller;
    };
};

/* Creates a stopped process. service is the service of an agent's target or of
 * a caller's calls; NULL for a balancer. */
struct GbSimProcess *GbSimProcess_New(struct GbSimulation *simulation,
                                      enum GbSimRole role, const char *name,
                                      const struct GbAddress *address,
                                      const char *service);

void GbSimProcess_Free(struct GbSimProcess *self);

/* Starts the process with a new incarnation. */
void GbSimProcess_Start(struct GbSimProcess *self);

/* For sim_io: frees the core of a process that was killed. */
void GbSimProcess_FinishCore(struct GbSimProcess *self);

/* Terminates the process immediately, also from within a step. */
void GbSimProcess_Kill(struct GbSimProcess *self);

void GbSimProcess_Pause(struct GbSimProcess *self);

/* Resumes the process: it performs its pending outputs, then handles its
 * pending inputs and due timers, in either order. */
void GbSimProcess_Resume(struct GbSimProcess *self);

/* Planned stop: an agent drains, a balancer forwards until it has received no
 * datagram for some time, a caller terminates. */
void GbSimProcess_Stop(struct GbSimProcess *self);

/* Time of the next timer or poll of the process; GB_SIM_NEVER if there
 * is none. */
int64_t GbSimProcess_NextTimerUs(struct GbSimProcess *self);

/* Runs the timers that are due. */
void GbSimProcess_Tick(struct GbSimProcess *self);

/* Starts a call on a session of a caller. Returns false if the call could not
 * be started. context is passed back with the outcome. */
bool GbSimProcess_StartCall(struct GbSimProcess *self, const char *session,
                            const char *operation, const char *body,
                            void *context);

#endif
