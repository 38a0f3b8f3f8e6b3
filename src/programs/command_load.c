#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "programs/command.h"
#include "programs/command_caller.h"
#include "programs/command_load_report.h"
#include "transport/process.h"

#define PROGRAM "guavabend load"
#define US_PER_MS 1000
#define US_PER_SECOND INT64_C(1000000)
#define PERCENT 100
#define COUNT_MAX 10000000
#define OUTSTANDING_MAX 65536
#define SESSIONS_MAX 65536
#define WEIGHT_MAX 1000000
#define NUMBER_BASE 10
/* Longest wait for outcomes before due calls are checked again. */
#define WAIT_MS_MAX 50

struct Settings {
    struct GbCommandCallerSettings super;
    char operations[GB_SETTING_TEXT_BYTES];
    int64_t rate_per_s;
    int64_t concurrency;
    int64_t duration_ms;
    int64_t count;
    int64_t sessions;
    int64_t new_session_percent;
    char body[GB_SETTING_TEXT_BYTES];
};

static const struct GbSetting settings_table[] = {
    GB_COMMAND_CALLER_SETTINGS,
    {"operations", GB_SETTING_TEXT, offsetof(struct Settings, operations),
     NULL, 0, 0, "name:weight,...",
     "Operations to call and their relative weights."},
    {"rate-per-s", GB_SETTING_NUMBER, offsetof(struct Settings, rate_per_s),
     "0", 0, 1000000, "calls per second",
     "Call rate; 0 starts a new call whenever one ends."},
    {"concurrency", GB_SETTING_NUMBER, offsetof(struct Settings, concurrency),
     "16", 1, OUTSTANDING_MAX, "calls",
     "Maximum number of outstanding calls. Due calls wait for a free slot."},
    {"duration-ms", GB_SETTING_NUMBER, offsetof(struct Settings, duration_ms),
     "10000", 1, 3600000, "ms", "Time after which no more calls are started."},
    {"count", GB_SETTING_NUMBER, offsetof(struct Settings, count), "1000000",
     1, COUNT_MAX, "calls", "Maximum number of calls."},
    {"sessions", GB_SETTING_NUMBER, offsetof(struct Settings, sessions), "16",
     1, SESSIONS_MAX, "sessions",
     "Number of sessions over which calls are spread."},
    {"new-session-percent", GB_SETTING_NUMBER,
     offsetof(struct Settings, new_session_percent), "100", 0, PERCENT,
     "percent", "Percentage of calls that open a session of their own."},
    {"body", GB_SETTING_TEXT, offsetof(struct Settings, body), "load", 0, 0,
     "text", "Prefix of each request body; the number of the call follows."},
};

/* Call whose outcome has not arrived yet. */
struct OutstandingCall {
    struct GbLoadOperation *operation;
    /* Time from when the call was due until it was started. */
    int64_t delay_us;
};

struct Load {
    const struct Settings *settings;
    struct GbCommandCaller caller;
    struct GbSystemRandom random;
    struct GbLoadReport report;
    uint32_t total_weight;
    GArray *sessions;
    /* Maps the tag of a call to its struct OutstandingCall. */
    GHashTable *calls_by_tag;
    uint64_t started_calls;
    int64_t started_us;
    bool is_stopped;
};

static int64_t
now_us(struct Load *self)
{
    return GbClock_MonotonicUs(&self->caller.clock.super);
}

static bool
add_operation(struct Load *self, const char *text)
{
    struct GbLoadOperation *entry =
        &self->report.operations[self->report.operation_count];
    gchar **parts = g_strsplit(text, ":", 2);
    char *end = (char *)"";
    uint64_t weight = 1;
    bool is_valid;

    if (parts[0] != NULL && parts[1] != NULL) {
        weight = strtoull(parts[1], &end, NUMBER_BASE);
    }
    is_valid = parts[0] != NULL && *end == '\0' && weight > 0 &&
               weight <= WEIGHT_MAX &&
               self->report.operation_count < GB_LOAD_OPERATIONS_MAX;
    if (!is_valid) {
        fprintf(stderr,
                "%s: setting operations has \"%s\", must be name:weight with "
                "a weight from 1 to %d, at most %d times\n",
                PROGRAM, text, WEIGHT_MAX, GB_LOAD_OPERATIONS_MAX);
    }
    else {
        entry->operation =
            GbCommandCaller_FindOperation(&self->caller, parts[0]);
        is_valid = entry->operation != NULL;
    }
    g_strfreev(parts);
    if (!is_valid) {
        return false;
    }
    entry->weight = (uint32_t)weight;
    self->total_weight += entry->weight;
    GbPercentiles_Init(&entry->latencies, COUNT_MAX);
    self->report.operation_count++;
    return true;
}

static bool
add_operations(struct Load *self)
{
    gchar **list = g_strsplit(self->settings->operations, ",", -1);
    bool is_valid = true;

    for (gchar **text = list; is_valid && *text != NULL; text++) {
        is_valid = add_operation(self, *text);
    }
    g_strfreev(list);
    return is_valid;
}

static struct GbLoadOperation *
choose_operation(struct Load *self)
{
    uint32_t index = GbRandom_Below(&self->random.super, self->total_weight);
    struct GbLoadOperation *operation = self->report.operations;

    while (index >= operation->weight) {
        index -= operation->weight;
        operation++;
    }
    return operation;
}

