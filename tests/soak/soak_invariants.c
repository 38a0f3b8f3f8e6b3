#include "soak_invariants.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000
/* Further violations are counted but not printed. */
#define REPORTED_VIOLATIONS_MAX 20
#define MS_PER_SECOND 1000.0
/* Many times the period of the calls. */
#define STANDSTILL_MS 1000

static void
print_line(const struct SoakInvariants *self, const char *word,
           const char *text)
{
    printf("%8.3f %s %s\n",
           (double)(Soak_NowMs() - self->start_ms) / MS_PER_SECOND, word,
           text);
    fflush(stdout);
}

void
SoakInvariants_Init(struct SoakInvariants *self)
{
    memset(self, 0, sizeof(*self));
    self->start_ms = Soak_NowMs();
    self->last_fault_end_ms = self->start_ms;
}

int64_t
Soak_NowMs(void)
{
    return g_get_monotonic_time() / US_PER_MS;
}

void
SoakInvariants_BeginFault(struct SoakInvariants *self)
{
    self->active_faults++;
    self->last_fault_end_ms = INT64_MAX;
}

void
SoakInvariants_EndFault(struct SoakInvariants *self)
{
    g_assert_cmpuint(self->active_faults, >, 0);
    self->active_faults--;
    if (self->active_faults == 0) {
        self->last_fault_end_ms = Soak_NowMs();
    }
}

void
SoakInvariants_RecordTick(struct SoakInvariants *self)
{
    int64_t now_ms = Soak_NowMs();

    if (self->last_tick_ms != 0 &&
        now_ms - self->last_tick_ms > STANDSTILL_MS) {
        SoakInvariants_LogNote(self, "the soak stood still for %" PRId64 " ms",
                               now_ms - self->last_tick_ms);
        if (self->active_faults == 0) {
            self->last_fault_end_ms = now_ms;
        }
    }
    self->last_tick_ms = now_ms;
}

bool
SoakInvariants_IsStable(const struct SoakInvariants *self)
{
    return self->active_faults == 0 &&
           Soak_NowMs() - self->last_fault_end_ms >= SOAK_STABLE_MS;
}

void
SoakInvariants_ReportViolation(struct SoakInvariants *self, const char *format,
                               ...)
{
    va_list arguments;
    char *text;

    if (++self->violations > REPORTED_VIOLATIONS_MAX) {
        return;
    }
    va_start(arguments, format);
    text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    print_line(self, "VIOLATION", text);
    g_free(text);
}

void
SoakInvariants_LogNote(const struct SoakInvariants *self, const char *format,
                       ...)
{
    va_list arguments;
    char *text;

    va_start(arguments, format);
    text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    print_line(self, "note", text);
    g_free(text);
}
