#include "state/message.h"

static const char *const kind_names[GB_MESSAGE_KIND_END] = {
    [GB_MESSAGE_CALL] = "CALL",
    [GB_MESSAGE_FETCH] = "FETCH",
    [GB_MESSAGE_CANCEL] = "CANCEL",
    [GB_MESSAGE_CLOSE] = "CLOSE",
    [GB_MESSAGE_ACCEPTED] = "ACCEPTED",
    [GB_MESSAGE_DATA] = "DATA",
    [GB_MESSAGE_NOT_RUN] = "NOT_RUN",
    [GB_MESSAGE_UNKNOWN] = "UNKNOWN",
    [GB_MESSAGE_ALIVE] = "ALIVE",
    [GB_MESSAGE_LOAD_QUERY] = "LOAD_ASK",
    [GB_MESSAGE_LOAD_REPORT] = "LOAD_REPORT",
    [GB_MESSAGE_HANDOVER] = "HANDOVER",
    [GB_MESSAGE_REVISION] = "REVISION",
};

static const char *const not_run_names[GB_NOT_RUN_REASON_END] = {
    [GB_NOT_RUN_BIND] = "BIND",
    [GB_NOT_RUN_BUSY] = "BUSY",
    [GB_NOT_RUN_DEADLINE] = "DEADLINE",
    [GB_NOT_RUN_DRAINING] = "DRAINING",
    [GB_NOT_RUN_LIMIT] = "LIMIT",
    [GB_NOT_RUN_UNKNOWN_OPERATION] = "UNKNOWN_OPERATION",
    [GB_NOT_RUN_TOO_LARGE] = "TOO_LARGE",
    [GB_NOT_RUN_SHED] = "SHED",
};

static const char *const unknown_names[GB_UNKNOWN_REASON_END] = {
    [GB_UNKNOWN_NO_RECORD] = "NO_RECORD",
    [GB_UNKNOWN_TARGET_FAILED] = "TARGET_FAILED",
    [GB_UNKNOWN_CANCELLED] = "CANCELLED",
    [GB_UNKNOWN_DEADLINE_PASSED] = "DEADLINE_PASSED",
};

static const char *
name_at(const char *const *names, unsigned end, unsigned index)
{
    return index < end && names[index] != NULL ? names[index] : "INVALID";
}

const char *
GbMessage_KindName(enum GbMessageKind kind)
{
    return name_at(kind_names, GB_MESSAGE_KIND_END, (unsigned)kind);
}

const char *
GbMessage_NotRunName(enum GbNotRunReason reason)
{
    return name_at(not_run_names, GB_NOT_RUN_REASON_END, (unsigned)reason);
}

const char *
GbMessage_UnknownName(enum GbUnknownReason reason)
{
    return name_at(unknown_names, GB_UNKNOWN_REASON_END, (unsigned)reason);
}

bool
GbMessage_IsFromCaller(enum GbMessageKind kind)
{
    return kind >= GB_MESSAGE_CALL && kind <= GB_MESSAGE_CLOSE;
}

bool
GbMessage_IsToCaller(enum GbMessageKind kind)
{
    return kind >= GB_MESSAGE_ACCEPTED && kind <= GB_MESSAGE_UNKNOWN;
}
