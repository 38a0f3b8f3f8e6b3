#include "demo/demo_calls.h"

#include <inttypes.h>
#include <string.h>

#include "demo/demo.h"
#include "support/pack_response.h"
#include "support/run_log.h"

#define US_PER_MS 1000
#define US_PER_SECOND INT64_C(1000000)
#define CALLS_PER_S 200
#define PACK_KEY "weekly-pack"
#define OUTCOME_WAIT_MS 5
/* Every third call is made in a session. */
#define SESSION_PERIOD 3
#define OUTSTANDING_MAX 1024

static int64_t
elapsed_us(struct GbDemoCalls *self)
{
    return GbClock_MonotonicUs(&self->clock.super) - self->started_us;
}

/* Calls with even tags are checks, which are not idempotent and must not run
 * twice. */
static const char *
operation_name(uint64_t tag)
{
    return tag % 2 == 0 ? "check" : "reveal";
}

static char *
format_key(uint64_t tag)
{
    return g_strdup_printf("%s-%" PRIu64, operation_name(tag), tag);
}

static bool
is_in_session(uint64_t tag)
{
    return tag % SESSION_PERIOD == 0;
}

static uint32_t
session_index(uint64_t tag)
{
    return (uint32_t)(tag / SESSION_PERIOD) % GB_DEMO_SESSIONS;
}

static void
start_call(struct GbDemoCalls *self)
{
    uint64_t tag = self->started_calls++;
    char *key = format_key(tag);
    struct GbBytes body = {(const uint8_t *)key, (uint32_t)strlen(key)};
    const struct GbOperation *operation = GbService_FindOperationByName(
        self->hints.service, operation_name(tag));

    g_ptr_array_add(self->outcomes, NULL);
    if (is_in_session(tag)) {
        GbCallerTask_CallInSession(&self->hints,
                                   self->sessions[session_index(tag)], tag,
                                   operation, body);
    }
    else {
        GbCallerTask_Call(&self->hints, tag, operation, body);
    }
    g_free(key);
}

static void
start_task(struct GbDemoCalls *self, struct GbCallerTask *task,
           const char *service)
{
    struct GbErrorText error;

    GbCallerTask_Init(task, self->document,
                      GbDocument_FindServiceByName(self->document, service),
                      &self->clock.super);
    g_assert_cmpint(GbTask_Open(&task->super, &error), ==, GB_TRANSPORT_OK);
    g_assert_cmpint(GbTask_Start(&task->super, &error), ==, GB_TRANSPORT_OK);
}

void
GbDemoCalls_Start(struct GbDemoCalls *self, struct GbTestCluster *cluster,
                  int64_t duration_ms)
{
    struct GbBytes body = {(const uint8_t *)PACK_KEY, strlen(PACK_KEY)};

    memset(self, 0, sizeof(*self));
    self->cluster = cluster;
    GbSystemClock_Init(&self->clock);
    self->document = GbTestCluster_ReadDocument(cluster);
    self->outcomes = g_ptr_array_new();
    start_task(self, &self->hints, GB_DEMO_HINTS);
    start_task(self, &self->packs, GB_DEMO_PACKS);
    GbDemoCalls_UseBalancers(self);
    for (uint32_t i = 0; i < GB_DEMO_SESSIONS; i++) {
        GbCallerTask_OpenSession(&self->hints, &self->sessions[i]);
    }
    self->started_us = GbClock_MonotonicUs(&self->clock.super);
    self->duration_us = duration_ms * US_PER_MS;
    GbCallerTask_Call(
        &self->packs, 0,
        GbService_FindOperationByName(self->packs.service, "pack"), body);
}

void
GbDemoCalls_UseBalancers(struct GbDemoCalls *self)
{
    struct GbAddress addresses[GB_CLUSTER_INSTANCES_MAX];
    uint32_t count = 0;

    for (uint32_t i = 0; i < self->cluster->balancer_count; i++) {
        if (!self->cluster->balancers[i].is_leaving) {
            addresses[count++] = self->cluster->balancers[i].address;
        }
    }
    GbCallerTask_SetBalancers(&self->hints, addresses, count);
    GbCallerTask_SetBalancers(&self->packs, addresses, count);
}

