#include "coordination/flows/backend_choice.h"

#include <math.h>
#include <string.h>

#include "coordination/placement/placement.h"
#include "state/xxhash_inline.h"

/* Agents report every 140 ms; one report may be lost. */
#define REPORT_MAX_AGE_US INT64_C(350000)
/* Flows in flight and queued for each slot above which a backend is full. A
 * flow counts as in flight during its handshake too, which takes about half as
 * long as the processing: with fewer flows, slots are free. */
#define FULL_FLOWS_PER_SLOT 1.5
/* Largest value of flows for each slot; bounds the time for which an outage of
 * all targets of a backend is remembered. */
#define FLOWS_PER_SLOT_MAX 8.0
/* Share of the slots that the flows of other backends leave free, for changes
 * in demand between two reports. */
#define RESERVED_SHARE 0.125
/* Time constants of the smoothed load. It rises within a report period,
 * because callers of a full backend wait meanwhile. It falls more slowly than
 * the delay between a decision and its effect on the reports, so that the
 * shares do not oscillate. */
#define RISE_US 140000.0
#define FALL_US 1000000.0
/* Minimum time between two sums of the load of a service: the load only
 * changes with the reports, and summing it for every new flow would be slow.
 */
#define UPDATE_PERIOD_US INT64_C(20000)
/* Seeds that make the decisions of one flow independent of each other. */
#define OVERFLOW_SHARE_SEED UINT64_C(0x6f766572666c6f77)
#define OVERFLOW_BACKEND_SEED UINT64_C(0x6261636b656e6473)
#define MANTISSA_BITS 53
/* Greatest number of running flows, queued flows or slots that counts from one
 * report. Higher ones are cut to it, so that sums over all agents do not
 * overflow. */
#define REPORTED_MAX UINT16_MAX
#define MILLI 1000

/* Last report of an agent. */
struct AgentReport {
    uint32_t flows;
    uint32_t slots;
    bool is_failing;
    int64_t reported_us;
};

struct BackendLoad {
    uint64_t service_id;
    /* Flows in flight and queued for each slot, smoothed. */
    double flows_per_slot;
    /* Slots of the agents that have reported, at least 1, and of those among
     * them whose targets are not failing. */
    uint32_t slots;
    uint32_t healthy_slots;
    int64_t updated_us;
};

/* Load of the agents of a service at one time. */
struct LoadSum {
    uint32_t flows;
    uint32_t slots;
    uint32_t healthy_slots;
    uint32_t reports;
    /* Slots of the agents that have sent no report lately. */
    uint32_t silent_slots;
};

static void
add_agent(const struct GbBackendChoice *self,
          const struct GbAgentRanking *ranking,
          const struct GbInstance *instance, struct LoadSum *sum)
{
    const struct AgentReport *report = g_hash_table_lookup(
        self->reports, GUINT_TO_POINTER(instance->address.ipv4));

    if (report != NULL &&
        ranking->now_us - report->reported_us <= REPORT_MAX_AGE_US) {
        sum->reports++;
        sum->flows += report->flows;
        sum->slots += report->slots;
        sum->healthy_slots += report->is_failing ? 0 : report->slots;
    }
    else if (!GbAgentRanking_IsAvoided(ranking, instance)) {
        sum->silent_slots += instance->weight;
    }
}

/* Sums the load of a service. Agents do not report to a balancer that sends
 * them nothing, so that a service without any reports is taken for idle unless
 * its agents are suspect. */
static struct LoadSum
sum_load(const struct GbBackendChoice *self,
         const struct GbAgentRanking *ranking, uint64_t service_id)
{
    const struct GbCandidates *candidates =
        GbRoutingView_Candidates(ranking->view, service_id);
    struct LoadSum sum = {.flows = 0};

    for (uint32_t i = 0; candidates != NULL && i < candidates->count; i++) {
        const struct GbInstance *instance = candidates->instances[i];

        if (!GbRoutingView_IsEvacuated(ranking->view, instance->data_centre)) {
            add_agent(self, ranking, instance, &sum);
        }
    }
    if (sum.reports == 0) {
        sum.slots = sum.silent_slots;
        sum.healthy_slots = sum.silent_slots;
    }
    return sum;
}

static double
flows_per_slot(const struct LoadSum *sum)
{
    if (sum->slots == 0) {
        return sum->flows > 0 ? FLOWS_PER_SLOT_MAX : 0;
    }
    return MIN((double)sum->flows / sum->slots, FLOWS_PER_SLOT_MAX);
}

