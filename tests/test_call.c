#include <string.h>
#include <xxhash.h>

#include "coordination/calls/caller.h"

#define SEED 5
#define FLOWS 2000
#define RESPONSE_BYTES 1500
#define STEPS_MAX 12

enum StepKind {
    STEP_END,
    /* number is a time in ms. */
    STEP_WAIT,
    /* Replies to a submission; number is its request id, counted from 1. */
    STEP_BIND,
    STEP_ACCEPT,
    STEP_FIRST_RANGE,
    STEP_LAST_RANGE,
    STEP_BUSY,
    STEP_DEADLINE,
    STEP_NO_RECORD
};

struct Step {
    enum StepKind kind;
    uint32_t number;
};

/* The call has not ended. */
#define NO_OUTCOME (-1)

struct CallCase {
    const char *name;
    bool is_idempotent;
    uint32_t deadline_ms;
    struct Step steps[STEPS_MAX];
    /* Enum GbCallerOutcome, or NO_OUTCOME. */
    int expected;
};

static const struct CallCase call_cases[] = {
    {"answered at once",
     true,
     2000,
     {{STEP_FIRST_RANGE, 1}, {STEP_LAST_RANGE, 1}},
     GB_OUTCOME_ANSWERED},
    {"retried elsewhere after its deadline, with a new timeout",
     true,
     2000,
     {{STEP_FIRST_RANGE, 1},
      {STEP_WAIT, 5000},
      {STEP_NO_RECORD, 1},
      {STEP_WAIT, 90},
      {STEP_FIRST_RANGE, 2},
      {STEP_LAST_RANGE, 2}},
     GB_OUTCOME_ANSWERED},
    {"response that starts late with its second range is not stalled",
     false,
     15000,
     {{STEP_BIND, 1},
      {STEP_ACCEPT, 2},
      {STEP_WAIT, 12000},
      {STEP_LAST_RANGE, 2},
      {STEP_WAIT, 200},
      {STEP_FIRST_RANGE, 2},
      {STEP_LAST_RANGE, 2}},
     GB_OUTCOME_ANSWERED},
    {"refused without retry budget, answered by an earlier submission",
     true,
     2000,
     {{STEP_WAIT, 110},
      {STEP_BUSY, 2},
      {STEP_BUSY, 3},
      {STEP_BUSY, 4},
      {STEP_WAIT, 10},
      {STEP_FIRST_RANGE, 1},
      {STEP_LAST_RANGE, 1}},
     GB_OUTCOME_ANSWERED},
    {"unbound idempotent request with a final refusal may run elsewhere",
     true,
     2000,
     {{STEP_DEADLINE, 1}},
     GB_OUTCOME_UNKNOWN},
    {"bound request with a final refusal did not run",
     false,
     2000,
     {{STEP_BIND, 1}, {STEP_DEADLINE, 2}},
     GB_OUTCOME_NOT_RUN},
    {"unbound request without any reply did not run",
     false,
     2000,
     {{STEP_WAIT, 3100}},
     GB_OUTCOME_NOT_RUN},
    {"bound request without any reply may have run",
     false,
     2000,
     {{STEP_BIND, 1}, {STEP_WAIT, 3100}},
     GB_OUTCOME_UNKNOWN},
    {"second BIND of the same request is ignored",
     false,
     2000,
     {{STEP_WAIT, 110}, {STEP_BIND, 1}, {STEP_BIND, 2}, {STEP_DEADLINE, 3}},
     GB_OUTCOME_NOT_RUN},
    {"unbound non-idempotent request that an agent accepted may have run",
     false,
     2000,
     {{STEP_ACCEPT, 1}, {STEP_WAIT, 3100}},
     GB_OUTCOME_UNKNOWN},
    {"UNKNOWN for another submission than the accepted one is ignored",
     true,
     2000,
     {{STEP_WAIT, 110},
      {STEP_ACCEPT, 1},
      {STEP_NO_RECORD, 2},
      {STEP_FIRST_RANGE, 1},
      {STEP_LAST_RANGE, 1}},
     GB_OUTCOME_ANSWERED},
    {"reply to a submission that was never made is ignored",
     false,
     2000,
     {{STEP_DEADLINE, 7}},
     NO_OUTCOME},
};

struct Fixture {
    struct GbCallerPort port;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbService service;
    struct GbCaller caller;
    uint32_t delivered;
    int outcome;
};

static void
ignore_send(struct GbCallerPort *port, const struct GbMessage *message)
{
    (void)port;
    (void)message;
}

static void
record_outcome(struct GbCallerPort *port, void *context,
               const struct GbCallerResult *result)
{
    struct Fixture *self = (struct Fixture *)port;

    (void)context;
    self->delivered++;
    self->outcome = (int)result->outcome;
}

static const struct GbCallerPortClass port_class = {
    .send = ignore_send,
    .deliver = record_outcome,
};

static void
open_fixture(struct Fixture *self)
{
    memset(self, 0, sizeof(*self));
    self->port.klass = &port_class;
    self->service.id = 1;
    self->service.limits.retry_budget_percent = 10;
    self->outcome = NO_OUTCOME;
    GbManualClock_Init(&self->clock, 1000000, 0);
    GbSeededRandom_Init(&self->random, SEED);
    GbCaller_Init(&self->caller, &self->service, &self->port,
                  &self->clock.super, &self->random.super);
}

