#ifndef GB_STATE_FLOW_TIMES_H
#define GB_STATE_FLOW_TIMES_H

#include "state/histogram.h"

enum GbFlowTimeId {
    /* From the opening packet given to the target until its client follows. */
    GB_FLOW_TIME_OPENING,
    /* From the arrival of an opening that waits until it is served. */
    GB_FLOW_TIME_WAITING,
    /* From the arrival of an opening that waits until it is refused. */
    GB_FLOW_TIME_REFUSED,
    /* From the opening packet given to the target until the first data of its
     * answer. */
    GB_FLOW_TIME_ANSWER,
    /* From the opening packet given to the target until the target ends the
     * flow. */
    GB_FLOW_TIME_END,
    GB_FLOW_TIME_ID_END
};

/* Durations in the lives of flows at one agent. */
struct GbFlowTimes {
    struct GbHistogram values[GB_FLOW_TIME_ID_END];
};

/* Name in the text exposition without prefix, such as
 * "flow_opening_seconds". */
const char *GbFlowTimes_Name(enum GbFlowTimeId id);

const char *GbFlowTimes_Help(enum GbFlowTimeId id);

#endif
