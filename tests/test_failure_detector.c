#include "coordination/placement/failure_detector.h"

#include <glib.h>

#include "state/clock.h"
#include "state/instance_list.h"

#define STEPS_MAX 24
#define US_PER_MS 1000

enum Action { END, SEND, REPLY, CHECK };

struct Step {
    int64_t at_ms;
    enum Action action;
    /* SEND: true if this makes the instance suspect. CHECK: true if it is
     * suspect. */
    bool is_expected;
};

struct DetectionCase {
    const char *name;
    struct Step steps[STEPS_MAX];
};

static const struct DetectionCase detection_cases[] = {
    {"never sent to", {{0, CHECK, false}, {0, REPLY, false}}},
    {"two unanswered CALLs are not enough",
     {{0, SEND, false}, {1000, SEND, false}, {1000, CHECK, false}}},
    {"three CALLs at once are not enough",
     {{0, SEND, false},
      {1, SEND, false},
      {2, SEND, false},
      {299, SEND, false},
      {299, CHECK, false}}},
    {"three CALLs and 300 ms without a reply",
     {{0, SEND, false},
      {100, SEND, false},
      {300, SEND, true},
      {300, CHECK, true},
      {2299, CHECK, true},
      {2300, CHECK, false}}},
    {"a reply in between resets the count",
     {{0, SEND, false},
      {100, SEND, false},
      {200, REPLY, false},
      {300, SEND, false},
      {400, SEND, false},
      {599, SEND, false},
      {600, SEND, true}}},
    {"a reply ends the suspicion",
     {{0, SEND, false},
      {100, SEND, false},
      {300, SEND, true},
      {400, REPLY, false},
      {400, CHECK, false}}},
    {"the suspect period doubles up to 16 s",
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
    {"a reply resets the suspect period to 2 s",
     {{0, SEND, false},
      {0, SEND, false},
      {300, SEND, true},
      {2400, REPLY, false},
      {2500, SEND, false},
      {2500, SEND, false},
      {2800, SEND, true},
      {4799, CHECK, true},
      {4800, CHECK, false}}},
    {"CALLs to a suspect instance do not extend the period",
     {{0, SEND, false},
      {0, SEND, false},
      {300, SEND, true},
      {400, SEND, false},
      {800, SEND, false},
      {1200, SEND, false},
      {2300, CHECK, false}}},
};

/* Guards against suspecting an instance that replies, and against new flows
 * that keep going to an unresponsive one. */
static void
test_detection(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(detection_cases); i++) {
        struct GbFailureDetector detector;
        struct GbManualClock clock;
        int64_t start_us;

        g_test_message("%s", detection_cases[i].name);
        GbManualClock_Init(&clock, 5000000, 0);
        start_us = GbClock_MonotonicUs(&clock.super);
        GbFailureDetector_Init(&detector);
        for (const struct Step *step = detection_cases[i].steps;
             step->action != END; step++) {
            int64_t now_us;

            GbManualClock_Advance(&clock,
                                  start_us + step->at_ms * US_PER_MS -
                                      GbClock_MonotonicUs(&clock.super));
            now_us = GbClock_MonotonicUs(&clock.super);
            if (step->action == REPLY) {
                GbFailureDetector_RecordReply(&detector, 1);
                continue;
            }
            g_test_message("  at %d ms", (int)step->at_ms);
            g_assert_true(
                (step->action == SEND
                     ? GbFailureDetector_RecordSent(&detector, 1, now_us)
                     : GbFailureDetector_IsSuspect(&detector, 1, now_us)) ==
                step->is_expected);
            g_assert_false(GbFailureDetector_IsSuspect(&detector, 2, now_us));
        }
        GbFailureDetector_Finish(&detector);
    }
}

struct UnlistedCase {
    const char *name;
    /* CALLs are sent to instances 1 to sent; the new list contains first to
     * last. */
    uint64_t sent;
    uint64_t first;
    uint64_t last;
    uint32_t expected;
};

static const struct UnlistedCase unlisted_cases[] = {
    {"all stay", 10, 1, 10, 10},
    {"one leaves", 10, 2, 10, 9},
    {"all are replaced", 10, 11, 20, 0},
    {"the list is empty", 10, 1, 0, 0},
    {"the list contains instances without entries", 10, 5, 500, 6},
};

/* Guards against keeping entries of instances that no longer exist: at 720
 * replacements a day they would accumulate as long as a balancer runs. */
static void
test_unlisted_entries_are_removed(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(unlisted_cases); i++) {
        const struct UnlistedCase *row = &unlisted_cases[i];
        struct GbInstanceList *list = GbInstanceList_New();
        struct GbFailureDetector detector;

        g_test_message("%s", row->name);
        list->count = (uint32_t)(row->last - row->first + 1);
        list->instances = g_new0(struct GbInstance, list->count + 1);
        for (uint32_t j = 0; j < list->count; j++) {
            list->instances[j].id = row->first + j;
        }
        GbFailureDetector_Init(&detector);
        for (uint64_t id = 1; id <= row->sent; id++) {
            for (int call = 0; call < 3; call++) {
                GbFailureDetector_RecordSent(&detector, id,
                                             call * INT64_C(300000));
            }
        }
        GbFailureDetector_RemoveUnlisted(&detector, list);
        g_assert_cmpuint(GbFailureDetector_Count(&detector), ==,
                         row->expected);
        for (uint64_t id = 1; id <= row->sent; id++) {
            g_assert_true(GbFailureDetector_IsSuspect(&detector, id, 700000) ==
                          (id >= row->first && id <= row->last));
        }
        GbFailureDetector_Finish(&detector);
        GbInstanceList_Unref(list);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/failure-detector/detection", test_detection);
    g_test_add_func("/failure-detector/unlisted-entries-are-removed",
                    test_unlisted_entries_are_removed);
    return g_test_run();
}
