#ifndef GB_TRANSPORT_DATA_TASK_H
#define GB_TRANSPORT_DATA_TASK_H

#include "protocol/revision_listener.h"
#include "state/view.h"
#include "transport/task.h"
#include "transport/task_messages.h"
#include "transport/udp.h"

struct GbDataTask;

/* What the data tasks of balancers and agents do differently. */
struct GbDataTaskClass {
    struct GbTaskClass super;
    void (*datagram_received)(struct GbDataTask *self,
                              const struct GbAddress *from,
                              const uint8_t *data, size_t size_bytes);
    /* View acted on; NULL before the first. */
    const struct GbView *(*current_view)(struct GbDataTask *self);
    /* Adds what the control task is told besides the counters. */
    void (*fill_report)(struct GbDataTask *self,
                        struct GbDataReportMessage *report);
};

struct GbDataTaskConfig {
    struct GbAddress listen;
    /* Whether other tasks bind sockets to the same port. */
    bool is_shared;
    uint32_t index;
    /* Is sent counters and revisions; must outlive the task. */
    struct GbTask *control;
};

/* Task that owns one UDP socket, reports its counters to the control task,
 * and announces and hears document revisions. */
struct GbDataTask {
    struct GbTask super;
    struct GbDataTaskConfig config;
    struct GbUdpListener listener;
    struct GbRevisionListener revision_listener;
    struct GbCounters counters;
    struct GbUdp udp;
    int64_t next_report_us;
    /* Revision that control was last told of, and when. */
    struct GbRevision reported_revision;
    int64_t revision_reported_us;
};

/* Prepares the task. klass->super holds the functions of GbTask. */
void GbDataTask_Init(struct GbDataTask *self,
                     const struct GbDataTaskClass *klass,
                     const struct GbDataTaskConfig *config,
                     struct GbClock *clock, uint32_t mailbox_limit);

/* Opens the socket.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbDataTask_Open(struct GbTask *task,
                                       struct GbLastMessage *error);

void GbDataTask_Close(struct GbDataTask *self);

/* Handles messages that all data tasks get. Returns false for others. */
bool GbDataTask_Receive(struct GbDataTask *self,
                        const struct GbTaskMessage *message);

/* Posts a message that may be lost, and counts it if it is. */
void GbDataTask_TryPost(struct GbDataTask *self, struct GbTask *task,
                        struct GbTaskMessage *message);

/* Time of the next report, and its part of the tick. */
int64_t GbDataTask_NextTimerUs(struct GbTask *task);
void GbDataTask_Tick(struct GbTask *task);

/* Sends what waits to be sent. */
void GbDataTask_Flush(struct GbTask *task);

#endif
