#ifndef GB_TRANSPORT_STATUS_H
#define GB_TRANSPORT_STATUS_H

enum GbTransportStatus {
    GB_TRANSPORT_OK,
    /* The operating system could not provide a socket, a thread, an event or
     * random numbers. */
    GB_TRANSPORT_SYSTEM_ERROR,
    /* Help or version was requested and has been printed. */
    GB_TRANSPORT_HELP_SHOWN,
    GB_TRANSPORT_INVALID_SETTING,
    GB_TRANSPORT_UNREACHABLE,
    /* A limit was reached; nothing was done. */
    GB_TRANSPORT_LIMIT,
    GB_TRANSPORT_TOO_LARGE,
    GB_TRANSPORT_NO_SESSION
};

#endif