void
GbDemoCalls_Run(struct GbDemoCalls *self, uint32_t duration_ms)
{
    int64_t end_us = elapsed_us(self) + duration_ms * US_PER_MS;

    do {
        int64_t due_us = MIN(elapsed_us(self), self->duration_us);
        struct GbCallOutcome *outcome;

        while ((int64_t)self->started_calls * US_PER_SECOND / CALLS_PER_S <=
                   due_us &&
               self->hints.outstanding_calls < OUTSTANDING_MAX) {
            start_call(self);
        }
        outcome = GbCallerTask_WaitForOutcome(&self->hints, OUTCOME_WAIT_MS);
        if (outcome != NULL) {
            self->outcomes->pdata[outcome->tag] = outcome;
        }
        if (self->pack == NULL) {
            self->pack = GbCallerTask_WaitForOutcome(&self->packs, 0);
        }
    } while (elapsed_us(self) < end_us);
}

bool
GbDemoCalls_AreComplete(const struct GbDemoCalls *self)
{
    return self->pack != NULL && self->hints.outstanding_calls == 0;
}

int64_t
GbDemoCalls_ElapsedMs(struct GbDemoCalls *self)
{
    return elapsed_us(self) / US_PER_MS;
}

static bool
is_expected_answer(const struct GbCallerResult *result, uint64_t tag,
                   const char *key)
{
    char *expected = g_strdup_printf("%s %s", operation_name(tag), key);
    bool is_equal =
        result->response.size_bytes == strlen(expected) &&
        memcmp(result->response.data, expected, strlen(expected)) == 0;

    g_free(expected);
    return is_equal;
}

static void
count_hint_outcome(struct GbDemoCalls *self, uint64_t tag,
                   const struct GbRunLog *log, struct GbDemoSummary *summary,
                   bool *is_session_broken)
{
    const struct GbCallOutcome *outcome = self->outcomes->pdata[tag];
    char *key = format_key(tag);
    uint32_t runs = GbRunLog_CountRuns(log, key);

    summary->run_twice += tag % 2 == 0 && runs > 1;
    if (outcome == NULL || outcome->result.outcome == GB_OUTCOME_UNKNOWN) {
        summary->unknown++;
    }
    else if (outcome->result.outcome == GB_OUTCOME_NOT_RUN) {
        summary->not_run++;
        summary->falsely_not_run += runs > 0;
    }
    else if (is_expected_answer(&outcome->result, tag, key)) {
        summary->complete++;
    }
    else {
        summary->wrong++;
    }
    if (is_in_session(tag) &&
        (outcome == NULL || outcome->result.outcome != GB_OUTCOME_ANSWERED)) {
        is_session_broken[session_index(tag)] = true;
    }
    g_free(key);
}

static void
count_pack_outcome(const struct GbDemoCalls *self,
                   struct GbDemoSummary *summary)
{
    uint8_t *expected;

    if (self->pack == NULL ||
        self->pack->result.outcome != GB_OUTCOME_ANSWERED) {
        summary->broken_flows++;
        summary->unknown++;
        return;
    }
    expected = g_malloc(GB_DEMO_PACK_BYTES);
    GbPackResponse_Fill(PACK_KEY, 0, expected, GB_DEMO_PACK_BYTES);
    if (self->pack->result.response.size_bytes == GB_DEMO_PACK_BYTES &&
        memcmp(self->pack->result.response.data, expected,
               GB_DEMO_PACK_BYTES) == 0) {
        summary->complete++;
    }
    else {
        summary->wrong++;
        summary->broken_flows++;
    }
    g_free(expected);
}

void
GbDemoCalls_Summarize(struct GbDemoCalls *self, struct GbDemoSummary *summary)
{
    bool is_session_broken[GB_DEMO_SESSIONS] = {false};
    struct GbRunLog log;

    memset(summary, 0, sizeof(*summary));
    GbRunLog_Init(&log);
    for (uint32_t i = 0; i < self->cluster->host_count; i++) {
        GbRunLog_AddOutput(&log, self->cluster->hosts[i].target);
    }
    summary->calls = self->started_calls + 1;
    for (uint64_t tag = 0; tag < self->started_calls; tag++) {
        count_hint_outcome(self, tag, &log, summary, is_session_broken);
    }
    count_pack_outcome(self, summary);
    for (uint32_t i = 0; i < GB_DEMO_SESSIONS; i++) {
        summary->broken_flows += is_session_broken[i];
    }
    GbRunLog_Finish(&log);
}

void
GbDemoCalls_Finish(struct GbDemoCalls *self)
{
    GbTask_Close(&self->hints.super);
    GbTask_Close(&self->packs.super);
    for (guint i = 0; i < self->outcomes->len; i++) {
        if (self->outcomes->pdata[i] != NULL) {
            GbCallOutcome_Free(self->outcomes->pdata[i]);
        }
    }
    if (self->pack != NULL) {
        GbCallOutcome_Free(self->pack);
    }
    g_ptr_array_unref(self->outcomes);
    GbDocument_Unref(self->document);
}
