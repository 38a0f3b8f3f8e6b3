#ifndef GB_TESTS_SOAK_PROMISES_H
#define GB_TESTS_SOAK_PROMISES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Time for which a process may be behind after trouble has ended. */
#define SOAK_STABLE_MS 4000

/* What was promised and broken, and what excuses a time bound. */
struct SoakPromises {
    int64_t start_ms;
    /* End of the last trouble that nobody planned, or INT64_MAX while it
     * lasts. */
    int64_t trouble_end_ms;
    uint32_t troubles;
    uint32_t broken;
};

void SoakPromises_Init(struct SoakPromises *self);

/* Monotonic milliseconds. */
int64_t Soak_NowMs(void);

/* Trouble begins and ends; it may overlap with other trouble. */
void SoakPromises_Begin(struct SoakPromises *self);
void SoakPromises_End(struct SoakPromises *self);

/* Whether no trouble has been for as long as a process may be behind. */
bool SoakPromises_IsCalm(const struct SoakPromises *self);

/* Reports a broken promise on standard output. */
void SoakPromises_Broken(struct SoakPromises *self, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/* Reports what was done, on standard output. */
void SoakPromises_Note(const struct SoakPromises *self, const char *format,
                       ...) G_GNUC_PRINTF(2, 3);

#endif
