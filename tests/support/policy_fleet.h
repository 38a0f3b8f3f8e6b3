#ifndef GB_TESTS_SUPPORT_POLICY_FLEET_H
#define GB_TESTS_SUPPORT_POLICY_FLEET_H

#include "coordination/calls/agent.h"
#include "coordination/calls/balancer.h"
#include "coordination/calls/caller.h"
#include "support/event_queue.h"
#include "support/policy_simulation.h"

#define POLICY_INSTANCES_MAX 16
#define CALLERS 16
#define SERVICE_ID 1
#define AGENTS_NETWORK 0x0a000000

struct PolicyFleet;

/* Agent and its target. */
struct PolicyInstance {
    struct GbAgentPort port;
    struct PolicyFleet *fleet;
    uint32_t index;
    struct GbAgent agent;
    struct GbCounters counters;
    /* Due time of the pending timer event; GB_TIMER_NEVER if there is none. */
    int64_t timer_us;
    /* Requests at the target, by work id. */
    GHashTable *requests;
    /* Requests that wait for a slot of the target. */
    GQueue queue;
    /* Occupied slots of the target. */
    uint32_t running;
    /* Time that slots were busy and number of started requests since the last
     * call of policy_fleet_reset_statistics. */
    int64_t busy_us;
    uint32_t started_count;
    /* Load of the last policy_fleet_update_reports. */
    struct GbLoad reported;
};

struct PolicyCaller {
    struct GbCallerPort port;
    struct PolicyFleet *fleet;
    uint32_t index;
    struct GbCaller caller;
    int64_t timer_us;
};

/* Instances, callers and the network between them. */
struct PolicyFleet {
    const struct PolicyScenario *scenario;
    enum Policy policy;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct EventQueue events;
    struct GbCounters counters;
    struct GbBalancer balancer;
    struct GbDocument *document;
    uint64_t tokens_issued;
    struct PolicyInstance instances[POLICY_INSTANCES_MAX];
    struct PolicyCaller callers[CALLERS];
    /* By instance: factor on the time that its target takes for a request. */
    int64_t service_time_factors[POLICY_INSTANCES_MAX];
    /* Receives the result of a call and the context that the call was started
     * with. */
    void (*call_finished)(void *context, const struct GbCallerResult *result);
};

void policy_fleet_init(struct PolicyFleet *self,
                       const struct PolicyScenario *scenario,
                       enum Policy policy, uint64_t seed);

void policy_fleet_finish(struct PolicyFleet *self);

/* Starts a call on a flow of its own; service_time_us is the time that a
 * target takes for it. is_longer marks the 1 in 100 calls that take 50 times
 * as long. context is passed to call_finished. */
void policy_fleet_start_call(struct PolicyFleet *self, uint32_t caller_index,
                             struct GbCallerFlow *flow,
                             int64_t service_time_us, bool is_longer,
                             void *context);

/* Updates the load that every instance reports, for POLICY_TWO_CHOICES. */
void policy_fleet_update_reports(struct PolicyFleet *self);

/* Posts an event for the agent's next timer. Needed after each call of the
 * agent. */
void policy_fleet_arm_agent_timer(struct PolicyInstance *instance);

void policy_fleet_reset_statistics(struct PolicyFleet *self);

/* Posts an event that is due after_us from now. */
void policy_fleet_post(struct PolicyFleet *self, struct Event *event,
                       int64_t after_us);

/* Posts an event for the caller's next timer. Needed after each call of the
 * caller. */
void policy_fleet_arm_caller_timer(struct PolicyCaller *caller);

#endif
