#include "transport/data_task.h"

#include <stddef.h>

#include "protocol/revision_datagram.h"

#define REPORT_PERIOD_US INT64_C(1000000)
/* Every datagram between processes carries the sender's revision. While this
 * process has an older one, the same revision is reported to the control task
 * at most once in this period. */
#define REVISION_REPORT_PERIOD_US INT64_C(1000000)

#define CONTAINER_OF(pointer, member)                                         \
    ((struct GbDataTask *)((char *)(pointer)-offsetof(struct GbDataTask,      \
                                                      member)))

static const struct GbDataTaskClass *
class_of(const struct GbDataTask *self)
{
    return (const struct GbDataTaskClass *)self->super.klass;
}

static void
receive_datagram(struct GbUdpListener *listener, const struct GbAddress *from,
                 const uint8_t *data, size_t size_bytes)
{
    struct GbDataTask *self = CONTAINER_OF(listener, listener);

    class_of(self)->datagram_received(self, from, data, size_bytes);
}

static bool
was_reported(const struct GbDataTask *self, const struct GbRevision *revision,
             int64_t now_us)
{
    return GbRevision_Compare(revision, &self->reported_revision) == 0 &&
           now_us - self->revision_reported_us < REVISION_REPORT_PERIOD_US;
}

static void
revision_received(struct GbRevisionListener *listener,
                  const struct GbAddress *from,
                  const struct GbRevision *revision)
{
    struct GbDataTask *self = CONTAINER_OF(listener, revision_listener);
    const struct GbView *view = class_of(self)->current_view(self);
    struct GbRevision own =
        GbDocument_Revision(view != NULL ? view->document : NULL);
    int64_t now_us;

    if (GbRevision_Compare(revision, &own) <= 0) {
        return;
    }
    now_us = GbClock_MonotonicUs(self->super.clock);
    if (was_reported(self, revision, now_us)) {
        return;
    }
    self->reported_revision = *revision;
    self->revision_reported_us = now_us;
    GbDataTask_TryPost(self, self->config.control,
                       GbRevisionReceivedMessage_New(from, revision));
}

static const struct GbRevisionListenerClass revision_listener_class = {
    .received = revision_received,
};

void
GbDataTask_Init(struct GbDataTask *self, const struct GbDataTaskClass *klass,
                const struct GbDataTaskConfig *config, struct GbClock *clock,
                uint32_t mailbox_limit)
{
    GbTask_Init(&self->super, &klass->super, clock, mailbox_limit);
    self->config = *config;
    self->listener.datagram_received = receive_datagram;
    self->revision_listener.klass = &revision_listener_class;
    self->udp.fd = -1;
    self->next_report_us = GbClock_MonotonicUs(clock);
    self->reported_revision = (struct GbRevision){0, 0};
    self->revision_reported_us = 0;
    GbCounters_Init(&self->counters);
}

enum GbTransportStatus
GbDataTask_Open(struct GbTask *task, struct GbErrorText *error)
{
    struct GbDataTask *self = (struct GbDataTask *)task;

    return GbUdp_Open(&self->udp, &self->config.listen, self->config.is_shared,
                      task->base, &self->listener, &self->counters, error);
}

void
GbDataTask_Close(struct GbDataTask *self)
{
    GbUdp_Close(&self->udp);
}

bool
GbDataTask_Receive(struct GbDataTask *self,
                   const struct GbTaskMessage *message)
{
    const struct GbAnnounceRevisionMessage *announce =
        (const struct GbAnnounceRevisionMessage *)message;

    if (message->klass != &GbAnnounceRevisionMessage_Class) {
        return false;
    }
    GbRevisionDatagram_Send(&self->udp.super, &announce->to,
                            &announce->revision);
    return true;
}

void
GbDataTask_TryPost(struct GbDataTask *self, struct GbTask *task,
                   struct GbTaskMessage *message)
{
    if (!GbTask_TryPost(task, message)) {
        GbCounters_Add(&self->counters, GB_COUNTER_MAILBOX_DROPPED, 1);
    }
}

int64_t
GbDataTask_NextTimerUs(struct GbTask *task)
{
    return ((struct GbDataTask *)task)->next_report_us;
}

void
GbDataTask_Tick(struct GbTask *task)
{
    struct GbDataTask *self = (struct GbDataTask *)task;
    int64_t now_us = GbClock_MonotonicUs(task->clock);
    struct GbDataReportMessage *report;

    if (now_us < self->next_report_us) {
        return;
    }
    self->next_report_us = now_us + REPORT_PERIOD_US;
    report = GbDataReportMessage_New(self->config.index, &self->counters);
    class_of(self)->fill_report(self, report);
    GbDataTask_TryPost(self, self->config.control, &report->super);
}

void
GbDataTask_Flush(struct GbTask *task)
{
    GbUdp_Flush(&((struct GbDataTask *)task)->udp);
}
