#include <glib.h>
#include <string.h>

#include "coordination/calls/caller.h"

#define SEED 7
#define CALLS 2000
/* Tokens of a new budget. They allow a caller with few calls to retry. */
#define TOKENS_START 3
#define STEP_US 1000

struct RefusalCase {
    const char *name;
    bool is_idempotent;
    uint32_t percent;
    /* Refusal from every agent; 0 if no agent replies. */
    enum GbNotRunReason reason;
};

static const struct RefusalCase refusal_cases[] = {
    {"busy, idempotent", true, 10, GB_NOT_RUN_BUSY},
    {"busy, not idempotent", false, 10, GB_NOT_RUN_BUSY},
    {"shed, idempotent", true, 10, GB_NOT_RUN_SHED},
    {"limit, idempotent, larger budget", true, 50, GB_NOT_RUN_LIMIT},
    {"busy, no budget", true, 0, GB_NOT_RUN_BUSY},
    {"no reply, idempotent", true, 10, 0},
};

/* Caller whose submissions are all refused. */
struct RefusedCaller {
    struct GbCallerPort port;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbCaller caller;
    const struct RefusalCase *row;
    /* CALLs that have not been replied to. */
    GArray *sent;
    uint32_t delivered;
};

static void
queue_call(struct GbCallerPort *port, const struct GbMessage *message)
{
    if (message->kind == GB_MESSAGE_CALL) {
        g_array_append_val(((struct RefusedCaller *)port)->sent, *message);
    }
}

static void
count_outcome(struct GbCallerPort *port, void *context,
              const struct GbCallerResult *result)
{
    (void)context;
    g_assert_cmpint(result->outcome, !=, GB_OUTCOME_ANSWERED);
    ((struct RefusedCaller *)port)->delivered++;
}

static const struct GbCallerPortClass port_class = {
    .send = queue_call,
    .deliver = count_outcome,
};

static void
refuse_all(struct RefusedCaller *self)
{
    while (self->sent->len > 0) {
        struct GbMessage reply =
            g_array_index(self->sent, struct GbMessage, 0);
        bool is_bind = !self->row->is_idempotent && !reply.has_token;

        g_array_remove_index(self->sent, 0);
        if (self->row->reason == 0) {
            continue;
        }
        reply.kind = GB_MESSAGE_NOT_RUN;
        reply.not_run = is_bind ? GB_NOT_RUN_BIND : self->row->reason;
        reply.has_token = is_bind;
        GbCaller_Receive(&self->caller, &reply);
    }
}

/* Guards against callers whose retries multiply the load of targets that
 * refuse requests, or of agents that do not reply because of overload. */
static void
test_refused_calls(void)
{
    static const struct GbBytes body = {(const uint8_t *)"x", 1};
    static struct GbCallerFlow flows[CALLS];

    for (size_t i = 0; i < G_N_ELEMENTS(refusal_cases); i++) {
        struct GbOperation operation = {.id = 1, .deadline_ms = 500};
        struct GbService service = {.id = 1};
        struct RefusedCaller fixture = {.port = {&port_class}};

        fixture.row = &refusal_cases[i];
        g_test_message("%s", fixture.row->name);
        operation.is_idempotent = fixture.row->is_idempotent;
        service.limits.retry_budget_percent = fixture.row->percent;
        fixture.sent = g_array_new(FALSE, FALSE, sizeof(struct GbMessage));
        GbManualClock_Init(&fixture.clock, 1000000, 0);
        GbSeededRandom_Init(&fixture.random, SEED);
        GbCaller_Init(&fixture.caller, &service, &fixture.port,
                      &fixture.clock.super, &fixture.random.super);
        for (uint32_t call = 0; call < CALLS; call++) {
            GbCaller_OpenFlow(&fixture.caller, &flows[call]);
            g_assert_true(GbCaller_StartCall(&fixture.caller, &flows[call],
                                             &operation, body, NULL));
            refuse_all(&fixture);
            GbManualClock_Advance(&fixture.clock, STEP_US);
            GbCaller_Tick(&fixture.caller);
            refuse_all(&fixture);
        }
        while (fixture.delivered < CALLS) {
            GbManualClock_Advance(&fixture.clock, STEP_US);
            GbCaller_Tick(&fixture.caller);
            refuse_all(&fixture);
        }
        g_assert_cmpuint(fixture.caller.retries_made, <=,
                         CALLS * fixture.row->percent / 100 + TOKENS_START);
        GbCaller_Finish(&fixture.caller);
        g_array_free(fixture.sent, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry-budget/refused-calls", test_refused_calls);
    return g_test_run();
}
