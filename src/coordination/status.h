#ifndef GB_COORDINATION_STATUS_H
#define GB_COORDINATION_STATUS_H

enum GbCoordinationStatus {
    GB_COORDINATION_OK,
    /* The message is of a kind or in a state that is not allowed here. */
    GB_COORDINATION_UNEXPECTED,
    GB_COORDINATION_NO_INSTANCE,
    GB_COORDINATION_STALE,
    GB_COORDINATION_FULL
};

#endif
