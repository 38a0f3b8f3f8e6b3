#include "transport/data_task.h"

#include <stddef.h>

#include "protocol/revision_datagram.h"

#define REPORT_PERIOD_US INT64_C(1000000)
/* Every datagram carries the sender's revision. While this process is behind,
 * control is told of the same one only so often. */
#define TOLD_PERIOD_US INT64_C(1000000)

#define OF_MEMBER(pointer, member)                                            \
    ((struct GbDataTask *)((char *)(pointer)-offsetof(struct GbDataTask,      \
                                                      member)))

static const struct GbDataTaskClass *
class_of(const struct GbDataTask *self)
{
    return (const struct GbDataTaskClass *)self->super.klass;
}

static void
received(struct GbUdpListener *listener, const struct GbAddress *from,
         const uint8_t *data, size_t size_bytes)
{
    struct GbDataTask *self = OF_MEMBER(listener, listener);

    class_of(self)->received(self, from, data, size_bytes);
}

static bool
was_told(const struct GbDataTask *self, const struct GbRevision *revision,
         int64_t now_us)
{
    return GbRevision_Compare(revision, &self->told) == 0 &&
           now_us - self->told_us < TOLD_PERIOD_US;
}

static void
heard_revision(struct GbRevisionListener *listener,
               const struct GbAddress *from, const struct GbRevision *revision)
{
    struct GbDataTask *self = OF_MEMBER(listener, revisions);
    const struct GbView *view = class_of(self)->view(self);
    struct GbRevision own =
        GbDocument_Revision(view != NULL ? view->document : NULL);
    int64_t now_us;

    if (GbRevision_Compare(revision, &own) <= 0) {
        return;
    }
    now_us = GbClock_MonotonicUs(self->super.clock);
    if (was_told(self, revision, now_us)) {
        return;
    }
    self->told = *revision;
    self->told_us = now_us;
    GbDataTask_Offer(self, self->config.control,
                     GbRevisionMail_New(from, revision));
}

static const struct GbRevisionListenerClass revisions_class = {
    .received = heard_revision,
};

void
GbDataTask_Init(struct GbDataTask *self, const struct GbDataTaskClass *klass,
                const struct GbDataTaskConfig *config, struct GbClock *clock,
                uint32_t mailbox_limit)
{
    GbTask_Init(&self->super, &klass->super, clock, mailbox_limit);
    self->config = *config;
    self->listener.received = received;
    self->revisions.klass = &revisions_class;
    self->udp.fd = -1;
    self->report_us = GbClock_MonotonicUs(clock);
    self->told = (struct GbRevision){0, 0};
    self->told_us = 0;
    GbCounters_Init(&self->counters);
}

enum GbTransportStatus
GbDataTask_Open(struct GbTask *task, struct GbErrorText *last)
{
    struct GbDataTask *self = (struct GbDataTask *)task;

    return GbUdp_Open(&self->udp, &self->config.listen, self->config.is_shared,
                      task->base, &self->listener, &self->counters, last);
}

void
GbDataTask_Close(struct GbDataTask *self)
{
    GbUdp_Close(&self->udp);
}

bool
GbDataTask_Receive(struct GbDataTask *self, const struct GbMail *mail)
{
    const struct GbAnnounceMail *announce =
        (const struct GbAnnounceMail *)mail;

    if (mail->klass != &GbAnnounceMail_Class) {
        return false;
    }
    GbRevisionDatagram_Send(&self->udp.super, &announce->to,
                            &announce->revision);
    return true;
}

void
GbDataTask_Offer(struct GbDataTask *self, struct GbTask *task,
                 struct GbMail *mail)
{
    if (!GbTask_Offer(task, mail)) {
        GbCounters_Add(&self->counters, GB_COUNTER_MAILBOX_DROPPED, 1);
    }
}

int64_t
GbDataTask_NextTimerUs(struct GbTask *task)
{
    return ((struct GbDataTask *)task)->report_us;
}

void
GbDataTask_Tick(struct GbTask *task)
{
    struct GbDataTask *self = (struct GbDataTask *)task;
    int64_t now_us = GbClock_MonotonicUs(task->clock);
    struct GbCountersMail *report;

    if (now_us < self->report_us) {
        return;
    }
    self->report_us = now_us + REPORT_PERIOD_US;
    report = GbCountersMail_New(self->config.index, &self->counters);
    class_of(self)->fill_report(self, report);
    GbDataTask_Offer(self, self->config.control, &report->super);
}

void
GbDataTask_Flush(struct GbTask *task)
{
    GbUdp_Flush(&((struct GbDataTask *)task)->udp);
}
