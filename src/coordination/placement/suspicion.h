#ifndef GB_COORDINATION_PLACEMENT_SUSPICION_H
#define GB_COORDINATION_PLACEMENT_SUSPICION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/instance_list.h"

/* What a balancer task has seen itself of each instance: which ones take
 * datagrams and stay silent. One entry an instance, none a flow. */
struct GbSuspicion {
    GHashTable *by_instance;
    /* Counts the calls of GbSuspicion_KeepListed. */
    uint32_t generation;
    /* No instance is suspect from then on. */
    int64_t suspect_until_us;
};

void GbSuspicion_Init(struct GbSuspicion *self);

void GbSuspicion_Finish(struct GbSuspicion *self);

/* An unbound CALL goes to the instance. Returns true if this makes the
 * instance suspect. */
bool GbSuspicion_Sent(struct GbSuspicion *self, uint64_t instance_id,
                      int64_t now_us);

/* A copy comes of an opening that went to the instance. Returns true if this
 * makes the instance suspect: it has not been heard since, for longer than a
 * live one that got a packet stays silent. */
bool GbSuspicion_Copied(struct GbSuspicion *self, uint64_t instance_id,
                        int64_t now_us);

/* Forgets the instances that the list does not name. */
void GbSuspicion_KeepListed(struct GbSuspicion *self,
                            const struct GbInstanceList *list);

/* Instances that are remembered. */
uint32_t GbSuspicion_Count(const struct GbSuspicion *self);

/* The instance has answered: it is not suspect. */
void GbSuspicion_Heard(struct GbSuspicion *self, uint64_t instance_id);

/* As GbSuspicion_Heard, and remembers the time. */
void GbSuspicion_Reported(struct GbSuspicion *self, uint64_t instance_id,
                          int64_t now_us);

/* The instance has said itself that it takes no new flows: it is avoided like
 * a suspect one for a second, or until it is heard otherwise. */
void GbSuspicion_Avoid(struct GbSuspicion *self, uint64_t instance_id,
                       int64_t now_us);

/* Whether an instance that reports all the time has just fallen silent. False
 * for one that was never heard, and for one that has been silent so long that
 * it may have stopped reporting because nothing was sent to it. */
bool GbSuspicion_IsSilent(const struct GbSuspicion *self, uint64_t instance_id,
                          int64_t now_us);

/* Whether the other data tasks should be told of an answer. True at most once
 * in 100 ms for each instance. */
bool GbSuspicion_IsShareDue(struct GbSuspicion *self, uint64_t instance_id,
                            int64_t now_us);

bool GbSuspicion_IsSuspect(const struct GbSuspicion *self,
                           uint64_t instance_id, int64_t now_us);

#endif
