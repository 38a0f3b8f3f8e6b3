#include "state/flow_times.h"

#include <assert.h>

struct TimeField {
    const char *name;
    const char *help;
};

static const struct TimeField time_fields[GB_FLOW_TIME_ID_END] = {
    [GB_FLOW_TIME_OPENING] = {"flow_opening_seconds",
                              "From SYN packet to the client's next packet."},
    [GB_FLOW_TIME_WAITING] = {"flow_waiting_seconds",
                              "Queueing of SYN packets that were served."},
    [GB_FLOW_TIME_REFUSED] = {"flow_refused_seconds",
                              "Queueing of SYN packets that were refused."},
    [GB_FLOW_TIME_ANSWER] = {"flow_answer_seconds",
                             "From SYN packet to the first response data."},
    [GB_FLOW_TIME_END] = {"flow_end_seconds",
                          "From SYN packet to the end by the target."},
};

const char *
GbFlowTimes_Name(enum GbFlowTimeId id)
{
    assert(id < GB_FLOW_TIME_ID_END);
    return time_fields[id].name;
}

const char *
GbFlowTimes_Help(enum GbFlowTimeId id)
{
    assert(id < GB_FLOW_TIME_ID_END);
    return time_fields[id].help;
}
