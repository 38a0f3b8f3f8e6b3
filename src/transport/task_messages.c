#include "transport/task_messages.h"

#include <string.h>

static void
free_plain(struct GbTaskMessage *message)
{
    g_free(message);
}

static void
free_view(struct GbTaskMessage *message)
{
    GbView_Unref(((struct GbViewMessage *)message)->view);
    g_free(message);
}

static void
free_target_data(struct GbTaskMessage *message)
{
    g_free(((struct GbTargetDataMessage *)message)->data);
    g_free(message);
}

const struct GbTaskMessageClass GbViewMessage_Class = {free_view};
const struct GbTaskMessageClass GbDataReportMessage_Class = {free_plain};
const struct GbTaskMessageClass GbRevisionReceivedMessage_Class = {free_plain};
const struct GbTaskMessageClass GbInstanceRespondedMessage_Class = {
    free_plain};
const struct GbTaskMessageClass GbAnnounceRevisionMessage_Class = {free_plain};
const struct GbTaskMessageClass GbDrainMessage_Class = {free_plain};
const struct GbTaskMessageClass GbTargetStartMessage_Class = {free_plain};
const struct GbTaskMessageClass GbTargetCancelMessage_Class = {free_plain};
const struct GbTaskMessageClass GbTargetWindowMessage_Class = {free_plain};
const struct GbTaskMessageClass GbTargetHeadMessage_Class = {free_plain};
const struct GbTaskMessageClass GbTargetDataMessage_Class = {free_target_data};
const struct GbTaskMessageClass GbTargetEndedMessage_Class = {free_plain};
const struct GbTaskMessageClass GbTargetPolledMessage_Class = {free_plain};

struct GbTaskMessage *
GbViewMessage_New(struct GbView *view)
{
    struct GbViewMessage *message = g_new0(struct GbViewMessage, 1);

    message->super.klass = &GbViewMessage_Class;
    message->view = GbView_Ref(view);
    return &message->super;
}

struct GbDataReportMessage *
GbDataReportMessage_New(uint32_t task_index, const struct GbCounters *counters)
{
    struct GbDataReportMessage *message =
        g_new0(struct GbDataReportMessage, 1);

    message->super.klass = &GbDataReportMessage_Class;
    message->task_index = task_index;
    message->counters = *counters;
    return message;
}

struct GbTaskMessage *
GbRevisionReceivedMessage_New(const struct GbAddress *from,
                              const struct GbRevision *revision)
{
    struct GbRevisionReceivedMessage *message =
        g_new0(struct GbRevisionReceivedMessage, 1);

    message->super.klass = &GbRevisionReceivedMessage_Class;
    message->from = *from;
    message->revision = *revision;
    return &message->super;
}

struct GbTaskMessage *
GbInstanceRespondedMessage_New(uint64_t instance_id)
{
    struct GbInstanceRespondedMessage *message =
        g_new0(struct GbInstanceRespondedMessage, 1);

    message->super.klass = &GbInstanceRespondedMessage_Class;
    message->instance_id = instance_id;
    return &message->super;
}

struct GbTaskMessage *
GbAnnounceRevisionMessage_New(const struct GbAddress *to,
                              const struct GbRevision *revision)
{
    struct GbAnnounceRevisionMessage *message =
        g_new0(struct GbAnnounceRevisionMessage, 1);

    message->super.klass = &GbAnnounceRevisionMessage_Class;
    message->to = *to;
    message->revision = *revision;
    return &message->super;
}

struct GbTaskMessage *
GbDrainMessage_New(void)
{
    struct GbDrainMessage *message = g_new0(struct GbDrainMessage, 1);

    message->super.klass = &GbDrainMessage_Class;
    return &message->super;
}

struct GbTaskMessage *
GbTargetStartMessage_New(const struct GbTargetRequest *request)
{
    struct GbTargetStartMessage *message =
        g_new0(struct GbTargetStartMessage, 1);

    message->super.klass = &GbTargetStartMessage_Class;
    message->request = *request;
    g_strlcpy(message->operation_name, request->operation_name, GB_NAME_BYTES);
    message->request.operation_name = message->operation_name;
    if (request->body.size_bytes > 0) {
        memcpy(message->body, request->body.data, request->body.size_bytes);
    }
    message->request.body.data = message->body;
    return &message->super;
}

struct GbTaskMessage *
GbTargetCancelMessage_New(uint64_t work_id)
{
    struct GbTargetCancelMessage *message =
        g_new0(struct GbTargetCancelMessage, 1);

    message->super.klass = &GbTargetCancelMessage_Class;
    message->work_id = work_id;
    return &message->super;
}

struct GbTaskMessage *
GbTargetWindowMessage_New(uint64_t work_id, uint32_t size_bytes)
{
    struct GbTargetWindowMessage *message =
        g_new0(struct GbTargetWindowMessage, 1);

    message->super.klass = &GbTargetWindowMessage_Class;
    message->work_id = work_id;
    message->size_bytes = size_bytes;
    return &message->super;
}

struct GbTaskMessage *
GbTargetHeadMessage_New(uint64_t work_id, uint16_t target_status)
{
    struct GbTargetHeadMessage *message =
        g_new0(struct GbTargetHeadMessage, 1);

    message->super.klass = &GbTargetHeadMessage_Class;
    message->work_id = work_id;
    message->target_status = target_status;
    return &message->super;
}

struct GbTaskMessage *
GbTargetDataMessage_New(uint64_t work_id, uint8_t *data, uint32_t size_bytes)
{
    struct GbTargetDataMessage *message =
        g_new0(struct GbTargetDataMessage, 1);

    message->super.klass = &GbTargetDataMessage_Class;
    message->work_id = work_id;
    message->data = data;
    message->size_bytes = size_bytes;
    return &message->super;
}

struct GbTaskMessage *
GbTargetEndedMessage_New(uint64_t work_id, enum GbTargetOutcome outcome)
{
    struct GbTargetEndedMessage *message =
        g_new0(struct GbTargetEndedMessage, 1);

    message->super.klass = &GbTargetEndedMessage_Class;
    message->work_id = work_id;
    message->outcome = outcome;
    return &message->super;
}

struct GbTaskMessage *
GbTargetPolledMessage_New(enum GbTargetHealth health, uint32_t slots)
{
    struct GbTargetPolledMessage *message =
        g_new0(struct GbTargetPolledMessage, 1);

    message->super.klass = &GbTargetPolledMessage_Class;
    message->health = health;
    message->slots = slots;
    return &message->super;
}
