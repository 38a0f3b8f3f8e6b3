#ifndef GB_TRANSPORT_MAILS_H
#define GB_TRANSPORT_MAILS_H

#include "coordination/calls/agent.h"
#include "state/counters.h"
#include "state/view.h"
#include "transport/task.h"

/* Messages between the tasks of one process. */

/* From control to data tasks: the view to act on. */
struct GbViewMail {
    struct GbMail super;
    struct GbView *view;
};

/* From a data task to control: a copy of its counters. */
struct GbCountersMail {
    struct GbMail super;
    uint32_t task_index;
    struct GbCounters counters;
    /* Agents only. */
    struct GbLoad load;
    uint32_t flow_count;
    uint32_t request_count;
    bool is_drained;
};

/* From a data task to control: a peer announced a document revision. */
struct GbRevisionMail {
    struct GbMail super;
    struct GbAddress from;
    struct GbRevision revision;
};

/* From a balancer's data task to the others: an instance has answered. */
struct GbAnsweredByMail {
    struct GbMail super;
    uint64_t instance_id;
};

/* From control to a data task: tell another process of a revision. */
struct GbAnnounceMail {
    struct GbMail super;
    struct GbAddress to;
    struct GbRevision revision;
};

/* From control to an agent's data task: the instance is leaving. */
struct GbDrainMail {
    struct GbMail super;
};

/* From an agent's data task to its target task. */
struct GbStartMail {
    struct GbMail super;
    struct GbTargetRequest call;
    char operation_name[GB_NAME_BYTES];
    uint8_t body[GB_CALL_BODY_BYTES];
};

struct GbCancelMail {
    struct GbMail super;
    uint64_t work_id;
};

struct GbAllowMail {
    struct GbMail super;
    uint64_t work_id;
    uint32_t size_bytes;
};

/* From an agent's target task to its data task. */
struct GbAnsweredMail {
    struct GbMail super;
    uint64_t work_id;
    uint16_t target_status;
};

struct GbSentMail {
    struct GbMail super;
    uint64_t work_id;
    uint32_t size_bytes;
    uint8_t *data;
};

struct GbEndedMail {
    struct GbMail super;
    uint64_t work_id;
    enum GbTargetOutcome end;
};

/* From an agent's target task to its data task: what the target says of
 * itself. */
struct GbPolledMail {
    struct GbMail super;
    enum GbTargetHealth health;
    uint32_t slots;
};

extern const struct GbMailClass GbViewMail_Class;
extern const struct GbMailClass GbCountersMail_Class;
extern const struct GbMailClass GbRevisionMail_Class;
extern const struct GbMailClass GbAnsweredByMail_Class;
extern const struct GbMailClass GbAnnounceMail_Class;
extern const struct GbMailClass GbDrainMail_Class;
extern const struct GbMailClass GbStartMail_Class;
extern const struct GbMailClass GbCancelMail_Class;
extern const struct GbMailClass GbAllowMail_Class;
extern const struct GbMailClass GbAnsweredMail_Class;
extern const struct GbMailClass GbSentMail_Class;
extern const struct GbMailClass GbEndedMail_Class;
extern const struct GbMailClass GbPolledMail_Class;

/* Takes its own reference of view. */
struct GbMail *GbViewMail_New(struct GbView *view);
struct GbCountersMail *GbCountersMail_New(uint32_t task_index,
                                          const struct GbCounters *counters);
struct GbMail *GbRevisionMail_New(const struct GbAddress *from,
                                  const struct GbRevision *revision);
struct GbMail *GbAnsweredByMail_New(uint64_t instance_id);
struct GbMail *GbAnnounceMail_New(const struct GbAddress *to,
                                  const struct GbRevision *revision);
struct GbMail *GbDrainMail_New(void);
struct GbMail *GbStartMail_New(const struct GbTargetRequest *call);
struct GbMail *GbCancelMail_New(uint64_t work_id);
struct GbMail *GbAllowMail_New(uint64_t work_id, uint32_t size_bytes);
struct GbMail *GbAnsweredMail_New(uint64_t work_id, uint16_t target_status);
/* data becomes the mail's; it is freed with g_free. */
struct GbMail *GbSentMail_New(uint64_t work_id, uint8_t *data,
                              uint32_t size_bytes);
struct GbMail *GbEndedMail_New(uint64_t work_id, enum GbTargetOutcome end);
struct GbMail *GbPolledMail_New(enum GbTargetHealth health, uint32_t slots);

#endif
