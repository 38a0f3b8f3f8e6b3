#include "coordination/flows/flow_completeness.h"

#include <glib.h>

/* A packet that ends a pause may be lost and repeated, up to three times in
 * this time. */
#define IDLE_MARGIN_US INT64_C(2000000)

void
GbFlowCompleteness_Init(struct GbFlowCompleteness *self, int64_t now_us)
{
    self->started_us = now_us;
    self->idle_limit_us = 0;
    self->complete_from_us = INT64_MAX;
}

void
GbFlowCompleteness_SetIdleLimit(struct GbFlowCompleteness *self,
                                int64_t idle_timeout_us,
                                int64_t flow_lifetime_us, int64_t now_us)
{
    int64_t old_limit_us = self->idle_limit_us;

    /* The age of a flow bounds the time for which it can be idle. */
    if (idle_timeout_us == 0 || idle_timeout_us > flow_lifetime_us) {
        idle_timeout_us = flow_lifetime_us;
    }
    self->idle_limit_us = idle_timeout_us + IDLE_MARGIN_US;
    if (old_limit_us == 0) {
        /* A flow of before the start that has had no packet since then has
         * been idle for at least the time since the start. */
        self->complete_from_us = self->started_us + self->idle_limit_us;
    }
    else if (self->idle_limit_us > old_limit_us) {
        /* Flows that were removed under the old limit may go on. */
        GbFlowCompleteness_MarkIncomplete(self, now_us);
    }
}

void
GbFlowCompleteness_MarkIncomplete(struct GbFlowCompleteness *self,
                                  int64_t now_us)
{
    self->complete_from_us =
        MAX(self->complete_from_us, now_us + self->idle_limit_us);
}

bool
GbFlowCompleteness_MayDiscard(const struct GbFlowCompleteness *self,
                              int64_t answered_us, int64_t now_us)
{
    return now_us - answered_us >= self->idle_limit_us - IDLE_MARGIN_US;
}

bool
GbFlowCompleteness_IsComplete(const struct GbFlowCompleteness *self,
                              int64_t now_us)
{
    return now_us >= self->complete_from_us;
}