static void
start_call(struct Load *self, int64_t delay_us)
{
    struct GbLoadOperation *operation = choose_operation(self);
    struct OutstandingCall *call = g_new0(struct OutstandingCall, 1);
    uint64_t tag = ++self->started_calls;
    char *text = g_strdup_printf("%s-%" PRIu64, self->settings->body, tag);
    struct GbBytes body = {(const uint8_t *)text, (uint32_t)strlen(text)};
    bool is_new = GbRandom_Below(&self->random.super, PERCENT) <
                  self->settings->new_session_percent;

    call->operation = operation;
    call->delay_us = delay_us;
    g_hash_table_insert(self->calls_by_tag, g_memdup2(&tag, sizeof(tag)),
                        call);
    operation->calls++;
    if (is_new) {
        GbCallerTask_Call(&self->caller.task, tag, operation->operation, body);
    }
    else {
        uint32_t index =
            GbRandom_Below(&self->random.super, self->sessions->len);

        GbCallerTask_CallInSession(
            &self->caller.task, g_array_index(self->sessions, uint64_t, index),
            tag, operation->operation, body);
    }
    g_free(text);
}

static bool
is_call_allowed(struct Load *self, int64_t elapsed_us)
{
    return !self->is_stopped &&
           elapsed_us < self->settings->duration_ms * US_PER_MS &&
           self->started_calls < (uint64_t)self->settings->count;
}

/* Returns the time from the start of the load until the next call is due. */
static int64_t
next_due_us(const struct Load *self)
{
    return self->settings->rate_per_s > 0
               ? (int64_t)self->started_calls * US_PER_SECOND /
                     self->settings->rate_per_s
               : 0;
}

/* Starts the calls that are due. Returns the time in ms to wait before the
 * next check. */
static uint32_t
start_due_calls(struct Load *self)
{
    int64_t elapsed_us = now_us(self) - self->started_us;

    while (is_call_allowed(self, elapsed_us)) {
        int64_t delay_us = elapsed_us - next_due_us(self);

        if (delay_us < 0) {
            return (uint32_t)MIN(-delay_us / US_PER_MS + 1, WAIT_MS_MAX);
        }
        if (self->caller.task.outstanding_calls >=
            self->settings->concurrency) {
            break;
        }
        if (self->settings->rate_per_s == 0) {
            delay_us = 0;
        }
        else if (delay_us > WAIT_MS_MAX * US_PER_MS) {
            self->report.delayed_calls++;
        }
        start_call(self, delay_us);
        elapsed_us = now_us(self) - self->started_us;
    }
    return WAIT_MS_MAX;
}

static void
record_outcomes(struct Load *self, uint32_t timeout_ms)
{
    struct GbCallOutcome *outcome =
        GbCallerTask_WaitForOutcome(&self->caller.task, timeout_ms);

    while (outcome != NULL) {
        const struct OutstandingCall *call =
            g_hash_table_lookup(self->calls_by_tag, &outcome->tag);

        GbLoadReport_AddResult(call->operation, &outcome->result,
                               call->delay_us);
        g_hash_table_remove(self->calls_by_tag, &outcome->tag);
        GbCallOutcome_Free(outcome);
        outcome = GbCallerTask_WaitForOutcome(&self->caller.task, 0);
    }
}

/* Makes calls until a limit is reached, then waits for the outcomes of those
 * that are outstanding. */
static void
run_calls(struct Load *self)
{
    self->started_us = now_us(self);
    do {
        record_outcomes(self, start_due_calls(self));
        self->is_stopped = self->is_stopped || GbProcess_IsStopRequested();
    } while (is_call_allowed(self, now_us(self) - self->started_us) ||
             self->caller.task.outstanding_calls > 0);
    self->report.duration_us = now_us(self) - self->started_us;
}

static int
load(struct Load *self)
{
    if (!add_operations(self)) {
        return GB_EXIT_USAGE;
    }
    for (int64_t i = 0; i < self->settings->sessions; i++) {
        uint64_t session;

        if (GbCallerTask_OpenSession(&self->caller.task, &session) ==
            GB_TRANSPORT_OK) {
            g_array_append_val(self->sessions, session);
        }
    }
    run_calls(self);
    for (guint i = 0; i < self->sessions->len; i++) {
        GbCallerTask_CloseSession(&self->caller.task,
                                  g_array_index(self->sessions, uint64_t, i));
    }
    GbLoadReport_Write(&self->report, stdout);
    if (!GbLoadReport_HasAnswers(&self->report)) {
        fprintf(stderr, "%s: no call was answered\n", PROGRAM);
        return GB_EXIT_FAILURE;
    }
    return GB_EXIT_SUCCESS;
}

int
GbCommand_Load(int argc, char **argv)
{
    static struct Load self;
    struct Settings settings = {0};
    enum GbTransportStatus status =
        GbSettings_Load(settings_table, G_N_ELEMENTS(settings_table), PROGRAM,
                        argc, argv, &settings, stderr);
    int code;

    if (status != GB_TRANSPORT_OK) {
        return status == GB_TRANSPORT_HELP_SHOWN ? GB_EXIT_SUCCESS
                                                 : GB_EXIT_USAGE;
    }
    self.settings = &settings;
    code = GbCommandCaller_Open(&self.caller, PROGRAM, &settings.super);
    if (code != GB_EXIT_SUCCESS) {
        return code;
    }
    GbSystemRandom_Init(&self.random);
    GbCallerTask_SetLimits(&self.caller.task, OUTSTANDING_MAX, SESSIONS_MAX);
    self.sessions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    self.calls_by_tag =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    code = load(&self);
    GbLoadReport_Finish(&self.report);
    g_hash_table_destroy(self.calls_by_tag);
    g_array_unref(self.sessions);
    GbCommandCaller_Close(&self.caller);
    return code;
}
