#ifndef GB_TRANSPORT_TASK_MESSAGES_H
#define GB_TRANSPORT_TASK_MESSAGES_H

#include "coordination/calls/agent.h"
#include "state/counters.h"
#include "state/view.h"
#include "transport/task.h"

/* Messages between the tasks of one process. */

/* From control to data tasks: the view to act on. */
struct GbViewMessage {
    struct GbTaskMessage super;
    struct GbView *view;
};

/* From a data task to control: a copy of its counters. */
struct GbDataReportMessage {
    struct GbTaskMessage super;
    uint32_t task_index;
    struct GbCounters counters;
    /* Agents only. */
    struct GbLoad load;
    uint32_t flow_count;
    uint32_t request_count;
    bool is_drained;
};

/* From a data task to control: a peer announced a document revision. */
struct GbRevisionReceivedMessage {
    struct GbTaskMessage super;
    struct GbAddress from;
    struct GbRevision revision;
};

/* From a balancer's data task to the others: an instance has answered. */
struct GbInstanceAnsweredMessage {
    struct GbTaskMessage super;
    uint64_t instance_id;
};

/* From control to a data task: tell another process of a revision. */
struct GbAnnounceRevisionMessage {
    struct GbTaskMessage super;
    struct GbAddress to;
    struct GbRevision revision;
};

/* From control to an agent's data task: the instance is leaving. */
struct GbDrainMessage {
    struct GbTaskMessage super;
};

/* From an agent's data task to its target task. */
struct GbTargetStartMessage {
    struct GbTaskMessage super;
    struct GbTargetCall call;
    char operation_name[GB_NAME_BYTES];
    uint8_t body[GB_CALL_BODY_BYTES];
};

struct GbTargetCancelMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
};

struct GbTargetWindowMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
    uint32_t size_bytes;
};

/* From an agent's target task to its data task. */
struct GbTargetHeadMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
    uint16_t target_status;
};

struct GbTargetDataMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
    uint32_t size_bytes;
    uint8_t *data;
};

struct GbTargetEndedMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
    enum GbTargetEnd end;
};

/* From an agent's target task to its data task: what the target says of
 * itself. */
struct GbTargetPolledMessage {
    struct GbTaskMessage super;
    enum GbTargetHealth health;
    uint32_t slots;
};

extern const struct GbTaskMessageClass GbViewMessage_Class;
extern const struct GbTaskMessageClass GbDataReportMessage_Class;
extern const struct GbTaskMessageClass GbRevisionReceivedMessage_Class;
extern const struct GbTaskMessageClass GbInstanceAnsweredMessage_Class;
extern const struct GbTaskMessageClass GbAnnounceRevisionMessage_Class;
extern const struct GbTaskMessageClass GbDrainMessage_Class;
extern const struct GbTaskMessageClass GbTargetStartMessage_Class;
extern const struct GbTaskMessageClass GbTargetCancelMessage_Class;
extern const struct GbTaskMessageClass GbTargetWindowMessage_Class;
extern const struct GbTaskMessageClass GbTargetHeadMessage_Class;
extern const struct GbTaskMessageClass GbTargetDataMessage_Class;
extern const struct GbTaskMessageClass GbTargetEndedMessage_Class;
extern const struct GbTaskMessageClass GbTargetPolledMessage_Class;

/* Takes its own reference of view. */
struct GbTaskMessage *GbViewMessage_New(struct GbView *view);
struct GbDataReportMessage *
GbDataReportMessage_New(uint32_t task_index,
                        const struct GbCounters *counters);
struct GbTaskMessage *
GbRevisionReceivedMessage_New(const struct GbAddress *from,
                              const struct GbRevision *revision);
struct GbTaskMessage *GbInstanceAnsweredMessage_New(uint64_t instance_id);
struct GbTaskMessage *
GbAnnounceRevisionMessage_New(const struct GbAddress *to,
                              const struct GbRevision *revision);
struct GbTaskMessage *GbDrainMessage_New(void);
struct GbTaskMessage *
GbTargetStartMessage_New(const struct GbTargetCall *call);
struct GbTaskMessage *GbTargetCancelMessage_New(uint64_t work_id);
struct GbTaskMessage *GbTargetWindowMessage_New(uint64_t work_id,
                                                uint32_t size_bytes);
struct GbTaskMessage *GbTargetHeadMessage_New(uint64_t work_id,
                                              uint16_t target_status);
/* data becomes the message's; it is freed with g_free. */
struct GbTaskMessage *GbTargetDataMessage_New(uint64_t work_id, uint8_t *data,
                                              uint32_t size_bytes);
struct GbTaskMessage *GbTargetEndedMessage_New(uint64_t work_id,
                                               enum GbTargetEnd end);
struct GbTaskMessage *GbTargetPolledMessage_New(enum GbTargetHealth health,
                                                uint32_t slots);

#endif
