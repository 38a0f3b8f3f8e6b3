#ifndef GB_COORDINATION_CALLS_AGENT_H
#define GB_COORDINATION_CALLS_AGENT_H

#include "coordination/calls/agent_port.h"
#include "coordination/calls/handover.h"
#include "coordination/calls/rate_limit.h"
#include "coordination/calls/slot_reservations.h"
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

/* Time after the issue of a token during which its first use may create a
 * flow record. */
#define GB_TOKEN_FIRST_USE_MS 10000

/* Memory for responses that callers have not fetched, half of what an agent
 * may use. No request starts while it is used up, so that the requests at the
 * target can exceed it by at most one window per slot. */
#define GB_RESPONSE_BUFFER_BYTES_MAX (32 * 1024 * 1024)

/* Time from the start of a drain for which flows that were created during the
 * drain may still reach the target. */
#define GB_DRAIN_NEW_FLOW_GRACE_US INT64_C(2000000)

/* Reasons for an agent to drain. Bits of one word: the agent drains while any
 * of them is set. */
enum GbDrainCause {
    /* The process was asked to stop. This cause is never cleared. */
    GB_DRAIN_STOP = 1,
    GB_DRAIN_INSTANCE_LIST = 2,
    GB_DRAIN_HEALTH = 4
};

/* Outcome of a request at the target. */
enum GbTargetOutcome {
    /* The response is complete. */
    GB_TARGET_COMPLETED,
    /* The connection failed before anything was written. */
    GB_TARGET_NOT_STARTED,
    /* The target refused the request without running it. */
    GB_TARGET_SHED,
    /* Any other failure: the request may have run. */
    GB_TARGET_FAILED
};

struct GbAgentConfig {
    uint64_t instance_id;
    uint64_t incarnation;
    /* Name of the service of the target beside this agent. */
    char service[GB_NAME_BYTES];
    struct GbAddress address;
};

/* Decisions of the agent beside one target. Only this agent runs, refuses,
 * records and answers the requests of the flows that are bound to it. */
struct GbAgent {
    struct GbAgentConfig config;
    struct GbAgentPort *port;
    struct GbClock *clock;
    struct GbRandom *random;
    struct GbCounters *counters;
    struct GbView *view;
    /* Own service in the view; NULL until a document contains it. */
    const struct GbService *service;
    struct GbFlowTable flows;
    struct GbSlots slots;
    struct GbTimerQueue timers;
    /* Struct GbRequest at the target, by work id. */
    GHashTable *requests_by_work_id;
    uint64_t last_work_id;
    uint32_t request_count;
    /* Total capacity of the ring buffers of all responses. */
    uint64_t response_buffer_bytes;
    struct GbPool pool;
    struct GbHandover handover;
    struct GbRecentCalls recent_calls;
    struct GbSlotReservations reservations;
    struct GbTargetState target_state;
    struct GbRateLimit rate_limit;
    int64_t next_alive_us;
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

/* Takes ownership of the caller's reference to view. */
void GbAgent_SetView(struct GbAgent *self, struct GbView *view);

/* Handles a message of a caller, forwarded by a balancer. */
void GbAgent_Receive(struct GbAgent *self, const struct GbReturnPath *path,
                     const struct GbMessage *message);

/* Handles a message of another agent. Its token has been authenticated. */
void GbAgent_ReceiveFromMember(struct GbAgent *self,
                               const struct GbAddress *from,
                               const struct GbMessage *message);

/* Handles the head of a response from the target. */
void GbAgent_HandleTargetHead(struct GbAgent *self, uint64_t work_id,
                              uint16_t target_status);

/* Handles response bytes from the target. The request fails if they exceed the
 * window that the port was given. */
void GbAgent_HandleTargetBytes(struct GbAgent *self, uint64_t work_id,
                               struct GbBytes bytes);

/* Handles the end of a request at the target. */
void GbAgent_HandleTargetEnd(struct GbAgent *self, uint64_t work_id,
                             enum GbTargetOutcome outcome);

/* Sets the result of the latest poll of the target's health endpoint. */
void GbAgent_SetTargetHealth(struct GbAgent *self, enum GbTargetHealth health);

/* Sets the number of slots that the target's load endpoint reported; 0 if
 * unknown. */
void GbAgent_SetTargetSlots(struct GbAgent *self, uint32_t slots);

/* Starts to drain for GB_DRAIN_STOP: new flows are handed over from now on. */
void GbAgent_StartDrain(struct GbAgent *self);

/* Returns true if new flows may be placed here: the agent is not draining and
 * its target accepts connections. */
bool GbAgent_AcceptsNewFlows(const struct GbAgent *self);

/* Returns true if an unbound CALL of this class could start here now: a slot
 * is free and not reserved for the holder of a new token. */
bool GbAgent_HasFreeSlot(const struct GbAgent *self,
                         enum GbOperationClass work_class);

/* Returns true if the agent has been draining for at least
 * GB_DRAIN_NEW_FLOW_GRACE_US. */
bool GbAgent_IsNewFlowGraceOver(const struct GbAgent *self, int64_t now_us);

/* Returns true if the agent is draining and may exit: its drain time has
 * passed, no request is left and no caller may still use a token. */
bool GbAgent_IsDrained(const struct GbAgent *self);

struct GbLoad GbAgent_Load(const struct GbAgent *self);

/* Monotonic time of the next call of GbAgent_Tick; GB_TIMER_NEVER if none is
 * needed. */
int64_t GbAgent_NextTimerUs(const struct GbAgent *self);

/* Runs the actions whose timers are due. */
void GbAgent_Tick(struct GbAgent *self);

#endif
