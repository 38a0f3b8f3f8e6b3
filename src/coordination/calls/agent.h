#ifndef GB_COORDINATION_CALLS_AGENT_H
#define GB_COORDINATION_CALLS_AGENT_H

#include "coordination/calls/agent_port.h"
#include "coordination/calls/handover.h"
#include "coordination/calls/rate_limit.h"
#include "coordination/calls/reservations.h"
#include "coordination/calls/slots.h"
#include "coordination/calls/target_state.h"
#include "coordination/placement/pool.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/flow_table.h"
#include "state/random.h"
#include "state/recent_calls.h"
#include "state/timer_queue.h"
#include "state/view.h"

/* Time from the issue of a token within which it may make a flow record. */
#define GB_TOKEN_FIRST_USE_MS 10000

/* Memory for answers that callers have not fetched, half of what an agent may
 * use. No request is started beyond it, so that it is exceeded by one
 * window for each slot at most. */
#define GB_ANSWERS_BYTES_MAX (32 * 1024 * 1024)

/* From this time on, no flow that is new since the leave reaches the target
 * of a leaving agent. */
#define GB_DRAIN_NEW_FLOW_US INT64_C(2000000)

/* How an agent learns that it is leaving. Bits of one word: it stays while
 * any of them holds. */
enum GbDrainCause {
    /* The process was told to stop. It does not end. */
    GB_DRAIN_STOP = 1,
    GB_DRAIN_INSTANCE_LIST = 2,
    GB_DRAIN_HEALTH = 4
};

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
    /* Capacity of the rings of all answers. */
    uint64_t answer_bytes;
    struct GbPool pool;
    struct GbHandover handover;
    struct GbRecentCalls recent_calls;
    struct GbReservations reservations;
    struct GbTargetState target_state;
    struct GbRateLimit rate_limit;
    int64_t alive_us;
    /* Bits of GbDrainCause. */
    uint32_t drain_causes;
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
void GbAgent_Receive(struct GbAgent *self, const struct GbReturnPath *path,
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

/* The health endpoint of the target has been read. */
void GbAgent_TargetHealth(struct GbAgent *self, enum GbTargetHealth health);

/* The load endpoint of the target has been read. slots is 0 if unknown. */
void GbAgent_TargetLoad(struct GbAgent *self, uint32_t slots);

/* The instance is leaving: from now on new flows go elsewhere. */
void GbAgent_Drain(struct GbAgent *self);

/* Whether new flows may be placed here: the agent is not leaving and its
 * target takes connections. */
bool GbAgent_TakesNewFlows(const struct GbAgent *self);

/* Whether an unbound CALL of this class should be placed here: a slot is free
 * that no token holder is about to take. */
bool GbAgent_HasRoom(const struct GbAgent *self,
                     enum GbOperationClass work_class);

/* Whether the drain is so far that no new flow may reach the target. */
bool GbAgent_IsPastNewFlows(const struct GbAgent *self, int64_t now_us);

/* Whether a draining agent has nothing left to do. */
bool GbAgent_IsDrained(const struct GbAgent *self);

struct GbLoad GbAgent_Load(const struct GbAgent *self);

/* When GbAgent_Tick is next wanted, in time of the monotonic clock;
 * GB_TIMER_NEVER if not at all. */
int64_t GbAgent_NextTimerUs(const struct GbAgent *self);

/* Does what is due. */
void GbAgent_Tick(struct GbAgent *self);

#endif
