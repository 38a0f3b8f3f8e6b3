#ifndef GB_TESTS_SUPPORT_POLICY_HOSTS_H
#define GB_TESTS_SUPPORT_POLICY_HOSTS_H

#include "coordination/calls/agent.h"
#include "coordination/calls/balancer.h"
#include "coordination/calls/caller.h"
#include "support/event_queue.h"
#include "support/policy_simulation.h"

#define HOSTS_MAX 16
#define CALLERS 16
#define SERVICE_ID 1
#define AGENTS_NETWORK 0x0a000000

struct PolicyFleet;

/* Agent and its target. */
struct Host {
    struct GbAgentPort port;
    struct PolicyFleet *fleet;
    uint32_t index;
    struct GbAgent agent;
    struct GbCounters counters;
    int64_t wake_us;
    /* Work at the target, by work id. */
    GHashTable *works;
    /* Work that waits for a slot of the target. */
    GQueue waiting;
    uint32_t active;
    /* Since the last call of policy_fleet_reset_load. */
    int64_t busy_us;
    uint32_t started;
    struct GbLoad reported;
};

struct CallerHost {
    struct GbCallerPort port;
    struct PolicyFleet *fleet;
    uint32_t index;
    struct GbCaller caller;
    int64_t wake_us;
};

/* Hosts, callers and the network between them. */
struct PolicyFleet {
    const struct Scenario *scenario;
    enum Policy policy;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct EventQueue events;
    struct GbCounters counters;
    struct GbBalancer balancer;
    struct GbDocument *document;
    uint64_t tokens_issued;
    struct Host hosts[HOSTS_MAX];
    struct CallerHost callers[CALLERS];
    /* Factor on the time of work, by host. */
    int64_t slowness[HOSTS_MAX];
    void (*delivered)(void *context, const struct GbCallerResult *result);
};

void policy_fleet_init(struct PolicyFleet *self,
                       const struct Scenario *scenario, enum Policy policy,
                       uint64_t seed);

void policy_fleet_finish(struct PolicyFleet *self);

/* Starts a call on a flow of its own. is_longer is set for the 1 in 100 that
 * takes 50 times longer. delivered is given context. */
void policy_fleet_call(struct PolicyFleet *self, uint32_t caller,
                       struct GbCallerFlow *flow, int64_t service_us,
                       bool is_longer, void *context);

/* Publishes the load that every host reports to POLICY_TWO_CHOICES. */
void policy_fleet_report(struct PolicyFleet *self);

/* Sets the agent's timer after the agent was called from outside. */
void policy_fleet_arm(struct Host *host);

void policy_fleet_reset_load(struct PolicyFleet *self);

/* Lets an event happen later. */
void policy_fleet_post(struct PolicyFleet *self, struct Event *event,
                       int64_t after_us);

/* Sets the caller's timer after the caller was called from outside. */
void policy_fleet_arm_caller(struct CallerHost *caller);

#endif
