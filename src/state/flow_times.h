#ifndef GB_STATE_FLOW_TIMES_H
#define GB_STATE_FLOW_TIMES_H

#include "state/histogram.h"

enum GbFlowTimeId {
    /* From sending the SYN packet to the target until the client's next
     * packet. */
    GB_FLOW_TIME_OPENING,
    /* From queueing a SYN packet until it is sent to the target. */
    GB_FLOW_TIME_WAITING,
    /* From queueing a SYN packet until it is refused. */
    GB_FLOW_TIME_REFUSED,
    /* From sending the SYN packet to the target until the first data of its
     * response. */
    GB_FLOW_TIME_ANSWER,
    /* From sending the SYN packet to the target until the target ends the
     * flow. */
    GB_FLOW_TIME_END,
    GB_FLOW_TIME_ID_END
};

/* Histograms of the durations of flow phases at one agent. */
struct GbFlowTimes {
    struct GbHistogram values[GB_FLOW_TIME_ID_END];
};

/* Name in the Prometheus text format without prefix, such as
 * "flow_opening_seconds". */
const char *GbFlowTimes_Name(enum GbFlowTimeId id);

/* Text of the histogram's HELP line. */
const char *GbFlowTimes_Help(enum GbFlowTimeId id);

#endif
