#ifndef GB_COORDINATION_AGENT_H
#define GB_COORDINATION_AGENT_H

#include "coordination/agent_port.h"
#include "coordination/slots.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/flow_table.h"
#include "state/random.h"
#include "state/timer_queue.h"
#include "state/view.h"

/* Time from the issue of a token within which it may make a flow record. */
#define GB_TOKEN_FIRST_USE_MS 10000

/* How work at the target ended. */
enum GbTargetEnd {
    /* The answer is complete. */
    GB_TARGET_WHOLE,
    /* The connection failed before anything was written. */
    GB_TARGET_NOT_STARTED,
    /* The target says that it refused before running. */
    GB_TARGET_SHED,
    /* Anything else: it may have run. */
    GB_TARGET_FAILED
};

struct GbAgentConfig {
    uint64_t instance_id;
    uint64_t incarnation;
    /* Name of the service of the target beside this agent. */
    char service[GB_NAME_BYTES];
    struct GbAddress address;
};

/* Decisions of the agent beside one target: the only place that runs,
 * refuses, remembers and answers the requests of its flows. */
struct GbAgent {
    struct GbAgentConfig config;
    struct GbAgentPort *port;
    struct GbClock *clock;
    struct GbRandom *random;
    struct GbCounters *counters;
    struct GbView *view;
    /* Own service in the view; NULL until a document names it. */
    const struct GbService *service;
    struct GbFlowTable flows;
    struct GbSlots slots;
    struct GbTimerQueue timers;
    /* Struct GbRequest at the target, by work id. */
    GHashTable *works;
    uint64_t last_work_id;
    uint32_t request_count;
    bool is_draining;
    int64_t drain_started_us;
};

/* port, clock, random and counters must outlive self. */
void GbAgent_Init(struct GbAgent *self, const struct GbAgentConfig *config,
                  struct GbAgentPort *port, struct GbClock *clock,
                  struct GbRandom *random, struct GbCounters *counters);

void GbAgent_Finish(struct GbAgent *self);

/* Takes over the caller's reference of view. */
void GbAgent_SetView(struct GbAgent *self, struct GbView *view);

/* Handles a message of a caller that came through a balancer. */
void GbAgent_Receive(struct GbAgent *self, const struct GbPath *path,
                     const struct GbMessage *message);

/* Handles a message of another agent, whose token was genuine. */
void GbAgent_ReceiveMember(struct GbAgent *self, const struct GbAddress *from,
                           const struct GbMessage *message);

/* The target has sent the head of its answer. */
void GbAgent_TargetAnswered(struct GbAgent *self, uint64_t work_id,
                            uint16_t target_status);

/* The target has sent bytes of its answer, within the room it was allowed. */
void GbAgent_TargetSent(struct GbAgent *self, uint64_t work_id,
                        struct GbBytes bytes);

void GbAgent_TargetEnded(struct GbAgent *self, uint64_t work_id,
                         enum GbTargetEnd end);

/* The instance is leaving: from now on new flows go elsewhere. */
void GbAgent_Drain(struct GbAgent *self);

/* Whether a draining agent has nothing left to do. */
bool GbAgent_IsDrained(const struct GbAgent *self);

struct GbLoad GbAgent_Load(const struct GbAgent *self);

/* When GbAgent_Tick is next wanted, in time of the monotonic clock;
 * GB_TIMER_NEVER if not at all. */
int64_t GbAgent_NextTimerUs(const struct GbAgent *self);

/* Does what is due. */
void GbAgent_Tick(struct GbAgent *self);

#endif
