#ifndef GB_STATE_MESSAGE_H
#define GB_STATE_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/address.h"

/* Largest range of a response in one DATA message. */
#define GB_RANGE_BYTES_MAX 1024
/* Largest body of a CALL. */
#define GB_CALL_BODY_BYTES_MAX 900
/* Largest datagram between caller and balancer. */
#define GB_DATAGRAM_BYTES_MAX 1200
/* Largest datagram between balancer and agent: a caller's datagram in an
 * envelope. */
#define GB_ENVELOPE_BYTES_MAX 1280

/* Encoded token: 42 bytes and an authentication tag of 16. */
#define GB_SEALED_TOKEN_BYTES 58

/* Idle time after which a caller binds its flow again instead of using the
 * token. A draining agent stays up for longer than that after the last use, so
 * that no token refers to an agent that has shut down as planned. */
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
    /* Named LOAD_ASK in texts. */
    GB_MESSAGE_LOAD_QUERY,
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

/* Reference to bytes that another object owns. */
struct GbBytes {
    const uint8_t *data;
    uint32_t size_bytes;
};

/* Identifies the agent incarnation that holds a flow. The encoded token
 * carries an authentication tag, so that a decoded token is always authentic.
 */
struct GbToken {
    uint32_t service_id;
    uint64_t instance_id;
    uint64_t incarnation;
    struct GbAddress agent;
    uint64_t flow_id;
    /* Time of the agent's monotonic clock. */
    uint64_t issued_ms;
};

/* Return path to a caller: its address as seen by a balancer. */
struct GbReturnPath {
    struct GbAddress caller;
    /* Authentication tag of the address, computed by a balancer. */
    uint64_t tag;
    /* Balancer that forwards the reply. Not encoded: it is the sender of the
     * envelope. */
    struct GbAddress balancer;
};

/* Document revision as peers announce it to each other. */
struct GbRevision {
    uint64_t number;
    /* First bytes of the digest, to distinguish documents of the same
     * number. */
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
    /* The caller has received all bytes below this offset. */
    uint64_t acknowledged;
    uint64_t offset;
    uint32_t length_bytes;
};

struct GbDataFields {
    uint16_t target_status;
    uint64_t offset;
    /* GB_TOTAL_UNKNOWN until the response is complete. */
    uint64_t total;
    /* XXH64 of the whole response; valid once total is known. */
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
    uint32_t query_id;
    uint64_t instance_id;
    struct GbLoad load;
};

struct GbHandoverFields {
    struct GbReturnPath path;
    struct GbCallFields call;
};

/* Message between the processes, decoded. Byte fields point into the datagram
 * that it was decoded from. */
struct GbMessage {
    enum GbMessageKind kind;
    uint32_t service_id;
    uint64_t flow_id;
    /* Identifies one submission to one agent; a retry of the request gets a
     * new id. */
    uint32_t request_id;
    /* Rank of the instance that an unbound CALL is for. */
    uint8_t attempt;
    bool has_token;
    /* Decoded token. Only set by processes that hold the keys. */
    struct GbToken token;
    /* Encoded token as received, which a caller sends back unchanged. */
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

/* Returns true if callers send this kind. */
bool GbMessage_IsFromCaller(enum GbMessageKind kind);

/* Returns true if agents send this kind to callers. */
bool GbMessage_IsToCaller(enum GbMessageKind kind);

#endif
