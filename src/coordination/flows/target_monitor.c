#include "coordination/flows/target_monitor.h"

#include <string.h>

/* A single SYN packet without a reply may be a lost datagram. */
#define UNANSWERED_MIN 2
/* A target replies to a SYN packet within a millisecond unless its machine is
 * busy. */
#define REPLY_TIMEOUT_US INT64_C(80000)
/* After this time, a SYN packet is sent to the suspect target again. */
#define SUSPECT_US INT64_C(400000)
/* A target that returned a SYN packet gets no new flows for this long. */
#define REFUSING_US INT64_C(100000)

void
GbTargetMonitor_Init(struct GbTargetMonitor *self)
{
    memset(self, 0, sizeof(*self));
}

bool
GbTargetMonitor_RecordSyn(struct GbTargetMonitor *self, int64_t now_us)
{
    if (self->unanswered++ == 0) {
        self->first_unanswered_us = now_us;
    }
    if (self->unanswered < UNANSWERED_MIN ||
        now_us - self->first_unanswered_us < REPLY_TIMEOUT_US) {
        return false;
    }
    self->suspect_until_us = now_us + SUSPECT_US;
    return true;
}

void
GbTargetMonitor_RecordReply(struct GbTargetMonitor *self)
{
    self->unanswered = 0;
    self->suspect_until_us = 0;
}

void
GbTargetMonitor_RecordReturnedSyn(struct GbTargetMonitor *self, int64_t now_us)
{
    self->unanswered = 0;
    self->suspect_until_us = 0;
    self->refusing_until_us = now_us + REFUSING_US;
}

bool
GbTargetMonitor_IsUsable(const struct GbTargetMonitor *self, int64_t now_us)
{
    return now_us >= self->suspect_until_us &&
           now_us >= self->refusing_until_us;
}
