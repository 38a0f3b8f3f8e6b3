#include "transport/caller_task.h"

#include <glib.h>

#define OUTSTANDING_CALLS_LIMIT 3
#define SESSIONS_LIMIT 2
#define TIMEOUT_MS 10000

static uint8_t body_bytes[GB_CALL_BODY_BYTES_MAX + 1];

enum StepKind { STEP_OPEN, STEP_CLOSE, STEP_CALL, STEP_CALL_IN_SESSION };

struct StepCase {
    enum StepKind kind;
    uint64_t session;
    uint32_t body_bytes;
    enum GbTransportStatus expected;
};

struct LimitCase {
    const char *name;
    struct StepCase steps[6];
    uint32_t step_count;
    /* Expected outcomes: one for each accepted call. */
    uint32_t outcome_count;
};

static const struct LimitCase limit_cases[] = {
    {"too many sessions",
     {{STEP_OPEN, 0, 0, GB_TRANSPORT_OK},
      {STEP_OPEN, 0, 0, GB_TRANSPORT_OK},
      {STEP_OPEN, 0, 0, GB_TRANSPORT_LIMIT},
      {STEP_CLOSE, 1, 0, GB_TRANSPORT_OK},
      {STEP_OPEN, 0, 0, GB_TRANSPORT_OK}},
     5,
     0},
    {"too many outstanding calls",
     {{STEP_OPEN, 0, 0, GB_TRANSPORT_OK},
      {STEP_CALL_IN_SESSION, 1, 1, GB_TRANSPORT_OK},
      {STEP_CALL, 0, 1, GB_TRANSPORT_OK},
      {STEP_CALL, 0, 1, GB_TRANSPORT_OK},
      {STEP_CALL, 0, 1, GB_TRANSPORT_LIMIT},
      {STEP_CALL_IN_SESSION, 1, 1, GB_TRANSPORT_LIMIT}},
     6,
     3},
    {"body too large",
     {{STEP_CALL, 0, GB_CALL_BODY_BYTES_MAX + 1, GB_TRANSPORT_TOO_LARGE},
      {STEP_CALL, 0, GB_CALL_BODY_BYTES_MAX, GB_TRANSPORT_OK}},
     2,
     1},
    {"session closed during a call",
     {{STEP_OPEN, 0, 0, GB_TRANSPORT_OK},
      {STEP_CALL_IN_SESSION, 1, 0, GB_TRANSPORT_OK},
      {STEP_CLOSE, 1, 0, GB_TRANSPORT_OK},
      {STEP_CALL_IN_SESSION, 1, 0, GB_TRANSPORT_NO_SESSION},
      {STEP_CLOSE, 1, 0, GB_TRANSPORT_NO_SESSION}},
     5,
     1},
    {"session never opened",
     {{STEP_CALL_IN_SESSION, 7, 0, GB_TRANSPORT_NO_SESSION},
      {STEP_CLOSE, 7, 0, GB_TRANSPORT_NO_SESSION}},
     2,
     0},
};

static enum GbTransportStatus
execute_step(struct GbCallerTask *task, const struct GbOperation *operation,
             const struct StepCase *step)
{
    struct GbBytes body = {body_bytes, step->body_bytes};
    uint64_t session;

    switch (step->kind) {
    case STEP_OPEN:
        return GbCallerTask_OpenSession(task, &session);
    case STEP_CLOSE:
        return GbCallerTask_CloseSession(task, step->session);
    case STEP_CALL:
        return GbCallerTask_Call(task, 0, operation, body);
    default:
        return GbCallerTask_CallInSession(task, step->session, 0, operation,
                                          body);
    }
}

/* Guards against a caller that accepts an unlimited number of calls or
 * sessions, and against calls that never end: each accepted call must have
 * exactly one outcome, even if no balancer responds. */
static void
test_limits(gconstpointer context)
{
    const struct LimitCase *row = context;
    static const struct GbAddress unreachable = {0x7f000001, 9};
    struct GbOperation operation = {.name = "check", .id = 1};
    struct GbDocument *document = GbDocument_New();
    struct GbService service = {.name = "desk", .id = 1};
    struct GbSystemClock clock;
    struct GbErrorText error;
    struct GbCallerTask task;

    operation.deadline_ms = 1;
    GbSystemClock_Init(&clock);
    GbCallerTask_Init(&task, document, &service, &clock.super);
    GbCallerTask_SetLimits(&task, OUTSTANDING_CALLS_LIMIT, SESSIONS_LIMIT);
    g_assert_true(GbCallerTask_AddBalancer(&task, &unreachable));
    g_assert_cmpint(GbTask_Open(&task.super, &error), ==, GB_TRANSPORT_OK);
    g_assert_cmpint(GbTask_Start(&task.super, &error), ==, GB_TRANSPORT_OK);
    for (uint32_t i = 0; i < row->step_count; i++) {
        g_test_message("step %u", i);
        g_assert_cmpint(execute_step(&task, &operation, &row->steps[i]), ==,
                        row->steps[i].expected);
    }
    for (uint32_t i = 0; i < row->outcome_count; i++) {
        struct GbCallOutcome *outcome =
            GbCallerTask_WaitForOutcome(&task, TIMEOUT_MS);

        g_assert_nonnull(outcome);
        g_assert_cmpint(outcome->result.outcome, ==, GB_OUTCOME_NOT_RUN);
        GbCallOutcome_Free(outcome);
    }
    g_assert_cmpuint(task.outstanding_calls, ==, 0);
    GbTask_Close(&task.super);
    GbDocument_Unref(document);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
        char *path =
            g_strdup_printf("/caller-task/limits/%s", limit_cases[i].name);

        g_test_add_data_func(path, &limit_cases[i], test_limits);
        g_free(path);
    }
    return g_test_run();
}
