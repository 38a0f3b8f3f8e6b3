#include "support/policy_simulation.h"

#include <math.h>
#include <string.h>

#include "support/policy_fleet.h"

#define US_PER_MS 1000.0
#define LONG_ONE_IN 100
#define LONG_FACTOR 50
#define PEAK_LOAD 0.85
#define PEAK_TO_TROUGH 10.0
/* Cycle of the demand: a rise of 2 s, the peak, a fall of 2 s, the trough. */
#define CYCLE_US INT64_C(30000000)
#define RISE_US INT64_C(2000000)
#define PEAK_US INT64_C(12000000)
#define WINDOW_US INT64_C(10000000)
#define REPORT_PERIOD_US INT64_C(100000)
#define STALE_REPORT_PERIOD_US INT64_C(1000000)
#define COLD_US INT64_C(3000000)
#define COLD_FACTOR 5
#define SLOW_FACTOR 10
#define MANTISSA_BITS 53

/* Call of a simulated caller. */
struct DemandCall {
    struct PolicySimulation *simulation;
    struct GbCallerFlow flow;
    bool is_counted;
    bool is_peak;
    int64_t deadline_us;
};

struct PolicySimulation {
    const struct PolicyScenario *scenario;
    struct PolicyFleet fleet;
    /* Source of the demand. The fleet has its own, so that the demand does not
     * depend on the policy. */
    struct GbSeededRandom demand;
    int64_t start_us;
    int64_t end_us;
    double peak_per_us;
    struct PolicyResult *result;
    uint32_t windows;
};

/* Event of the simulation, as opposed to those of the fleet. */
struct SimulationEvent {
    struct Event super;
    struct PolicySimulation *simulation;
};

static double
random_uniform(struct PolicySimulation *self)
{
    return ((double)(GbRandom_Next(&self->demand.super) >>
                     (64 - MANTISSA_BITS)) +
            0.5) /
           (double)(UINT64_C(1) << MANTISSA_BITS);
}

static int64_t
now_us(const struct PolicySimulation *self)
{
    return self->fleet.clock.monotonic_us;
}

static int64_t
cycle_phase_us(const struct PolicySimulation *self, int64_t at_us)
{
    return (at_us - self->start_us) % CYCLE_US;
}

static bool
is_peak(const struct PolicySimulation *self, int64_t at_us)
{
    int64_t phase_us = cycle_phase_us(self, at_us);

    return phase_us >= RISE_US && phase_us < RISE_US + PEAK_US;
}

/* Demand at a point in time, as a share of the demand at the peak. */
static double
demand_share(const struct PolicySimulation *self, int64_t at_us)
{
    double low = 1 / PEAK_TO_TROUGH;
    int64_t phase_us = cycle_phase_us(self, at_us);

    if (phase_us < RISE_US) {
        return low + (1 - low) * (double)phase_us / (double)RISE_US;
    }
    if (phase_us < RISE_US + PEAK_US) {
        return 1;
    }
    phase_us -= RISE_US + PEAK_US;
    if (phase_us < RISE_US) {
        return 1 - (1 - low) * (double)phase_us / (double)RISE_US;
    }
    return low;
}

static void
post_event(struct PolicySimulation *self, void (*run)(struct Event *, void *),
           int64_t at_us)
{
    struct SimulationEvent *event = g_new0(struct SimulationEvent, 1);

    event->super.run = run;
    event->simulation = self;
    event_queue_push(&self->fleet.events, &event->super, at_us);
}

static void
record_result(void *context, const struct GbCallerResult *result)
{
    struct DemandCall *call = context;
    struct PolicyResult *totals = call->simulation->result;

    if (call->is_counted && call->is_peak) {
        double elapsed_ms = (double)result->elapsed_us / US_PER_MS;

        totals->counted_calls++;
        if (result->outcome == GB_OUTCOME_ANSWERED &&
            result->elapsed_us <= call->deadline_us) {
            totals->in_time++;
        }
        g_array_append_val(totals->latencies, elapsed_ms);
    }
    g_free(call);
}

static void
add_call(struct Event *event, void *context)
{
    struct PolicySimulation *self =
        ((struct SimulationEvent *)event)->simulation;
    double share = demand_share(self, now_us(self));
    bool is_submitted = random_uniform(self) < share;
    double relative_duration = -log(random_uniform(self));
    bool is_longer = random_uniform(self) * LONG_ONE_IN < 1 &&
                     self->scenario->demand != DEMAND_LONG_ONLY;
    uint32_t caller = GbRandom_Below(&self->demand.super, CALLERS);
    int64_t next_us =
        now_us(self) +
        (int64_t)(-log(random_uniform(self)) / self->peak_per_us) + 1;

    (void)context;
    if (next_us < self->end_us) {
        post_event(self, add_call, next_us);
    }
    if (is_submitted) {
        struct DemandCall *call = g_new0(struct DemandCall, 1);
        double factor = is_longer ? LONG_FACTOR : 1;

        call->simulation = self;
        call->is_peak = is_peak(self, now_us(self));
        /* The first cycle is the warm-up. */
        call->is_counted =
            !is_longer && now_us(self) - self->start_us >= CYCLE_US;
        call->deadline_us = (int64_t)self->fleet.document->services[0]
                                .operations[0]
                                .deadline_ms *
                            1000;
        policy_fleet_start_call(
            &self->fleet, caller, &call->flow,
            (int64_t)(relative_duration * factor *
                      (double)self->scenario->mean_service_time_us) +
                1,
            is_longer, call);
    }
}

