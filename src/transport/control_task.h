#ifndef GB_TRANSPORT_CONTROL_TASK_H
#define GB_TRANSPORT_CONTROL_TASK_H

#include "state/view.h"
#include "transport/http_server.h"
#include "transport/mails.h"
#include "transport/platform_client.h"
#include "transport/task.h"

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
    GAsyncQueue *done;
};

/* Task that owns what a process knows of its environment: the document, the
 * instance list and the state of the other tasks. */
struct GbControlTask {
    struct GbTask super;
    struct GbHttpHandler handler;
    struct GbPlatformReply head_reply;
    struct GbPlatformReply document_reply;
    struct GbPlatformReply instances_reply;
    struct GbControlTaskConfig config;
    struct GbTask *data_tasks[GB_DATA_TASKS_MAX];
    uint32_t data_task_count;
    struct GbCountersMail reports[GB_DATA_TASKS_MAX];
    struct GbCounters counters;
    struct GbPlatformClient platform;
    struct GbHttpServer http;
    struct GbDocument *document;
    struct GbInstanceList *instances;
    bool is_reading_document;
    bool is_stopping;
    bool is_done;
    uint64_t forwarded_last;
    int64_t forwarded_us;
    int64_t poll_us;
};

/* Prepares the task for GbTask_Open. */
void GbControlTask_Init(struct GbControlTask *self,
                        const struct GbControlTaskConfig *config,
                        struct GbClock *clock);

/* Adds a data task, which must outlive self. To be called before start. */
void GbControlTask_AddDataTask(struct GbControlTask *self,
                               struct GbTask *task);

#endif
