#ifndef GB_TRANSPORT_DATA_TASK_H
#define GB_TRANSPORT_DATA_TASK_H

#include "protocol/revision_listener.h"
#include "state/view.h"
#include "transport/task.h"
#include "transport/task_messages.h"
#include "transport/udp.h"

struct GbDataTask;

/* Functions that differ between the data tasks of balancers and agents. */
struct GbDataTaskClass {
    struct GbTaskClass super;
    void (*datagram_received)(struct GbDataTask *self,
                              const struct GbAddress *from,
                              const uint8_t *data, size_t size_bytes);
    /* Returns the current view; NULL before the first one. */
    const struct GbView *(*current_view)(struct GbDataTask *self);
    /* Fills in the fields of the report other than the counters. */
    void (*fill_report)(struct GbDataTask *self,
                        struct GbDataReportMessage *report);
};

struct GbDataTaskConfig {
    struct GbAddress listen;
    /* True if other tasks bind sockets to the same port. */
    bool is_shared;
    uint32_t index;
    /* Receives counters and revisions; must outlive the task. */
    struct GbTask *control;
};

/* Task that owns one UDP socket, reports its counters to the control task, and
 * sends and receives announcements of document revisions. */
struct GbDataTask {
    struct GbTask super;
    struct GbDataTaskConfig config;
    struct GbUdpListener listener;
    struct GbRevisionListener revision_listener;
    struct GbCounters counters;
    struct GbUdp udp;
    int64_t next_report_us;
    /* Revision last reported to the control task, and when. */
    struct GbRevision reported_revision;
    int64_t revision_reported_us;
};

/* Prepares the task for GbTask_Open. */
void GbDataTask_Init(struct GbDataTask *self,
                     const struct GbDataTaskClass *klass,
                     const struct GbDataTaskConfig *config,
                     struct GbClock *clock, uint32_t mailbox_limit);

/* Opens the socket.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbDataTask_Open(struct GbTask *task,
                                       struct GbErrorText *error);

void GbDataTask_Close(struct GbDataTask *self);

/* Handles the messages that are common to all data tasks. Returns false for
 * any other message. */
bool GbDataTask_Receive(struct GbDataTask *self,
                        const struct GbTaskMessage *message);

/* Posts a message with GbTask_TryPost. A dropped message is counted. */
void GbDataTask_TryPost(struct GbDataTask *self, struct GbTask *task,
                        struct GbTaskMessage *message);

/* Time of the next report to the control task, and the tick that sends it. */
int64_t GbDataTask_NextTimerUs(struct GbTask *task);
void GbDataTask_Tick(struct GbTask *task);

/* Sends all queued datagrams. */
void GbDataTask_Flush(struct GbTask *task);

#endif
