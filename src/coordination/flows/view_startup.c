#include "coordination/flows/view_startup.h"

#include <glib.h>
#include <string.h>

#include "state/timer_queue.h"

/* A seed with a view replies within a round trip, on a slow core within a few
 * milliseconds. */
#define READ_DELAY_US INT64_C(20000)
/* Hundreds of agents tell each other within a part of this time. */
#define READ_DELAY_RANGE_US 200000
/* Time that a pull from a peer may take before the platform is read, too. */
#define PULL_PATIENCE_US INT64_C(100000)

static int64_t
read_time_us(const struct GbViewStartup *self, bool is_pulling)
{
    return self->read_due_us + (is_pulling ? PULL_PATIENCE_US : 0);
}

void
GbViewStartup_Init(struct GbViewStartup *self, bool is_view_urgent,
                   int64_t now_us, struct GbRandom *random)
{
    memset(self, 0, sizeof(*self));
    self->read_due_us = now_us + READ_DELAY_US;
    if (!is_view_urgent) {
        self->read_due_us += GbRandom_Below(random, READ_DELAY_RANGE_US);
    }
}

bool
GbViewStartup_ShouldRead(const struct GbViewStartup *self, bool is_pulling,
                         int64_t now_us)
{
    return !self->is_done && now_us >= read_time_us(self, is_pulling);
}

void
GbViewStartup_Finish(struct GbViewStartup *self)
{
    self->is_done = true;
}

int64_t
GbViewStartup_NextTimerUs(const struct GbViewStartup *self, bool is_pulling)
{
    return self->is_done ? GB_TIMER_NEVER : read_time_us(self, is_pulling);
}
