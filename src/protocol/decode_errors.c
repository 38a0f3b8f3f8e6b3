#include "protocol/decode_errors.h"

void
GbDecodeErrors_CountDatagram(struct GbCounters *counters,
                             enum GbProtocolStatus status)
{
    switch (status) {
    case GB_PROTOCOL_FORGED_TOKEN:
        GbCounters_Add(counters, GB_COUNTER_TOKENS_FORGED, 1);
        break;
    case GB_PROTOCOL_FORGED_PATH:
        GbCounters_Add(counters, GB_COUNTER_PATHS_FORGED, 1);
        break;
    default:
        GbCounters_Add(counters, GB_COUNTER_DATAGRAMS_MALFORMED, 1);
        break;
    }
}

void
GbDecodeErrors_CountFrame(struct GbCounters *counters,
                          enum GbProtocolStatus status)
{
    GbCounters_Add(counters,
                   status == GB_PROTOCOL_FORGED_FRAME
                       ? GB_COUNTER_FRAMES_FORGED
                       : GB_COUNTER_FRAMES_MALFORMED,
                   1);
}
