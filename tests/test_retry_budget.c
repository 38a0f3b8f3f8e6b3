#include <glib.h>
#include <string.h>

#include "coordination/calls/caller.h"

#define SEED 7
#define CALLS 2000
/* Retries that a new bucket holds, so that a caller of few calls can retry. */
#define START_RETRIES 3
#define STEP_US 1000

struct RefusalCase {
    const char *name;
    bool is_idempotent;
    uint32_t percent;
    /* What every agent answers; 0 is no answer at all. */
    enum GbNotRunReason reason;
};

static const struct RefusalCase refusal_cases[] = {
    {"busy, idempotent", true, 10, GB_NOT_RUN_BUSY},
    {"busy, not idempotent", false, 10, GB_NOT_RUN_BUSY},
    {"shed, idempotent", true, 10, GB_NOT_RUN_SHED},
    {"limit, idempotent, larger budget", true, 50, GB_NOT_RUN_LIMIT},
    {"busy, no budget", true, 0, GB_NOT_RUN_BUSY},
    {"silent, idempotent", true, 10, 0},
};

/* Caller whose every submission is refused. */
struct Refused {
    struct GbCallerPort port;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbCaller caller;
    const struct RefusalCase *row;
    /* CALLs that wait for their reply. */
    GArray *sent;
    uint32_t delivered;
};

static void
record_call(struct GbCallerPort *port, const struct GbMessage *message)
{
    if (message->kind == GB_MESSAGE_CALL) {
        g_array_append_val(((struct Refused *)port)->sent, *message);
    }
}

static void
count_outcome(struct GbCallerPort *port, void *context,
              const struct GbCallerResult *result)
{
    (void)context;
    g_assert_cmpint(result->outcome, !=, GB_OUTCOME_ANSWERED);
    ((struct Refused *)port)->delivered++;
}

static const struct GbCallerPortClass port_class = {
    .send = record_call,
    .deliver = count_outcome,
};

static void
refuse_all(struct Refused *self)
{
    while (self->sent->len > 0) {
        struct GbMessage reply =
            g_array_index(self->sent, struct GbMessage, 0);
        bool is_handshake = !self->row->is_idempotent && !reply.has_token;

        g_array_remove_index(self->sent, 0);
        if (self->row->reason == 0) {
            continue;
        }
        reply.kind = GB_MESSAGE_NOT_RUN;
        reply.not_run = is_handshake ? GB_NOT_RUN_BIND : self->row->reason;
        reply.has_token = is_handshake;
        GbCaller_Receive(&self->caller, &reply);
    }
}

/* Guards against callers that multiply the load of targets which refuse, or
 * of agents that are silent because they are overloaded. */
static void
test_refused(void)
{
    static const struct GbBytes body = {(const uint8_t *)"x", 1};
    static struct GbCallerFlow flows[CALLS];

    for (size_t i = 0; i < G_N_ELEMENTS(refusal_cases); i++) {
        struct GbOperation operation = {.id = 1, .deadline_ms = 500};
        struct GbService service = {.id = 1};
        struct Refused refused = {.port = {&port_class}};

        refused.row = &refusal_cases[i];
        g_test_message("%s", refused.row->name);
        operation.is_idempotent = refused.row->is_idempotent;
        service.limits.retry_budget_percent = refused.row->percent;
        refused.sent = g_array_new(FALSE, FALSE, sizeof(struct GbMessage));
        GbManualClock_Init(&refused.clock, 1000000, 0);
        GbSeededRandom_Init(&refused.random, SEED);
        GbCaller_Init(&refused.caller, &service, &refused.port,
                      &refused.clock.super, &refused.random.super);
        for (uint32_t call = 0; call < CALLS; call++) {
            GbCaller_OpenFlow(&refused.caller, &flows[call]);
            g_assert_true(GbCaller_StartCall(&refused.caller, &flows[call],
                                             &operation, body, NULL));
            refuse_all(&refused);
            GbManualClock_Advance(&refused.clock, STEP_US);
            GbCaller_Tick(&refused.caller);
            refuse_all(&refused);
        }
        while (refused.delivered < CALLS) {
            GbManualClock_Advance(&refused.clock, STEP_US);
            GbCaller_Tick(&refused.caller);
            refuse_all(&refused);
        }
        g_assert_cmpuint(refused.caller.retries_made, <=,
                         CALLS * refused.row->percent / 100 + START_RETRIES);
        GbCaller_Finish(&refused.caller);
        g_array_free(refused.sent, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry-budget/refused", test_refused);
    return g_test_run();
}