static void
smooth_load(struct BackendLoad *load, double current, int64_t now_us)
{
    double elapsed_us = (double)(now_us - load->updated_us);
    double constant_us = current > load->flows_per_slot ? RISE_US : FALL_US;

    load->flows_per_slot += (current - load->flows_per_slot) *
                            (1 - exp(-elapsed_us / constant_us));
}

/* Returns the load of a service, brought up to date. */
static const struct BackendLoad *
update_load(struct GbBackendChoice *self, const struct GbAgentRanking *ranking,
            uint64_t service_id)
{
    struct BackendLoad *load = g_hash_table_lookup(self->loads, &service_id);
    struct LoadSum sum;

    if (load == NULL) {
        load = g_new0(struct BackendLoad, 1);
        load->service_id = service_id;
        load->updated_us = ranking->now_us - UPDATE_PERIOD_US;
        g_hash_table_insert(self->loads, &load->service_id, load);
    }
    if (ranking->now_us - load->updated_us < UPDATE_PERIOD_US) {
        return load;
    }
    sum = sum_load(self, ranking, service_id);
    smooth_load(load, flows_per_slot(&sum), ranking->now_us);
    load->slots = MAX(sum.slots, 1);
    load->healthy_slots = sum.healthy_slots;
    load->updated_us = ranking->now_us;
    return load;
}

/* Returns the slots that flows of other backends may use, in thousandths. */
static uint32_t
spare_milli(const struct BackendLoad *load)
{
    double share = 1 - RESERVED_SHARE - load->flows_per_slot;

    return share > 0 ? (uint32_t)MIN(share * load->healthy_slots * MILLI,
                                     UINT32_MAX / GB_ROUTE_BACKENDS_MAX)
                     : 0;
}

/* Returns the share of its new flows that a backend cannot serve, as far as
 * other backends have spare slots, in thousandths, for them. The reports show
 * the flows of all balancers, so that each of them finds the same share. */
static double
overflow_share(const struct BackendLoad *load, uint32_t spare)
{
    double unserved = 1 - FULL_FLOWS_PER_SLOT / load->flows_per_slot;
    double spare_slots = (double)spare / MILLI;
    double servable = spare_slots / (load->slots + spare_slots);

    return load->flows_per_slot > FULL_FLOWS_PER_SLOT ? MIN(unserved, servable)
                                                      : 0;
}

/* Returns a uniform hash in [0, 1) of a flow. */
static double
uniform_hash(const struct GbFlowKey *key, uint64_t seed)
{
    uint64_t bytes = GUINT64_TO_LE(GbFlowKey_Hash(key));
    uint64_t hash = XXH64(&bytes, sizeof(bytes), seed);

    return (double)(hash >> (64 - MANTISSA_BITS)) /
           (double)(UINT64_C(1) << MANTISSA_BITS);
}

/* Returns the service of one backend, chosen in proportion to the weights; 0
 * if all are 0. */
static uint64_t
pick_service(const struct GbRoute *route,
             const uint32_t weights[GB_ROUTE_BACKENDS_MAX], uint64_t hash)
{
    struct GbInstance backends[GB_ROUTE_BACKENDS_MAX];
    const struct GbInstance *pointers[GB_ROUTE_BACKENDS_MAX];
    struct GbCandidates candidates = {.instances = pointers};
    const struct GbInstance *best;

    for (uint32_t i = 0; i < route->backend_count; i++) {
        struct GbInstance *backend = &backends[candidates.count];

        if (weights[i] > 0) {
            backend->id = route->backends[i].service_id;
            backend->service_id = route->backends[i].service_id;
            backend->weight = weights[i];
            pointers[candidates.count++] = backend;
        }
    }
    best = GbPlacement_InstanceAtRank(&candidates, hash, 0, NULL);
    return best != NULL ? best->service_id : 0;
}

static bool
has_agents(const struct GbRoutingView *view, uint64_t service_id,
           bool includes_evacuated)
{
    const struct GbCandidates *candidates =
        GbRoutingView_Candidates(view, service_id);

    if (candidates == NULL || includes_evacuated) {
        return candidates != NULL;
    }
    for (uint32_t i = 0; i < candidates->count; i++) {
        if (!GbRoutingView_IsEvacuated(
                view, candidates->instances[i]->data_centre)) {
            return true;
        }
    }
    return false;
}

/* As pick_service, by the weights of the route among the backends that have
 * agents. */
