#include "coordination/flows/flow_load.h"

#include <string.h>

/* A client completes the handshake within a round trip. If a packet was lost,
 * the flow is counted again when its request arrives. */
#define HANDSHAKE_MAX_US INT64_C(80000)
/* Divisor of the exponential smoothing of the service time, and its bounds. */
#define SERVICE_DIVISOR 16
#define SERVICE_MIN_US INT64_C(5000)
#define SERVICE_MAX_US INT64_C(300000)
/* A target with more requests than this multiple of its slots may be full. */
#define FULL_FACTOR 2
/* Flows are kept for at least this long without packets, so that a request
 * that a target processes for longer than the idle limit stays counted. */
#define IDLE_MIN_US INT64_C(20000000)
/* Closed flows are kept for this long because of retransmitted packets. */
#define CLOSED_US INT64_C(2000000)
/* Balancers that have sent no packet for longer get no reports. */
#define BALANCER_IDLE_US INT64_C(3000000)

static bool
is_in_flight_too_long(const struct GbFlowAgent *self,
                      const struct GbPacketFlow *flow, int64_t now_us)
{
    if (flow->state == GB_PACKET_FLOW_OPENING) {
        return now_us - flow->opened_us >= HANDSHAKE_MAX_US;
    }
    return now_us - flow->requested_us >=
           GbFlowOutcomes_HoldTimeUs(&self->outcomes);
}

/* Returns true if the target has processed a request that started after that
 * of the flow. */
static bool
is_overtaken(const struct GbFlowAgent *self, const struct GbPacketFlow *flow)
{
    return flow->is_in_flight && flow->state == GB_PACKET_FLOW_OPEN &&
           flow->requested_us < self->processed_start_us;
}

/* A target starts requests in the order of their arrival, so it is processing
 * those that were overtaken, or does not have them: clients repeat requests
 * whose response is on its way. Those beyond its slots stop counting as in
 * flight, the oldest first. */
static void
expire_overtaken(struct GbFlowAgent *self)
{
    uint32_t overtaken = 0;

    if (self->own == NULL) {
        return;
    }
    for (GList *link = self->flows.by_use.tail; link != NULL;
         link = link->prev) {
        struct GbPacketFlow *flow = link->data;

        if (is_overtaken(self, flow) &&
            ++overtaken > GbFlowLoad_OwnSlots(self)) {
            GbFlowLoad_RemoveInFlight(self, flow);
        }
    }
}

static bool
is_idle(const struct GbFlowAgent *self, const struct GbPacketFlow *flow,
        int64_t now_us)
{
    bool is_closed = flow->is_closed_by_client && flow->is_closed_by_target;
    int64_t limit_us =
        is_closed ? CLOSED_US
                  : MAX(IDLE_MIN_US, self->completeness.idle_limit_us);

    return now_us - flow->last_used_us >= limit_us;
}

static void
init_load_notice(const struct GbFlowAgent *self, struct GbFlowNotice *notice,
                 int64_t now_us)
{
    memset(notice, 0, sizeof(*notice));
    notice->kind = GB_FLOW_NOTICE_LOAD;
    notice->service_id = self->config.service_id;
    notice->load.running = self->in_flight;
    notice->load.queued = self->queue.count;
    notice->load.is_draining = self->is_draining;
    notice->failing_percent =
        (uint8_t)GbFlowOutcomes_FailingPercent(&self->outcomes, now_us);
    notice->response_time_us =
        GbFlowOutcomes_ResponseTimeUs(&self->outcomes, now_us);
    if (GbFlowLoad_IsOwnUsable(self, now_us) &&
        GbWarmupAllowance_NextUs(&self->allowance, 0, now_us) <= now_us) {
        notice->load.capacity =
            MIN(GbFlowLoad_OwnSlots(self), GbTargetPace_Limit(&self->pace));
    }
}

static bool
is_same_load(const struct GbLoad *a, const struct GbLoad *b)
{
    return a->running == b->running && a->capacity == b->capacity &&
           a->is_draining == b->is_draining;
}

void
GbFlowLoad_AddInFlight(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                       int64_t now_us)
{
    flow->requested_us = now_us;
    if (!flow->is_in_flight) {
        flow->is_in_flight = true;
        self->in_flight++;
    }
    flow->in_flight_at_request = self->in_flight;
}

void
GbFlowLoad_RemoveInFlight(struct GbFlowAgent *self, struct GbPacketFlow *flow)
{
    if (flow->is_in_flight) {
        flow->is_in_flight = false;
        self->in_flight--;
    }
}

/* Counts a decrease of the limit on flows in flight, and logs a lower limit,
 * or the return to the usual one. */
