#include "support/policy_simulation.h"

#include <math.h>
#include <string.h>

#include "support/policy_hosts.h"

#define US_PER_MS 1000.0
#define LONG_IN 100
#define LONG_FACTOR 50
#define PEAK_LOAD 0.85
#define SWING 10.0
/* One cycle of demand: a rise within 2 s, the peak, a fall, a trough. */
#define CYCLE_US INT64_C(30000000)
#define RISE_US INT64_C(2000000)
#define PEAK_US INT64_C(12000000)
#define WINDOW_US INT64_C(10000000)
#define REPORT_US INT64_C(100000)
#define STALE_REPORT_US INT64_C(1000000)
#define COLD_US INT64_C(3000000)
#define COLD_FACTOR 5
#define SLOW_FACTOR 10
#define MANTISSA_BITS 53

/* Call of the demand. */
struct DemandCall {
    struct Simulation *simulation;
    struct GbCallerFlow flow;
    bool is_counted;
    bool is_peak;
    int64_t deadline_us;
};

struct Simulation {
    const struct Scenario *scenario;
    struct PolicyFleet fleet;
    /* Apart from the fleet's, so that every policy meets the same demand. */
    struct GbSeededRandom demand;
    int64_t start_us;
    int64_t end_us;
    double peak_per_us;
    struct PolicyResult *result;
    uint32_t windows;
};

/* Event that the simulation itself runs. */
struct Mark {
    struct Event super;
    struct Simulation *simulation;
};

static double
uniform(struct Simulation *self)
{
    return ((double)(GbRandom_Next(&self->demand.super) >>
                     (64 - MANTISSA_BITS)) +
            0.5) /
           (double)(UINT64_C(1) << MANTISSA_BITS);
}

static int64_t
now(const struct Simulation *self)
{
    return self->fleet.clock.monotonic_us;
}

static int64_t
phase(const struct Simulation *self, int64_t at_us)
{
    return (at_us - self->start_us) % CYCLE_US;
}

static bool
is_peak(const struct Simulation *self, int64_t at_us)
{
    int64_t phase_us = phase(self, at_us);

    return phase_us >= RISE_US && phase_us < RISE_US + PEAK_US;
}

