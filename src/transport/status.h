#ifndef GB_TRANSPORT_STATUS_H
#define GB_TRANSPORT_STATUS_H

enum GbTransportStatus {
    GB_TRANSPORT_OK,
    /* The system refused a socket, thread or event. */
    GB_TRANSPORT_SYSTEM_ERROR,
    /* The command line or environment asks for help or version only. */
    GB_TRANSPORT_HELP_SHOWN,
    GB_TRANSPORT_INVALID_SETTING,
    GB_TRANSPORT_UNREACHABLE,
    /* A bound is reached; nothing was done. */
    GB_TRANSPORT_LIMIT,
    GB_TRANSPORT_TOO_LARGE,
    GB_TRANSPORT_NO_SESSION
};

#endif