static void
record_limit_change(struct GbFlowAgent *self, const struct GbFlowKey *key,
                    uint32_t old_limit, bool is_decreased)
{
    uint32_t limit = GbTargetPace_Limit(&self->pace);
    uint32_t usual = GbFlowChoice_InFlightLimit(GbFlowLoad_OwnSlots(self));

    if (!self->pace.is_enabled) {
        return;
    }
    GbCounters_Add(self->counters, GB_COUNTER_PACE_DECREASES, is_decreased);
    if (limit < old_limit) {
        GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_LIMIT_LOWERED, key,
                                   self->config.own_ipv4, self->in_flight,
                                   limit);
    }
    else if (limit > old_limit && limit == usual) {
        GbFlowAgent_RecordDecision(self, GB_FLOW_DECISION_LIMIT_RESTORED, key,
                                   self->config.own_ipv4, self->in_flight,
                                   limit);
    }
}

/* Logs that the target started or stopped failing requests. */
static void
record_failing_change(struct GbFlowAgent *self, const struct GbFlowKey *key)
{
    GbFlowAgent_RecordDecision(self,
                               self->outcomes.is_failing
                                   ? GB_FLOW_DECISION_TARGET_FAILING
                                   : GB_FLOW_DECISION_TARGET_RECOVERED,
                               key, self->config.own_ipv4, self->in_flight,
                               GbFlowLoad_OwnSlots(self));
}

static bool
is_response_overdue(const struct GbFlowAgent *self,
                    const struct GbPacketFlow *flow, int64_t now_us)
{
    return flow->is_awaiting_response &&
           now_us - flow->requested_us >=
               GbFlowOutcomes_ResponseTimeoutUs(&self->outcomes);
}

void
GbFlowLoad_RecordFailure(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                         int64_t now_us)
{
    uint32_t old_limit = GbTargetPace_Limit(&self->pace);

    if (!flow->is_awaiting_response) {
        return;
    }
    flow->is_awaiting_response = false;
    GbCounters_Add(self->counters, GB_COUNTER_FLOWS_FAILED, 1);
    record_limit_change(self, &flow->key, old_limit,
                        GbTargetPace_RecordFailure(&self->pace, now_us));
    if (GbFlowOutcomes_RecordFailure(&self->outcomes, now_us)) {
        record_failing_change(self, &flow->key);
    }
}

void
GbFlowLoad_RecordUnseenRequest(struct GbPacketFlow *flow,
                               const struct GbPacket *packet)
{
    if (flow->is_adopted && !flow->is_in_flight && packet->data_bytes > 0 &&
        packet->acknowledgement != 0) {
        flow->has_response = true;
        flow->request_sequence = packet->acknowledgement - 1;
    }
}

/* Returns true if the target may have more requests than it accepts, so that
 * it rejects others at once. */
static bool
is_full(const struct GbFlowAgent *self)
{
    return self->in_flight > FULL_FACTOR * GbFlowLoad_OwnSlots(self);
}

/* Records the time from the SYN packet to the first byte of the response. */
static void
record_service_time(struct GbFlowAgent *self, int64_t service_us)
{
    GbHistogram_Add(&self->times.values[GB_FLOW_TIME_ANSWER], service_us);
    service_us = CLAMP(service_us, SERVICE_MIN_US, SERVICE_MAX_US);
    self->service_us += (service_us - self->service_us) / SERVICE_DIVISOR;
}

/* Records the first response to a request that this process delivered. */
static void
record_outcome(struct GbFlowAgent *self, const struct GbPacketFlow *flow,
               bool is_quick, bool is_shed, int64_t now_us)
{
    int64_t taken_us = now_us - flow->requested_us;
    uint32_t old_limit = GbTargetPace_Limit(&self->pace);
    bool is_decreased;

    if (is_shed) {
        GbCounters_Add(self->counters, GB_COUNTER_REQUESTS_SHED, 1);
        is_decreased = GbTargetPace_RecordShed(&self->pace, now_us);
    }
    else if (is_quick) {
        is_decreased = GbTargetPace_RecordFailure(&self->pace, now_us);
    }
    else {
        is_decreased = GbTargetPace_RecordResponse(
            &self->pace, taken_us, flow->in_flight_at_request, now_us);
    }
    record_limit_change(self, &flow->key, old_limit, is_decreased);
    if (!is_shed &&
        GbFlowOutcomes_RecordResponse(&self->outcomes, taken_us, now_us)) {
        record_failing_change(self, &flow->key);
    }
}

void
GbFlowLoad_RecordResponse(struct GbFlowAgent *self, struct GbPacketFlow *flow,
                          int64_t now_us)
{
    int64_t taken_us = now_us - flow->requested_us;
    bool is_quick = GbFlowOutcomes_IsQuick(&self->outcomes, taken_us);
    bool is_shed = is_quick && is_full(self);

    /* A request that was overtaken awaits its response though it no longer
     * counts as in flight. */
    if (!flow->is_in_flight && !flow->is_awaiting_response) {
        return;
    }
    GbFlowLoad_RemoveInFlight(self, flow);
    if (!is_quick) {
        self->processed_start_us =
            MAX(self->processed_start_us, flow->requested_us);
    }
    if (flow->is_awaiting_response) {
        flow->is_awaiting_response = false;
        record_outcome(self, flow, is_quick, is_shed, now_us);
    }
    if (!flow->has_response && !flow->is_adopted) {
        record_service_time(self, now_us - flow->opened_us);
    }
    flow->has_response = true;
    flow->is_adopted = false;
}