static uint64_t
pick_by_weight(const struct GbRoutingView *view, const struct GbRoute *route,
               const struct GbFlowKey *key, bool includes_evacuated)
{
    uint32_t weights[GB_ROUTE_BACKENDS_MAX] = {0};

    for (uint32_t i = 0; i < route->backend_count; i++) {
        if (has_agents(view, route->backends[i].service_id,
                       includes_evacuated)) {
            weights[i] = route->backends[i].weight;
        }
    }
    return pick_service(route, weights, GbFlowKey_Hash(key));
}

static gboolean
is_agent_unlisted(gpointer key, gpointer value, gpointer context)
{
    (void)value;
    return GbRoutingView_FindIpv4(context, GPOINTER_TO_UINT(key)) == NULL;
}

static gboolean
is_service_unlisted(gpointer key, gpointer value, gpointer context)
{
    const struct BackendLoad *load = value;

    (void)key;
    return GbRoutingView_Candidates(context, load->service_id) == NULL;
}

void
GbBackendChoice_Init(struct GbBackendChoice *self)
{
    self->reports = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    self->loads =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
GbBackendChoice_Finish(struct GbBackendChoice *self)
{
    g_hash_table_destroy(self->reports);
    g_hash_table_destroy(self->loads);
}

void
GbBackendChoice_SetView(struct GbBackendChoice *self,
                        const struct GbRoutingView *view)
{
    g_hash_table_foreach_remove(self->reports, is_agent_unlisted,
                                (gpointer)view);
    g_hash_table_foreach_remove(self->loads, is_service_unlisted,
                                (gpointer)view);
}

void
GbBackendChoice_RecordLoad(struct GbBackendChoice *self, uint32_t agent_ipv4,
                           const struct GbFlowNotice *notice, int64_t now_us)
{
    gpointer key = GUINT_TO_POINTER(agent_ipv4);
    struct AgentReport *report = g_hash_table_lookup(self->reports, key);

    if (report == NULL) {
        report = g_new(struct AgentReport, 1);
        g_hash_table_insert(self->reports, key, report);
    }
    report->flows = MIN(notice->load.running, REPORTED_MAX) +
                    MIN(notice->load.queued, REPORTED_MAX);
    report->slots = MIN(notice->load.capacity, REPORTED_MAX);
    report->is_failing = notice->failing_percent > 0;
    report->reported_us = now_us;
}

uint64_t
GbBackendChoice_ByWeight(const struct GbRoutingView *view,
                         const struct GbRoute *route,
                         const struct GbFlowKey *key)
{
    uint64_t service_id = 0;

    if (route->backend_count > 0) {
        service_id = pick_by_weight(view, route, key, false);
    }
    if (route->backend_count > 0 && service_id == 0) {
        service_id = pick_by_weight(view, route, key, true);
    }
    return service_id != 0 ? service_id : route->service_id;
}

uint64_t
GbBackendChoice_ForOpenFlow(const struct GbRoutingView *view,
                            const struct GbRoute *route,
                            const struct GbFlowKey *key)
{
    uint64_t service_id = GbBackendChoice_ByWeight(view, route, key);

    for (uint32_t i = 0; i < route->backend_count &&
                         GbRoutingView_Candidates(view, service_id) == NULL;
         i++) {
        service_id = route->backends[i].service_id;
    }
    return service_id;
}

uint64_t
GbBackendChoice_ForNewFlow(struct GbBackendChoice *self,
                           const struct GbAgentRanking *ranking,
                           const struct GbRoute *route,
                           const struct GbFlowKey *key, bool *is_overflow)
{
    uint64_t by_weight = GbBackendChoice_ByWeight(ranking->view, route, key);
    uint32_t spare[GB_ROUTE_BACKENDS_MAX] = {0};
    uint32_t spare_sum = 0;
    const struct BackendLoad *load;

    *is_overflow = false;
    if (route->backend_count <= 1) {
        return by_weight;
    }
    load = update_load(self, ranking, by_weight);
    for (uint32_t i = 0; i < route->backend_count; i++) {
        const struct GbRouteBackend *backend = &route->backends[i];

        if (backend->weight > 0 && backend->service_id != by_weight) {
            spare[i] =
                spare_milli(update_load(self, ranking, backend->service_id));
            spare_sum += spare[i];
        }
    }
    if (uniform_hash(key, OVERFLOW_SHARE_SEED) >=
        overflow_share(load, spare_sum)) {
        return by_weight;
    }
    *is_overflow = true;
    return pick_service(route, spare,
                        GbFlowKey_Hash(key) ^ OVERFLOW_BACKEND_SEED);
}
