#ifndef GB_COORDINATION_PLACEMENT_FAILURE_DETECTOR_H
#define GB_COORDINATION_PLACEMENT_FAILURE_DETECTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/instance_list.h"

/* Failure detector of one balancer task. It marks instances as suspect that
 * receive datagrams without replying. It keeps one entry for each instance and
 * none for flows. */
struct GbFailureDetector {
    /* Entries by instance id. */
    GHashTable *by_instance;
    /* Number of calls of GbFailureDetector_RemoveUnlisted. */
    uint32_t generation;
    /* Monotonic time from which no instance is suspect. */
    int64_t suspect_until_us;
};

void GbFailureDetector_Init(struct GbFailureDetector *self);

void GbFailureDetector_Finish(struct GbFailureDetector *self);

/* Records that an unbound CALL or a SYN packet was sent to the instance.
 * Returns true if this makes the instance suspect. */
bool GbFailureDetector_RecordSent(struct GbFailureDetector *self,
                                  uint64_t instance_id, int64_t now_us);

/* Records that a client retransmitted a SYN packet that was sent to the
 * instance. Returns true if this makes the instance suspect: it has not
 * replied since, for longer than a working instance takes after a packet. */
bool GbFailureDetector_RecordRetransmission(struct GbFailureDetector *self,
                                            uint64_t instance_id,
                                            int64_t now_us);

/* Removes the entries of instances that are not in the list. */
void GbFailureDetector_RemoveUnlisted(struct GbFailureDetector *self,
                                      const struct GbInstanceList *list);

/* Returns the number of entries. */
uint32_t GbFailureDetector_Count(const struct GbFailureDetector *self);

/* Records a reply of the instance, which is then no longer suspect. */
void GbFailureDetector_RecordReply(struct GbFailureDetector *self,
                                   uint64_t instance_id);

/* Records a periodic report of the instance and its time. Also counts as a
 * reply. */
void GbFailureDetector_RecordReport(struct GbFailureDetector *self,
                                    uint64_t instance_id, int64_t now_us);

/* Records a notice of the instance that it accepts no new flows. It is treated
 * as suspect for 1 s or until its next reply or report. */
void GbFailureDetector_MarkUnavailable(struct GbFailureDetector *self,
                                       uint64_t instance_id, int64_t now_us);

/* Returns true if an instance that was reporting has recently missed reports.
 * Returns false if it never reported, and if its last report is so old that it
 * may have stopped reporting because it receives no packets. */
bool GbFailureDetector_HasMissedReports(const struct GbFailureDetector *self,
                                        uint64_t instance_id, int64_t now_us);

/* Returns true if the other data tasks should be notified of a reply of the
 * instance, and at most once in 100 ms for each instance. */
bool GbFailureDetector_ShouldShareReply(struct GbFailureDetector *self,
                                        uint64_t instance_id, int64_t now_us);

bool GbFailureDetector_IsSuspect(const struct GbFailureDetector *self,
                                 uint64_t instance_id, int64_t now_us);

#endif