static void
wait_ms(struct Fixture *self, uint32_t time_ms)
{
    int64_t end_us = self->clock.monotonic_us + (int64_t)time_ms * 1000;
    int64_t next_us;

    while ((next_us = GbCaller_NextTimerUs(&self->caller)) <= end_us) {
        GbManualClock_Advance(&self->clock,
                              MAX(0, next_us - self->clock.monotonic_us));
        GbCaller_Tick(&self->caller);
    }
    GbManualClock_Advance(&self->clock, end_us - self->clock.monotonic_us);
}

static void
reply(struct Fixture *self, uint64_t flow_id, const struct Step *step)
{
    static uint8_t response[RESPONSE_BYTES];
    struct GbMessage message = {.service_id = 1};
    bool is_last = step->kind == STEP_LAST_RANGE;

    message.flow_id = flow_id;
    message.request_id = step->number;
    message.has_token =
        step->kind == STEP_BIND || step->kind == STEP_ACCEPT || is_last;
    switch (step->kind) {
    case STEP_BIND:
    case STEP_BUSY:
    case STEP_DEADLINE:
        message.kind = GB_MESSAGE_NOT_RUN;
        message.not_run = step->kind == STEP_BIND   ? GB_NOT_RUN_BIND
                          : step->kind == STEP_BUSY ? GB_NOT_RUN_BUSY
                                                    : GB_NOT_RUN_DEADLINE;
        break;
    case STEP_ACCEPT:
        message.kind = GB_MESSAGE_ACCEPTED;
        message.progress = GB_PROGRESS_RUNNING;
        break;
    case STEP_NO_RECORD:
        message.kind = GB_MESSAGE_UNKNOWN;
        message.unknown = GB_UNKNOWN_NO_RECORD;
        break;
    default:
        message.kind = GB_MESSAGE_DATA;
        message.data.offset = is_last ? GB_RANGE_BYTES_MAX : 0;
        message.data.total = RESPONSE_BYTES;
        message.data.digest = XXH64(response, RESPONSE_BYTES, 0);
        message.data.bytes.data = response;
        message.data.bytes.size_bytes =
            is_last ? RESPONSE_BYTES - GB_RANGE_BYTES_MAX : GB_RANGE_BYTES_MAX;
        break;
    }
    GbCaller_Receive(&self->caller, &message);
}

/* Guards against outcomes that the replies do not prove, and against calls
 * that end before their response has arrived. */
static void
test_outcomes(void)
{
    static const struct GbBytes body = {(const uint8_t *)"x", 1};

    for (size_t i = 0; i < G_N_ELEMENTS(call_cases); i++) {
        const struct CallCase *row = &call_cases[i];
        struct GbOperation operation = {.id = 1, .max_answer_bytes = 4096};
        struct GbCallerFlow flow;
        struct Fixture fixture;

        g_test_message("%s", row->name);
        operation.is_idempotent = row->is_idempotent;
        operation.deadline_ms = row->deadline_ms;
        open_fixture(&fixture);
        GbCaller_OpenFlow(&fixture.caller, &flow);
        g_assert_true(GbCaller_StartCall(&fixture.caller, &flow, &operation,
                                         body, NULL));
        for (const struct Step *step = row->steps;
             step < row->steps + STEPS_MAX && step->kind != STEP_END; step++) {
            g_assert_cmpuint(fixture.delivered, ==, 0);
            if (step->kind == STEP_WAIT) {
                wait_ms(&fixture, step->number);
            }
            else {
                reply(&fixture, flow.id, step);
            }
        }
        if (fixture.outcome != row->expected) {
            g_error("%s: outcome %d, expected %d", row->name, fixture.outcome,
                    row->expected);
        }
        GbCaller_Finish(&fixture.caller);
    }
}

/* Guards against a reply that is matched to the call of another flow: all
 * flows use the same request ids. */
static void
test_many_flows(void)
{
    static const struct GbBytes body = {(const uint8_t *)"x", 1};
    static const struct Step range[] = {{STEP_FIRST_RANGE, 1},
                                        {STEP_LAST_RANGE, 1}};
    struct GbOperation operation = {.id = 1,
                                    .is_idempotent = true,
                                    .deadline_ms = 2000,
                                    .max_answer_bytes = 4096};
    struct GbCallerFlow *flows = g_new0(struct GbCallerFlow, FLOWS);
    struct Fixture fixture;

    open_fixture(&fixture);
    for (uint32_t i = 0; i < FLOWS; i++) {
        GbCaller_OpenFlow(&fixture.caller, &flows[i]);
        GbCaller_StartCall(&fixture.caller, &flows[i], &operation, body, NULL);
    }
    for (uint32_t i = 0; i < FLOWS; i++) {
        reply(&fixture, flows[i].id, &range[0]);
        g_assert_cmpuint(fixture.delivered, ==, i);
        reply(&fixture, flows[i].id, &range[1]);
        g_assert_cmpuint(fixture.delivered, ==, i + 1);
        g_assert_cmpuint(g_hash_table_size(fixture.caller.flows), ==,
                         FLOWS - i - 1);
    }
    GbCaller_Finish(&fixture.caller);
    g_free(flows);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/call/outcomes", test_outcomes);
    g_test_add_func("/call/many-flows", test_many_flows);
    return g_test_run();
}
