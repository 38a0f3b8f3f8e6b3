#include "soak_promises.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000
/* Broken promises beyond this number are only counted. */
#define REPORTED_MAX 20
#define MS_PER_SECOND 1000.0

static void
print(const struct SoakPromises *self, const char *word, const char *format,
      va_list arguments)
{
    printf("%8.3f %s ",
           (double)(Soak_NowMs() - self->start_ms) / MS_PER_SECOND, word);
    vprintf(format, arguments);
    printf("\n");
    fflush(stdout);
}

void
SoakPromises_Init(struct SoakPromises *self)
{
    memset(self, 0, sizeof(*self));
    self->start_ms = Soak_NowMs();
    self->trouble_end_ms = self->start_ms;
}

int64_t
Soak_NowMs(void)
{
    return g_get_monotonic_time() / US_PER_MS;
}

void
SoakPromises_Begin(struct SoakPromises *self)
{
    self->troubles++;
    self->trouble_end_ms = INT64_MAX;
}

void
SoakPromises_End(struct SoakPromises *self)
{
    g_assert_cmpuint(self->troubles, >, 0);
    self->troubles--;
    if (self->troubles == 0) {
        self->trouble_end_ms = Soak_NowMs();
    }
}

bool
SoakPromises_IsCalm(const struct SoakPromises *self)
{
    return self->troubles == 0 &&
           Soak_NowMs() - self->trouble_end_ms >= SOAK_STABLE_MS;
}

void
SoakPromises_Broken(struct SoakPromises *self, const char *format, ...)
{
    va_list arguments;

    if (++self->broken > REPORTED_MAX) {
        return;
    }
    va_start(arguments, format);
    print(self, "BROKEN", format, arguments);
    va_end(arguments);
}

void
SoakPromises_Note(const struct SoakPromises *self, const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    print(self, "note", format, arguments);
    va_end(arguments);
}