void
GbFlowLoad_RecordReturnedSyn(struct GbFlowAgent *self,
                             const struct GbFlowKey *key, int64_t now_us)
{
    uint32_t old_limit = GbTargetPace_Limit(&self->pace);

    record_limit_change(self, key, old_limit,
                        GbTargetPace_RecordFailure(&self->pace, now_us));
}

/* Only services whose configuration limits the openings of a warming target
 * are limited. Elsewhere a slow target still serves as many requests as it has
 * slots, and a limit would only delay flows at the agent. */
static bool
is_pace_wanted(const struct GbFlowAgent *self)
{
    const struct GbServiceSettings *settings =
        GbRouteTable_FindService(self->view->routes, self->config.service_id);

    return settings != NULL && settings->warmup_openings_per_1000_s > 0;
}

void
GbFlowLoad_UpdateTarget(struct GbFlowAgent *self)
{
    static const struct GbFlowKey no_flow;
    uint32_t old_limit = GbTargetPace_Limit(&self->pace);

    GbTargetPace_SetEnabled(&self->pace, is_pace_wanted(self));
    if (self->own == NULL) {
        return;
    }
    if (GbTargetPace_SetTarget(&self->pace, self->own->id, self->own->born_ms,
                               self->own->cold_ms,
                               GbFlowLoad_OwnSlots(self))) {
        record_limit_change(self, &no_flow, old_limit, false);
    }
}

void
GbFlowLoad_RemoveFlow(struct GbFlowAgent *self, struct GbPacketFlow *flow)
{
    GbFlowLoad_RemoveInFlight(self, flow);
    GbPacketFlowTable_Remove(&self->flows, flow);
}

uint32_t
GbFlowLoad_OwnSlots(const struct GbFlowAgent *self)
{
    return self->own != NULL && self->own->weight > 0 ? self->own->weight : 1;
}

bool
GbFlowLoad_IsOwnUsable(const struct GbFlowAgent *self, int64_t now_us)
{
    if (self->is_draining ||
        !GbTargetMonitor_IsUsable(&self->target_monitor, now_us)) {
        return false;
    }
    /* Before the first instance list there is no other target. */
    return self->view == NULL || (self->own != NULL && !self->own->is_leaving);
}

void
GbFlowLoad_ExpireFlows(struct GbFlowAgent *self, int64_t now_us)
{
    GList *link = self->flows.by_use.head;

    while (link != NULL) {
        struct GbPacketFlow *flow = link->data;

        link = link->next;
        if (is_idle(self, flow, now_us)) {
            GbFlowLoad_RemoveFlow(self, flow);
        }
        else if (flow->is_in_flight &&
                 is_in_flight_too_long(self, flow, now_us)) {
            GbFlowLoad_RemoveInFlight(self, flow);
        }
        else if (is_response_overdue(self, flow, now_us)) {
            GbFlowLoad_RecordFailure(self, flow, now_us);
        }
    }
    expire_overtaken(self);
}

void
GbFlowLoad_ReportToPool(struct GbFlowAgent *self, int64_t now_us, bool is_due)
{
    struct GbFlowNotice notice;

    init_load_notice(self, &notice, now_us);
    if (!is_due && is_same_load(&notice.load, &self->reported_load)) {
        return;
    }
    self->reported_load = notice.load;
    for (uint32_t i = 0; i < self->pool.count; i++) {
        self->port->klass->notify(self->port, &notice,
                                  self->pool.members[i].ipv4);
    }
}

void
GbFlowLoad_ReportToBalancers(struct GbFlowAgent *self, int64_t now_us)
{
    struct GbFlowNotice notice;

    init_load_notice(self, &notice, now_us);
    for (uint32_t i = 0; i < self->balancer_count; i++) {
        if (now_us - self->balancers[i].last_packet_us < BALANCER_IDLE_US) {
            self->port->klass->notify(self->port, &notice,
                                      self->balancers[i].ipv4);
        }
    }
}

void
GbFlowLoad_RecordBalancer(struct GbFlowAgent *self, uint32_t ipv4,
                          int64_t now_us)
{
    uint32_t at = 0;
    uint32_t oldest = 0;

    while (at < self->balancer_count && self->balancers[at].ipv4 != ipv4) {
        if (self->balancers[at].last_packet_us <
            self->balancers[oldest].last_packet_us) {
            oldest = at;
        }
        at++;
    }
    if (at == GB_FLOW_BALANCERS_MAX) {
        at = oldest;
    }
    else if (at == self->balancer_count) {
        self->balancer_count++;
    }
    self->balancers[at].ipv4 = ipv4;
    self->balancers[at].last_packet_us = now_us;
}
