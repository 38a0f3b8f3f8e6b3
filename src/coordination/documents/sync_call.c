#include "coordination/documents/sync_call.h"

uint32_t
GbSyncCall_Start(struct GbSyncCall *self, uint32_t call_id, int64_t now_us,
                 int64_t timeout_us)
{
    self->is_active = true;
    self->call_id = call_id;
    self->started_us = now_us;
    self->deadline_us = now_us + timeout_us;
    return call_id;
}

bool
GbSyncCall_End(struct GbSyncCall *self, uint32_t call_id)
{
    if (!self->is_active || self->call_id != call_id) {
        return false;
    }
    self->is_active = false;
    return true;
}

void
GbSyncCall_ScheduleNext(struct GbSyncCall *self, int64_t next_us)
{
    GbBackoff_Reset(&self->backoff);
    self->next_us = next_us;
}

void
GbSyncCall_BackOff(struct GbSyncCall *self, int64_t now_us,
                   struct GbRandom *random)
{
    self->next_us = now_us + GbBackoff_NextDelayUs(&self->backoff, random);
}

int64_t
GbSyncCall_NextTimerUs(const struct GbSyncCall *self, int64_t token_us)
{
    if (self->is_active) {
        return self->deadline_us;
    }
    return token_us > self->next_us ? token_us : self->next_us;
}
