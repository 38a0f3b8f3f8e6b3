#ifndef GB_TRANSPORT_TASK_MESSAGES_H
#define GB_TRANSPORT_TASK_MESSAGES_H

#include "coordination/calls/agent.h"
#include "state/counters.h"
#include "state/view.h"
#include "transport/task.h"

/* Messages between the tasks of one process. */

/* From the control task to data tasks: the new current view. */
struct GbViewMessage {
    struct GbTaskMessage super;
    struct GbView *view;
};

/* From a data task to the control task: its counters and load, sent
 * periodically. */
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

/* From a data task to the control task: a peer announced a document
 * revision. */
struct GbRevisionReceivedMessage {
    struct GbTaskMessage super;
    struct GbAddress from;
    struct GbRevision revision;
};

/* From a data task of a balancer to its other data tasks: an instance has
 * responded. */
struct GbInstanceRespondedMessage {
    struct GbTaskMessage super;
    uint64_t instance_id;
};

/* From the control task to a data task: announce a revision to a peer. */
struct GbAnnounceRevisionMessage {
    struct GbTaskMessage super;
    struct GbAddress to;
    struct GbRevision revision;
};

/* From the daemon to the control task, and from there to data tasks: the
 * process is stopping and must drain. */
struct GbDrainMessage {
    struct GbTaskMessage super;
};

/* From an agent's data task to its target task: start a request. */
struct GbTargetStartMessage {
    struct GbTaskMessage super;
    struct GbTargetRequest request;
    char operation_name[GB_NAME_BYTES];
    uint8_t body[GB_CALL_BODY_BYTES_MAX];
};

/* From an agent's data task to its target task: cancel a request. */
struct GbTargetCancelMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
};

/* From an agent's data task to its target task: extend the flow-control window
 * of a request by size_bytes. */
struct GbTargetWindowMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
    uint32_t size_bytes;
};

/* From an agent's target task to its data task: the head of a response has
 * arrived. */
struct GbTargetHeadMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
    uint16_t target_status;
};

/* From an agent's target task to its data task: bytes of a response. */
struct GbTargetDataMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
    uint32_t size_bytes;
    uint8_t *data;
};

/* From an agent's target task to its data task: a request has ended. */
struct GbTargetEndedMessage {
    struct GbTaskMessage super;
    uint64_t work_id;
    enum GbTargetOutcome outcome;
};

/* From an agent's target task to its data task: the result of polling the
 * target's health and load endpoints. */
struct GbTargetPolledMessage {
    struct GbTaskMessage super;
    enum GbTargetHealth health;
    uint32_t slots;
};

extern const struct GbTaskMessageClass GbViewMessage_Class;
extern const struct GbTaskMessageClass GbDataReportMessage_Class;
extern const struct GbTaskMessageClass GbRevisionReceivedMessage_Class;
extern const struct GbTaskMessageClass GbInstanceRespondedMessage_Class;
extern const struct GbTaskMessageClass GbAnnounceRevisionMessage_Class;
extern const struct GbTaskMessageClass GbDrainMessage_Class;
extern const struct GbTaskMessageClass GbTargetStartMessage_Class;
extern const struct GbTaskMessageClass GbTargetCancelMessage_Class;
extern const struct GbTaskMessageClass GbTargetWindowMessage_Class;
extern const struct GbTaskMessageClass GbTargetHeadMessage_Class;
extern const struct GbTaskMessageClass GbTargetDataMessage_Class;
extern const struct GbTaskMessageClass GbTargetEndedMessage_Class;
extern const struct GbTaskMessageClass GbTargetPolledMessage_Class;

/* Takes its own reference to view. */
struct GbTaskMessage *GbViewMessage_New(struct GbView *view);
struct GbDataReportMessage *
GbDataReportMessage_New(uint32_t task_index,
                        const struct GbCounters *counters);
struct GbTaskMessage *
GbRevisionReceivedMessage_New(const struct GbAddress *from,
                              const struct GbRevision *revision);
struct GbTaskMessage *GbInstanceRespondedMessage_New(uint64_t instance_id);
struct GbTaskMessage *
GbAnnounceRevisionMessage_New(const struct GbAddress *to,
                              const struct GbRevision *revision);
struct GbTaskMessage *GbDrainMessage_New(void);
struct GbTaskMessage *
GbTargetStartMessage_New(const struct GbTargetRequest *request);
struct GbTaskMessage *GbTargetCancelMessage_New(uint64_t work_id);
struct GbTaskMessage *GbTargetWindowMessage_New(uint64_t work_id,
                                                uint32_t size_bytes);
struct GbTaskMessage *GbTargetHeadMessage_New(uint64_t work_id,
                                              uint16_t target_status);
/* Takes ownership of data, which is freed with g_free. */
struct GbTaskMessage *GbTargetDataMessage_New(uint64_t work_id, uint8_t *data,
                                              uint32_t size_bytes);
struct GbTaskMessage *GbTargetEndedMessage_New(uint64_t work_id,
                                               enum GbTargetOutcome outcome);
struct GbTaskMessage *GbTargetPolledMessage_New(enum GbTargetHealth health,
                                                uint32_t slots);

#endif
