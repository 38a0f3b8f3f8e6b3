#include "coordination/placement/failure_detector.h"

#include <glib.h>

#include "state/clock.h"
#include "state/instance_list.h"

#define STEPS_MAX 24
#define US_PER_MS 1000

enum Action { END, SEND, HEAR, CHECK };

struct Step {
    int64_t at_ms;
    enum Action action;
    /* After SEND: whether this made the instance suspect. After CHECK:
     * whether it is suspect. */
    bool is_expected;
};

struct SuspicionCase {
    const char *name;
    struct Step steps[STEPS_MAX];
};

static const struct SuspicionCase suspicion_cases[] = {
    {"never sent to", {{0, CHECK, false}, {0, HEAR, false}}},
    {"two silent CALLs are not enough",
     {{0, SEND, false}, {1000, SEND, false}, {1000, CHECK, false}}},
    {"three CALLs at once are not enough",
     {{0, SEND, false},
      {1, SEND, false},
      {2, SEND, false},
      {299, SEND, false},
      {299, CHECK, false}}},
    {"three CALLs and 300 ms of silence",
     {{0, SEND, false},
      {100, SEND, false},
      {300, SEND, true},
      {300, CHECK, true},
      {2299, CHECK, true},
      {2300, CHECK, false}}},
    {"an answer in between starts the count again",
     {{0, SEND, false},
      {100, SEND, false},
      {200, HEAR, false},
      {300, SEND, false},
      {400, SEND, false},
      {599, SEND, false},
      {600, SEND, true}}},
    {"an answer ends suspicion",
     {{0, SEND, false},
      {100, SEND, false},
      {300, SEND, true},
      {400, HEAR, false},
      {400, CHECK, false}}},
    {"the period doubles up to 16 s",
     {{0, SEND, false},
      {0, SEND, false},
      {300, SEND, true},
      {2300, SEND, false},
      {2300, SEND, false},
      {2600, SEND, true},
      {6599, CHECK, true},
      {6600, SEND, false},
      {6600, SEND, false},
      {6900, SEND, true},
      {14900, SEND, false},
      {14900, SEND, false},
      {15200, SEND, true},
      {31199, CHECK, true},
      {31200, SEND, false},
      {31200, SEND, false},
      {31500, SEND, true},
      {47499, CHECK, true},
      {47500, CHECK, false}}},
    {"an answer puts the period back to 2 s",
     {{0, SEND, false},
      {0, SEND, false},
      {300, SEND, true},
      {2400, HEAR, false},
      {2500, SEND, false},
      {2500, SEND, false},
      {2800, SEND, true},
      {4799, CHECK, true},
      {4800, CHECK, false}}},
    {"CALLs sent under suspicion do not prolong it",
     {{0, SEND, false},
      {0, SEND, false},
      {300, SEND, true},
      {400, SEND, false},
      {800, SEND, false},
      {1200, SEND, false},
      {2300, CHECK, false}}},
};

/* Guards against suspicion of an instance that answers, and against a silent
 * one that goes on being sent new flows. */
static void
test_steps(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(suspicion_cases); i++) {
        struct GbFailureDetector suspicion;
        struct GbManualClock clock;
        int64_t start_us;

        g_test_message("%s", suspicion_cases[i].name);
        GbManualClock_Init(&clock, 5000000, 0);
        start_us = GbClock_MonotonicUs(&clock.super);
        GbFailureDetector_Init(&suspicion);
        for (const struct Step *step = suspicion_cases[i].steps;
             step->action != END; step++) {
            int64_t now_us;

            GbManualClock_Advance(&clock,
                                  start_us + step->at_ms * US_PER_MS -
                                      GbClock_MonotonicUs(&clock.super));
            now_us = GbClock_MonotonicUs(&clock.super);
            if (step->action == HEAR) {
                GbFailureDetector_RecordReply(&suspicion, 1);
                continue;
            }
            g_test_message("  at %d ms", (int)step->at_ms);
            g_assert_true(
                (step->action == SEND
                     ? GbFailureDetector_RecordSent(&suspicion, 1, now_us)
                     : GbFailureDetector_IsSuspect(&suspicion, 1, now_us)) ==
                step->is_expected);
            g_assert_false(GbFailureDetector_IsSuspect(&suspicion, 2, now_us));
        }
        GbFailureDetector_Finish(&suspicion);
    }
}

struct ForgetCase {
    const char *name;
    /* Instances 1 to sent were sent to; the list then names first to last. */
    uint64_t sent;
    uint64_t first;
    uint64_t last;
    uint32_t expected;
};

static const struct ForgetCase forget_cases[] = {
    {"all stay", 10, 1, 10, 10},
    {"one leaves", 10, 2, 10, 9},
    {"all are replaced", 10, 11, 20, 0},
    {"the list is empty", 10, 1, 0, 0},
    {"the list names instances never sent to", 10, 5, 500, 6},
};

/* Guards against entries of instances that no longer exist: at 720
 * replacements a day they would add up for as long as a balancer runs. */
static void
test_forget(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(forget_cases); i++) {
        const struct ForgetCase *row = &forget_cases[i];
        struct GbInstanceList *list = GbInstanceList_New();
        struct GbFailureDetector suspicion;

        g_test_message("%s", row->name);
        list->count = (uint32_t)(row->last - row->first + 1);
        list->instances = g_new0(struct GbInstance, list->count + 1);
        for (uint32_t j = 0; j < list->count; j++) {
            list->instances[j].id = row->first + j;
        }
        GbFailureDetector_Init(&suspicion);
        for (uint64_t id = 1; id <= row->sent; id++) {
            for (int call = 0; call < 3; call++) {
                GbFailureDetector_RecordSent(&suspicion, id,
                                             call * INT64_C(300000));
            }
        }
        GbFailureDetector_RemoveUnlisted(&suspicion, list);
        g_assert_cmpuint(GbFailureDetector_Count(&suspicion), ==,
                         row->expected);
        for (uint64_t id = 1; id <= row->sent; id++) {
            g_assert_true(
                GbFailureDetector_IsSuspect(&suspicion, id, 700000) ==
                (id >= row->first && id <= row->last));
        }
        GbFailureDetector_Finish(&suspicion);
        GbInstanceList_Unref(list);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/suspicion/steps", test_steps);
    g_test_add_func("/suspicion/forget", test_forget);
    return g_test_run();
}
