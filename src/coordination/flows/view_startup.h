#ifndef GB_COORDINATION_FLOWS_VIEW_STARTUP_H
#define GB_COORDINATION_FLOWS_VIEW_STARTUP_H

#include <stdbool.h>
#include <stdint.h>

#include "state/random.h"

/* Decides from whom a new process gets its first view: from a peer whose
 * announcement names a newer version, or from the platform.
 *
 * Handles the start of hundreds of processes at once, after an outage, and of
 * a few in turn. A peer sends a view for a fraction of what reading the
 * platform costs: the platform's lists are large, parsing them takes longer
 * than anything else on a slow core, and the rate of calls is limited for all
 * processes together. A new process announces itself to the seeds and reads
 * the platform unless one of them replies soon. A balancer, which forwards
 * nothing without a view, waits only for a reply that is on its way. An agent,
 * which serves its target without a view, waits for a random time: after an
 * outage the first agents to read announce the view to the others. */
struct GbViewStartup {
    /* Monotonic time at which the process reads the platform. */
    int64_t read_due_us;
    /* True once the process has a view, or has read the platform. */
    bool is_done;
};

/* is_view_urgent is true for a process that cannot work without a view. */
void GbViewStartup_Init(struct GbViewStartup *self, bool is_view_urgent,
                        int64_t now_us, struct GbRandom *random);

/* Returns true if the platform is to be read now. A pull in progress delays
 * the read for a while. */
bool GbViewStartup_ShouldRead(const struct GbViewStartup *self,
                              bool is_pulling, int64_t now_us);

/* Records that the process has a view, or has read the platform. */
void GbViewStartup_Finish(struct GbViewStartup *self);

/* Returns the monotonic time of the next decision about reading;
 * GB_TIMER_NEVER if there is none. */
int64_t GbViewStartup_NextTimerUs(const struct GbViewStartup *self,
                                  bool is_pulling);

#endif
