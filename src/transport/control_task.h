#ifndef GB_TRANSPORT_CONTROL_TASK_H
#define GB_TRANSPORT_CONTROL_TASK_H

#include "state/view.h"
#include "transport/control_sync.h"
#include "transport/http_server.h"
#include "transport/task.h"
#include "transport/task_messages.h"

#define GB_DATA_TASKS_MAX 16

struct GbControlTaskConfig {
    enum GbRole role;
    char instance_name[GB_NAME_BYTES];
    struct GbAddress platform;
    struct GbAddress http_listen;
    /* A stopping balancer is done when it has forwarded nothing for so
     * long. */
    int64_t quiet_us;
    /* Is given one item when a stop is done; owned by the program. */
    GAsyncQueue *drained_queue;
};

/* Task that owns what a process knows of its environment: documents, the
 * instance list and the state of the other tasks. */
struct GbControlTask {
    struct GbTask super;
    struct GbHttpHandler http_handler;
    struct GbControlSyncListener sync_listener;
    struct GbControlTaskConfig config;
    struct GbTask *data_tasks[GB_DATA_TASKS_MAX];
    uint32_t data_task_count;
    struct GbDataReportMessage reports[GB_DATA_TASKS_MAX];
    struct GbCounters counters;
    struct GbControlSync sync;
    struct GbHttpServer http;
    bool is_stopping;
    bool is_drained;
    uint64_t last_forwarded_count;
    int64_t last_forwarded_us;
};

/* Prepares the task for GbTask_Open. */
void GbControlTask_Init(struct GbControlTask *self,
                        const struct GbControlTaskConfig *config,
                        struct GbClock *clock);

/* Opens the TCP socket for the exchange of documents, on *address; port 0
 * becomes the port that was bound. The UDP sockets of the process must be
 * bound to the same port: other processes know one address of an instance.
 * To be called between GbTask_Open and GbTask_Start. keys must outlive self.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbControlTask_Listen(struct GbControlTask *self,
                                            struct GbAddress *address,
                                            const struct GbKeys *keys,
                                            struct GbLastMessage *error);

/* Adds a data task, which must outlive self. To be called before start. */
void GbControlTask_AddDataTask(struct GbControlTask *self,
                               struct GbTask *task);

/* Whether the process should be given traffic. */
bool GbControlTask_IsReady(const struct GbControlTask *self);

#endif
