#ifndef GB_COORDINATION_STATUS_H
#define GB_COORDINATION_STATUS_H

enum GbCoordinationStatus {
    GB_COORDINATION_OK,
    /* The receiver does not accept this kind of message from this sender. */
    GB_COORDINATION_UNEXPECTED,
    /* No instance is available for the call. */
    GB_COORDINATION_NO_INSTANCE,
    /* The version is not higher than the current one. */
    GB_COORDINATION_STALE,
    /* A size limit is reached. */
    GB_COORDINATION_FULL
};

#endif