/* Demand as a share of the peak. */
static double
demand_at(const struct Simulation *self, int64_t at_us)
{
    double low = 1 / SWING;
    int64_t phase_us = phase(self, at_us);

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
post(struct Simulation *self, void (*run)(struct Event *, void *),
     int64_t at_us)
{
    struct Mark *mark = g_new0(struct Mark, 1);

    mark->super.run = run;
    mark->simulation = self;
    event_queue_push(&self->fleet.events, &mark->super, at_us);
}

static void
delivered(void *context, const struct GbCallerResult *result)
{
    struct DemandCall *call = context;
    struct PolicyResult *total = call->simulation->result;

    if (call->is_counted && call->is_peak) {
        double elapsed_ms = (double)result->elapsed_us / US_PER_MS;

        total->calls++;
        if (result->outcome == GB_OUTCOME_ANSWERED &&
            result->elapsed_us <= call->deadline_us) {
            total->in_time++;
        }
        g_array_append_val(total->latencies, elapsed_ms);
    }
    g_free(call);
}

static void
arrive(struct Event *event, void *context)
{
    struct Simulation *self = ((struct Mark *)event)->simulation;
    double share = demand_at(self, now(self));
    bool is_taken = uniform(self) < share;
    double size = -log(uniform(self));
    bool is_longer = uniform(self) * LONG_IN < 1 &&
                     self->scenario->demand != DEMAND_LONG_ONLY;
    uint32_t caller = GbRandom_Below(&self->demand.super, CALLERS);
    int64_t next_us =
        now(self) + (int64_t)(-log(uniform(self)) / self->peak_per_us) + 1;

    (void)context;
    if (next_us < self->end_us) {
        post(self, arrive, next_us);
    }
    if (is_taken) {
        struct DemandCall *call = g_new0(struct DemandCall, 1);
        double factor = is_longer ? LONG_FACTOR : 1;

        call->simulation = self;
        call->is_peak = is_peak(self, now(self));
        /* The first cycle warms up. */
        call->is_counted =
            !is_longer && now(self) - self->start_us >= CYCLE_US;
        call->deadline_us = (int64_t)self->fleet.document->services[0]
                                .operations[0]
                                .deadline_ms *
                            1000;
        policy_fleet_call(
            &self->fleet, caller, &call->flow,
            (int64_t)(size * factor * (double)self->scenario->mean_us) + 1,
            is_longer, call);
    }
}

static void
report(struct Event *event, void *context)
{
    struct Simulation *self = ((struct Mark *)event)->simulation;

    (void)context;
    policy_fleet_report(&self->fleet);
    if (now(self) < self->end_us) {
        post(self, report,
             now(self) + (self->scenario->trouble == TROUBLE_REPORTS
                              ? STALE_REPORT_US
                              : REPORT_US));
    }
}

static void
warm(struct Event *event, void *context)
{
    (void)context;
    ((struct Mark *)event)->simulation->fleet.slowness[0] = 1;
}

static void
begin_peak(struct Event *event, void *context)
{
    struct Simulation *self = ((struct Mark *)event)->simulation;

    (void)context;
    policy_fleet_reset_load(&self->fleet);
    if (self->scenario->trouble == TROUBLE_COLD) {
        struct Host *host = &self->fleet.hosts[0];

        self->fleet.slowness[0] = COLD_FACTOR;
        post(self, warm, now(self) + COLD_US);
        GbAgent_SetTargetHealth(&host->agent, GB_HEALTH_REFUSED);
        GbSlots_StartRamp(&host->agent.slots, now(self));
        GbAgent_SetTargetHealth(&host->agent, GB_HEALTH_OK);
        policy_fleet_arm(host);
    }
    if (now(self) + CYCLE_US < self->end_us) {
        post(self, begin_peak, now(self) + CYCLE_US);
    }
}

static void
end_window(struct Event *event, void *context)
{
    struct Simulation *self = ((struct Mark *)event)->simulation;
    uint32_t hosts = self->scenario->hosts;
    double busy_sum = 0;
    double busy_max = 0;
    double started_sum = 0;
    double started_max = 0;

    (void)context;
    for (uint32_t i = 0; i < hosts; i++) {
        const struct Host *host = &self->fleet.hosts[i];

        busy_sum += (double)host->busy_us;
        busy_max = fmax(busy_max, (double)host->busy_us);
        started_sum += host->started;
        started_max = fmax(started_max, host->started);
    }
    if (now(self) - self->start_us >= CYCLE_US) {
        self->windows++;
        self->result->busy_imbalance += busy_max * hosts / busy_sum;
        self->result->request_imbalance += started_max * hosts / started_sum;
    }
    if (now(self) + CYCLE_US < self->end_us) {
        post(self, end_window, now(self) + CYCLE_US);
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
collect(struct Simulation *self)
{
    struct PolicyResult *result = self->result;

    for (uint32_t i = 0; i < CALLERS; i++) {
        result->all_calls += self->fleet.callers[i].caller.calls_made;
        result->sends += self->fleet.callers[i].caller.submissions_made;
    }
    result->sends -= self->fleet.tokens_issued;
    for (uint32_t i = 0; i < self->scenario->hosts; i++) {
        const struct GbCounters *counters = &self->fleet.hosts[i].counters;

        result->handovers += counters->values[GB_COUNTER_HANDOVERS_SENT];
        result->asks += counters->values[GB_COUNTER_LOAD_ASKS];
    }
    result->busy_imbalance /= self->windows;
    result->request_imbalance /= self->windows;
    g_array_sort(result->latencies, compare_latency);
}

void
policy_simulation_run(const struct Scenario *scenario, enum Policy policy,
                      uint64_t seed, uint32_t cycles,
                      struct PolicyResult *result)
{
    struct Simulation *self = g_new0(struct Simulation, 1);
    double mean_us =
        (double)scenario->mean_us * (1 + (LONG_FACTOR - 1.0) / LONG_IN);
    struct Event *event;

    memset(result, 0, sizeof(*result));
    result->latencies = g_array_new(FALSE, FALSE, sizeof(double));
    self->scenario = scenario;
    self->result = result;
    self->peak_per_us =
        PEAK_LOAD * scenario->hosts * scenario->slots / mean_us;
    policy_fleet_init(&self->fleet, scenario, policy, seed + 1);
    self->fleet.delivered = delivered;
    GbSeededRandom_Init(&self->demand, seed);
    self->start_us = now(self);
    self->end_us = self->start_us + cycles * CYCLE_US;
    if (scenario->trouble == TROUBLE_SLOW) {
        self->fleet.slowness[0] = SLOW_FACTOR;
    }
    post(self, arrive, self->start_us);
    post(self, report, self->start_us);
    post(self, begin_peak, self->start_us + RISE_US);
    post(self, end_window, self->start_us + RISE_US + WINDOW_US);
    while ((event = event_queue_pop(&self->fleet.events)) != NULL &&
           event->at_us < self->end_us) {
        GbManualClock_Advance(&self->fleet.clock, event->at_us - now(self));
        event->run(event, &self->fleet);
        g_free(event);
    }
    g_free(event);
    collect(self);
    policy_fleet_finish(&self->fleet);
    g_free(self);
}

void
policy_result_finish(struct PolicyResult *result)
{
    g_array_free(result->latencies, TRUE);
}
