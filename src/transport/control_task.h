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
    /* A stopping balancer counts as drained when it has forwarded nothing for
     * this long. */
    int64_t quiet_us;
    /* Receives one item when the process has drained; owned by the program. */
    GAsyncQueue *drained_queue;
};

/* Task that owns the control-plane state of a process: documents, the instance
 * list and the latest report of each data task. */
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
    bool is_draining;
    bool is_drained;
    uint64_t last_forwarded_count;
    int64_t last_forwarded_us;
};

/* Prepares the task for GbTask_Open. */
void GbControlTask_Init(struct GbControlTask *self,
                        const struct GbControlTaskConfig *config,
                        struct GbClock *clock);

/* Opens the TCP socket for the exchange of documents on *address; port 0 is
 * replaced by the port that was bound. The UDP sockets of the process must be
 * bound to the same port, because an instance is published under a single
 * address. Call it between GbTask_Open and GbTask_Start. keys must outlive
 * self.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbControlTask_Listen(struct GbControlTask *self,
                                            struct GbAddress *address,
                                            const struct GbKeys *keys,
                                            struct GbErrorText *error);

/* Adds a data task, which must outlive self. Call it before the task is
 * started. */
void GbControlTask_AddDataTask(struct GbControlTask *self,
                               struct GbTask *task);

/* Returns true if the process should receive traffic. */
bool GbControlTask_IsReady(const struct GbControlTask *self);

#endif
