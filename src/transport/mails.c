#include "transport/mails.h"

#include <string.h>

static void
free_plain(struct GbMail *mail)
{
    g_free(mail);
}

static void
free_view(struct GbMail *mail)
{
    GbView_Unref(((struct GbViewMail *)mail)->view);
    g_free(mail);
}

static void
free_sent(struct GbMail *mail)
{
    g_free(((struct GbSentMail *)mail)->data);
    g_free(mail);
}

const struct GbMailClass GbViewMail_Class = {free_view};
const struct GbMailClass GbCountersMail_Class = {free_plain};
const struct GbMailClass GbRevisionMail_Class = {free_plain};
const struct GbMailClass GbAnsweredByMail_Class = {free_plain};
const struct GbMailClass GbAnnounceMail_Class = {free_plain};
const struct GbMailClass GbDrainMail_Class = {free_plain};
const struct GbMailClass GbStartMail_Class = {free_plain};
const struct GbMailClass GbCancelMail_Class = {free_plain};
const struct GbMailClass GbAllowMail_Class = {free_plain};
const struct GbMailClass GbAnsweredMail_Class = {free_plain};
const struct GbMailClass GbSentMail_Class = {free_sent};
const struct GbMailClass GbEndedMail_Class = {free_plain};
const struct GbMailClass GbPolledMail_Class = {free_plain};

struct GbMail *
GbViewMail_New(struct GbView *view)
{
    struct GbViewMail *mail = g_new0(struct GbViewMail, 1);

    mail->super.klass = &GbViewMail_Class;
    mail->view = GbView_Ref(view);
    return &mail->super;
}

struct GbCountersMail *
GbCountersMail_New(uint32_t task_index, const struct GbCounters *counters)
{
    struct GbCountersMail *mail = g_new0(struct GbCountersMail, 1);

    mail->super.klass = &GbCountersMail_Class;
    mail->task_index = task_index;
    mail->counters = *counters;
    return mail;
}

struct GbMail *
GbRevisionMail_New(const struct GbAddress *from,
                   const struct GbRevision *revision)
{
    struct GbRevisionMail *mail = g_new0(struct GbRevisionMail, 1);

    mail->super.klass = &GbRevisionMail_Class;
    mail->from = *from;
    mail->revision = *revision;
    return &mail->super;
}

struct GbMail *
GbAnsweredByMail_New(uint64_t instance_id)
{
    struct GbAnsweredByMail *mail = g_new0(struct GbAnsweredByMail, 1);

    mail->super.klass = &GbAnsweredByMail_Class;
    mail->instance_id = instance_id;
    return &mail->super;
}

struct GbMail *
GbAnnounceMail_New(const struct GbAddress *to,
                   const struct GbRevision *revision)
{
    struct GbAnnounceMail *mail = g_new0(struct GbAnnounceMail, 1);

    mail->super.klass = &GbAnnounceMail_Class;
    mail->to = *to;
    mail->revision = *revision;
    return &mail->super;
}

struct GbMail *
GbDrainMail_New(void)
{
    struct GbDrainMail *mail = g_new0(struct GbDrainMail, 1);

    mail->super.klass = &GbDrainMail_Class;
    return &mail->super;
}

struct GbMail *
GbStartMail_New(const struct GbTargetRequest *call)
{
    struct GbStartMail *mail = g_new0(struct GbStartMail, 1);

    mail->super.klass = &GbStartMail_Class;
    mail->call = *call;
    g_strlcpy(mail->operation_name, call->operation_name, GB_NAME_BYTES);
    mail->call.operation_name = mail->operation_name;
    if (call->body.size_bytes > 0) {
        memcpy(mail->body, call->body.data, call->body.size_bytes);
    }
    mail->call.body.data = mail->body;
    return &mail->super;
}

struct GbMail *
GbCancelMail_New(uint64_t work_id)
{
    struct GbCancelMail *mail = g_new0(struct GbCancelMail, 1);

    mail->super.klass = &GbCancelMail_Class;
    mail->work_id = work_id;
    return &mail->super;
}

struct GbMail *
GbAllowMail_New(uint64_t work_id, uint32_t size_bytes)
{
    struct GbAllowMail *mail = g_new0(struct GbAllowMail, 1);

    mail->super.klass = &GbAllowMail_Class;
    mail->work_id = work_id;
    mail->size_bytes = size_bytes;
    return &mail->super;
}

struct GbMail *
GbAnsweredMail_New(uint64_t work_id, uint16_t target_status)
{
    struct GbAnsweredMail *mail = g_new0(struct GbAnsweredMail, 1);

    mail->super.klass = &GbAnsweredMail_Class;
    mail->work_id = work_id;
    mail->target_status = target_status;
    return &mail->super;
}

struct GbMail *
GbSentMail_New(uint64_t work_id, uint8_t *data, uint32_t size_bytes)
{
    struct GbSentMail *mail = g_new0(struct GbSentMail, 1);

    mail->super.klass = &GbSentMail_Class;
    mail->work_id = work_id;
    mail->data = data;
    mail->size_bytes = size_bytes;
    return &mail->super;
}

struct GbMail *
GbEndedMail_New(uint64_t work_id, enum GbTargetOutcome end)
{
    struct GbEndedMail *mail = g_new0(struct GbEndedMail, 1);

    mail->super.klass = &GbEndedMail_Class;
    mail->work_id = work_id;
    mail->end = end;
    return &mail->super;
}

struct GbMail *
GbPolledMail_New(enum GbTargetHealth health, uint32_t slots)
{
    struct GbPolledMail *mail = g_new0(struct GbPolledMail, 1);

    mail->super.klass = &GbPolledMail_Class;
    mail->health = health;
    mail->slots = slots;
    return &mail->super;
}