static void
update_reports(struct Event *event, void *context)
{
    struct PolicySimulation *self =
        ((struct SimulationEvent *)event)->simulation;

    (void)context;
    policy_fleet_update_reports(&self->fleet);
    if (now_us(self) < self->end_us) {
        post_event(self, update_reports,
                   now_us(self) + (self->scenario->fault == FAULT_WRONG_REPORTS
                                       ? STALE_REPORT_PERIOD_US
                                       : REPORT_PERIOD_US));
    }
}

static void
end_cold_start(struct Event *event, void *context)
{
    (void)context;
    ((struct SimulationEvent *)event)
        ->simulation->fleet.service_time_factors[0] = 1;
}

static void
start_peak(struct Event *event, void *context)
{
    struct PolicySimulation *self =
        ((struct SimulationEvent *)event)->simulation;

    (void)context;
    policy_fleet_reset_statistics(&self->fleet);
    if (self->scenario->fault == FAULT_COLD_TARGET) {
        struct PolicyInstance *instance = &self->fleet.instances[0];

        self->fleet.service_time_factors[0] = COLD_FACTOR;
        post_event(self, end_cold_start, now_us(self) + COLD_US);
        GbAgent_SetTargetHealth(&instance->agent, GB_HEALTH_REFUSED);
        GbSlots_StartRamp(&instance->agent.slots, now_us(self));
        GbAgent_SetTargetHealth(&instance->agent, GB_HEALTH_OK);
        policy_fleet_arm_agent_timer(instance);
    }
    if (now_us(self) + CYCLE_US < self->end_us) {
        post_event(self, start_peak, now_us(self) + CYCLE_US);
    }
}

static void
measure_window(struct Event *event, void *context)
{
    struct PolicySimulation *self =
        ((struct SimulationEvent *)event)->simulation;
    uint32_t instance_count = self->scenario->instances;
    double busy_sum = 0;
    double busy_max = 0;
    double started_sum = 0;
    double started_max = 0;

    (void)context;
    for (uint32_t i = 0; i < instance_count; i++) {
        const struct PolicyInstance *instance = &self->fleet.instances[i];

        busy_sum += (double)instance->busy_us;
        busy_max = fmax(busy_max, (double)instance->busy_us);
        started_sum += instance->started_count;
        started_max = fmax(started_max, instance->started_count);
    }
    if (now_us(self) - self->start_us >= CYCLE_US) {
        self->windows++;
        self->result->busy_imbalance += busy_max * instance_count / busy_sum;
        self->result->request_imbalance +=
            started_max * instance_count / started_sum;
    }
    if (now_us(self) + CYCLE_US < self->end_us) {
        post_event(self, measure_window, now_us(self) + CYCLE_US);
    }
}

static gint
compare_latency(gconstpointer a, gconstpointer b)
{
    double latency_a = *(const double *)a;
    double latency_b = *(const double *)b;

    return (latency_a > latency_b) - (latency_a < latency_b);
}

static void
collect_totals(struct PolicySimulation *self)
{
    struct PolicyResult *result = self->result;

    for (uint32_t i = 0; i < CALLERS; i++) {
        result->all_calls += self->fleet.callers[i].caller.calls_made;
        result->submissions += self->fleet.callers[i].caller.submissions_made;
    }
    result->submissions -= self->fleet.tokens_issued;
    for (uint32_t i = 0; i < self->scenario->instances; i++) {
        const struct GbCounters *counters = &self->fleet.instances[i].counters;

        result->handovers += counters->values[GB_COUNTER_HANDOVERS_SENT];
        result->load_asks += counters->values[GB_COUNTER_LOAD_ASKS];
    }
    result->busy_imbalance /= self->windows;
    result->request_imbalance /= self->windows;
    g_array_sort(result->latencies, compare_latency);
}

void
policy_simulation_run(const struct PolicyScenario *scenario,
                      enum Policy policy, uint64_t seed, uint32_t cycles,
                      struct PolicyResult *result)
{
    struct PolicySimulation *self = g_new0(struct PolicySimulation, 1);
    double mean_service_time_us = (double)scenario->mean_service_time_us *
                                  (1 + (LONG_FACTOR - 1.0) / LONG_ONE_IN);
    struct Event *event;

    memset(result, 0, sizeof(*result));
    result->latencies = g_array_new(FALSE, FALSE, sizeof(double));
    self->scenario = scenario;
    self->result = result;
    self->peak_per_us = PEAK_LOAD * scenario->instances * scenario->slots /
                        mean_service_time_us;
    policy_fleet_init(&self->fleet, scenario, policy, seed + 1);
    self->fleet.call_finished = record_result;
    GbSeededRandom_Init(&self->demand, seed);
    self->start_us = now_us(self);
    self->end_us = self->start_us + cycles * CYCLE_US;
    if (scenario->fault == FAULT_SLOW_TARGET) {
        self->fleet.service_time_factors[0] = SLOW_FACTOR;
    }
    post_event(self, add_call, self->start_us);
    post_event(self, update_reports, self->start_us);
    post_event(self, start_peak, self->start_us + RISE_US);
    post_event(self, measure_window, self->start_us + RISE_US + WINDOW_US);
    while ((event = event_queue_pop(&self->fleet.events)) != NULL &&
           event->at_us < self->end_us) {
        GbManualClock_Advance(&self->fleet.clock, event->at_us - now_us(self));
        event->run(event, &self->fleet);
        g_free(event);
    }
    g_free(event);
    collect_totals(self);
    policy_fleet_finish(&self->fleet);
    g_free(self);
}

void
policy_result_finish(struct PolicyResult *result)
{
    g_array_free(result->latencies, TRUE);
}
