#ifndef GB_STATE_FLOW_TABLE_H
#define GB_STATE_FLOW_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/flow.h"

/* Flows of an agent, indexed by id and ordered by last use. */
struct GbFlowTable {
    GHashTable *by_id;
    /* Struct GbFlow, least recently used first. */
    GQueue by_use;
    /* Number of flows up to which tokens are issued. */
    uint32_t limit;
};

void GbFlowTable_Init(struct GbFlowTable *self, uint32_t limit);

/* Frees all flows. They must hold no requests. */
void GbFlowTable_Finish(struct GbFlowTable *self);

uint32_t GbFlowTable_Count(const struct GbFlowTable *self);

/* Returns true if the limit is reached and no further tokens should be
 * issued. */
bool GbFlowTable_IsFull(const struct GbFlowTable *self);

struct GbFlow *GbFlowTable_Find(const struct GbFlowTable *self,
                                uint64_t flow_id);

/* Adds a flow. Returns NULL if the table exceeds its limit by a quarter. That
 * margin is for tokens that were issued before the limit was reached. */
struct GbFlow *GbFlowTable_Add(struct GbFlowTable *self, uint64_t flow_id,
                               uint64_t issued_ms, int64_t now_us);

/* Updates the time of last use, which postpones the flow's expiry. */
void GbFlowTable_Touch(struct GbFlowTable *self, struct GbFlow *flow,
                       int64_t now_us);

/* Least recently used flow; NULL if the table is empty. */
struct GbFlow *GbFlowTable_LeastRecentlyUsed(const struct GbFlowTable *self);

/* Time of the most recent use of any flow; 0 if the table is empty. */
int64_t GbFlowTable_LastUsedUs(const struct GbFlowTable *self);

/* Removes and frees a flow that holds no requests. */
void GbFlowTable_Remove(struct GbFlowTable *self, struct GbFlow *flow);

#endif
