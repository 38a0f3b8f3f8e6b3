#ifndef GB_STATE_MESSAGE_H
#define GB_STATE_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/address.h"

/* Largest range of an answer in one DATA message. */
#define GB_RANGE_BYTES 1024
/* Largest body of a CALL. */
#define GB_CALL_BODY_BYTES 900
/* Largest datagram between caller and balancer. */
#define GB_DATAGRAM_BYTES 1200
/* Largest datagram between balancer and agent: one of a caller with its
 * envelope. */
#define GB_ENVELOPE_BYTES 1280

/* Encoded token: 42 bytes and a hash of 16. */
#define GB_SEALED_TOKEN_BYTES 58

/* Time without use after which a caller binds a session anew instead of using
 * its token. An agent that leaves stays for longer than that after the last
 * use, so that no token leads to an agent that has left as planned. */
#define GB_TOKEN_IDLE_US INT64_C(2000000)

#define GB_TOTAL_UNKNOWN UINT64_MAX

enum GbMessageKind {
    GB_MESSAGE_CALL = 1,
    GB_MESSAGE_FETCH,
    GB_MESSAGE_CANCEL,
    GB_MESSAGE_CLOSE,
    GB_MESSAGE_ACCEPTED,
    GB_MESSAGE_DATA,
    GB_MESSAGE_NOT_RUN,
    GB_MESSAGE_UNKNOWN,
    GB_MESSAGE_ALIVE,
    GB_MESSAGE_LOAD_ASK,
    GB_MESSAGE_LOAD_REPORT,
    GB_MESSAGE_HANDOVER,
    GB_MESSAGE_REVISION,
    GB_MESSAGE_KIND_END
};

enum GbNotRunReason {
    GB_NOT_RUN_BIND = 1,
    GB_NOT_RUN_BUSY,
    GB_NOT_RUN_DEADLINE,
    GB_NOT_RUN_DRAINING,
    GB_NOT_RUN_LIMIT,
    GB_NOT_RUN_UNKNOWN_OPERATION,
    GB_NOT_RUN_TOO_LARGE,
    GB_NOT_RUN_SHED,
    GB_NOT_RUN_REASON_END
};

enum GbUnknownReason {
    GB_UNKNOWN_NO_RECORD = 1,
    GB_UNKNOWN_TARGET_FAILED,
    GB_UNKNOWN_CANCELLED,
    GB_UNKNOWN_DEADLINE_PASSED,
    GB_UNKNOWN_REASON_END
};

enum GbRequestProgress {
    GB_PROGRESS_QUEUED = 1,
    GB_PROGRESS_RUNNING,
    GB_PROGRESS_END
};

/* Bytes that somebody else owns. */
struct GbBytes {
    const uint8_t *data;
    uint32_t size_bytes;
};

/* Names the one agent incarnation that holds a flow. Encoded with a keyed
 * hash, so that holding a decoded one means that it was genuine. */
struct GbToken {
    uint32_t service_id;
    uint64_t instance_id;
    uint64_t incarnation;
    struct GbAddress agent;
    uint64_t flow_id;
    /* Milliseconds of the agent's monotonic clock. */
    uint64_t issued_ms;
};

/* Way back to a caller: its address as a balancer saw it. */
struct GbPath {
    struct GbAddress caller;
    /* Keyed hash of the address, made by a balancer. */
    uint64_t tag;
    /* Balancer that the answer goes through. Not part of the encoding: it is
     * where the envelope came from. */
    struct GbAddress balancer;
};

/* Document revision as peers announce it to each other. */
struct GbRevision {
    uint64_t number;
    /* First bytes of the digest, to tell apart documents of one number. */
    uint32_t digest_prefix;
};

struct GbLoad {
    uint32_t running;
    uint32_t queued;
    uint32_t capacity;
    bool is_draining;
};

struct GbCallFields {
    uint16_t operation_id;
    struct GbBytes body;
};

struct GbFetchFields {
    /* Everything below is held by the caller and may be dropped. */
    uint64_t acknowledged;
    uint64_t offset;
    uint32_t length_bytes;
};

struct GbDataFields {
    uint16_t target_status;
    uint64_t offset;
    /* GB_TOTAL_UNKNOWN until the target has finished. */
    uint64_t total;
    /* XXH64 of the whole answer; valid once total is known. */
    uint64_t digest;
    struct GbBytes bytes;
};

struct GbAliveFields {
    uint64_t instance_id;
    uint64_t incarnation;
    struct GbLoad load;
    struct GbRevision revision;
};

struct GbLoadFields {
    uint32_t ask_id;
    uint64_t instance_id;
    struct GbLoad load;
};

struct GbHandoverFields {
    struct GbPath path;
    struct GbCallFields call;
};

/* Message between the system's processes, decoded. Byte fields point into
 * the datagram that it was decoded from. */
struct GbMessage {
    enum GbMessageKind kind;
    uint32_t service_id;
    uint64_t flow_id;
    /* Names one submission to one agent: a request that is submitted again
     * gets a new one. */
    uint32_t request_id;
    /* Rank that an unbound CALL asks for. */
    uint8_t attempt;
    bool has_token;
    /* Set by those who hold the keys. */
    struct GbToken token;
    /* As received; a caller sends it back unopened. */
    uint8_t sealed_token[GB_SEALED_TOKEN_BYTES];
    union {
        struct GbCallFields call;
        struct GbFetchFields fetch;
        enum GbRequestProgress progress;
        struct GbDataFields data;
        enum GbNotRunReason not_run;
        enum GbUnknownReason unknown;
        struct GbAliveFields alive;
        struct GbLoadFields load;
        struct GbHandoverFields handover;
        struct GbRevision revision;
    };
};

/* Upper-case name of the kind, as in the documentation. */
const char *GbMessage_KindName(enum GbMessageKind kind);

const char *GbMessage_NotRunName(enum GbNotRunReason reason);

const char *GbMessage_UnknownName(enum GbUnknownReason reason);

/* Whether callers send this kind. */
bool GbMessage_IsFromCaller(enum GbMessageKind kind);

/* Whether agents send this kind to callers. */
bool GbMessage_IsToCaller(enum GbMessageKind kind);

#endif
