#ifndef GB_COORDINATION_FLOWS_WARMUP_ALLOWANCE_H
#define GB_COORDINATION_FLOWS_WARMUP_ALLOWANCE_H

#include "state/instance_list.h"
#include "state/route_table.h"

/* Number of deliveries whose times are kept. */
#define GB_WARMUP_TIMES_MAX 256

/* Limits the SYN packets that a target gets while it warms up. The limit holds
 * in any window of one second, whatever the windows begin with.
 *
 * Handles a target that starts while its service is loaded: it has no flows in
 * flight yet, so that without a limit it would get all new flows at once, at a
 * time when it processes them slowly. */
struct GbWarmupAllowance {
    /* Maximum number of SYN packets in any window of window_us; 0 if there is
     * no limit. */
    uint32_t limit;
    int64_t window_us;
    /* Time for which a target warms up after its start. */
    int64_t warmup_us;
    /* Monotonic time until which the allowance is empty, because an earlier
     * process may have used it. */
    int64_t empty_until_us;
    /* Entry of the target that the times below were set from. */
    bool has_entry;
    uint64_t revision;
    uint64_t born_ms;
    /* Monotonic time at which the warm-up ends by the remaining time in the
     * entry, and monotonic time of the target's start. */
    int64_t cold_end_us;
    int64_t born_us;
    /* Monotonic times of the last deliveries, as a ring. */
    int64_t times_us[GB_WARMUP_TIMES_MAX];
    uint32_t next;
    uint32_t count;
};

/* started_us is the monotonic time at which the process started. */
void GbWarmupAllowance_Init(struct GbWarmupAllowance *self,
                            int64_t started_us);

/* Sets the limit from the settings of the service. settings may be NULL. */
void GbWarmupAllowance_SetSettings(struct GbWarmupAllowance *self,
                                   const struct GbServiceSettings *settings);

/* Sets the times of the warm-up from the entry of the target if it differs
 * from the last one. Call this after GbWarmupAllowance_SetSettings. wall_us is
 * the Unix time at now_us. */
void GbWarmupAllowance_SetEntry(struct GbWarmupAllowance *self,
                                const struct GbInstance *entry, int64_t now_us,
                                int64_t wall_us);

bool GbWarmupAllowance_IsWarming(const struct GbWarmupAllowance *self,
                                 int64_t now_us);

/* Records that a SYN packet is delivered to the target, whether it warms up or
 * not: the view that says so may come later. */
void GbWarmupAllowance_Record(struct GbWarmupAllowance *self, int64_t now_us);

/* Returns the earliest time at which a SYN packet may be delivered if ahead
 * others are delivered before it. It is now_us or earlier if the SYN packet
 * may be delivered now. */
int64_t GbWarmupAllowance_NextUs(const struct GbWarmupAllowance *self,
                                 uint32_t ahead, int64_t now_us);

#endif
