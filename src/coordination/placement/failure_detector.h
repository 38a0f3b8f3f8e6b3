#ifndef GB_COORDINATION_PLACEMENT_FAILURE_DETECTOR_H
#define GB_COORDINATION_PLACEMENT_FAILURE_DETECTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/instance_list.h"

/* What a balancer task has seen itself of each instance: which ones take
 * datagrams and stay silent. One entry an instance, none a flow. */
struct GbFailureDetector {
    GHashTable *by_instance;
    /* Counts the calls of GbFailureDetector_RemoveUnlisted. */
    uint32_t generation;
    /* No instance is suspect from then on. */
    int64_t suspect_until_us;
};

void GbFailureDetector_Init(struct GbFailureDetector *self);

void GbFailureDetector_Finish(struct GbFailureDetector *self);

/* An unbound CALL goes to the instance. Returns true if this makes the
 * instance suspect. */
bool GbFailureDetector_RecordSent(struct GbFailureDetector *self,
                                  uint64_t instance_id, int64_t now_us);

/* A copy comes of an opening that went to the instance. Returns true if this
 * makes the instance suspect: it has not been heard since, for longer than a
 * live one that got a packet stays silent. */
bool GbFailureDetector_RecordRetransmission(struct GbFailureDetector *self,
                                            uint64_t instance_id,
                                            int64_t now_us);

/* Forgets the instances that the list does not name. */
void GbFailureDetector_RemoveUnlisted(struct GbFailureDetector *self,
                                      const struct GbInstanceList *list);

/* Instances that are remembered. */
uint32_t GbFailureDetector_Count(const struct GbFailureDetector *self);

/* The instance has answered: it is not suspect. */
void GbFailureDetector_RecordReply(struct GbFailureDetector *self,
                                   uint64_t instance_id);

/* As GbFailureDetector_RecordReply, and remembers the time. */
void GbFailureDetector_RecordReport(struct GbFailureDetector *self,
                                    uint64_t instance_id, int64_t now_us);

/* The instance has said itself that it takes no new flows: it is avoided like
 * a suspect one for a second, or until it is heard otherwise. */
void GbFailureDetector_MarkUnavailable(struct GbFailureDetector *self,
                                       uint64_t instance_id, int64_t now_us);

/* Whether an instance that reports all the time has just fallen silent. False
 * for one that was never heard, and for one that has been silent so long that
 * it may have stopped reporting because nothing was sent to it. */
bool GbFailureDetector_HasMissedReports(const struct GbFailureDetector *self,
                                        uint64_t instance_id, int64_t now_us);

/* Whether the other data tasks should be told of an answer. True at most once
 * in 100 ms for each instance. */
bool GbFailureDetector_ShouldShareReply(struct GbFailureDetector *self,
                                        uint64_t instance_id, int64_t now_us);

bool GbFailureDetector_IsSuspect(const struct GbFailureDetector *self,
                                 uint64_t instance_id, int64_t now_us);

#endif
