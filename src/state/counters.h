#ifndef GB_STATE_COUNTERS_H
#define GB_STATE_COUNTERS_H

#include <stdint.h>

enum GbCounterId {
    GB_COUNTER_DATAGRAMS_RECEIVED,
    GB_COUNTER_DATAGRAMS_SENT,
    GB_COUNTER_DATAGRAMS_MALFORMED,
    GB_COUNTER_DATAGRAMS_UNEXPECTED,
    GB_COUNTER_SEND_FAILURES,
    GB_COUNTER_TOKENS_FORGED,
    GB_COUNTER_PATHS_FORGED,
    GB_COUNTER_FORWARDED_BOUND,
    GB_COUNTER_FORWARDED_UNBOUND,
    GB_COUNTER_RETURNED,
    GB_COUNTER_NO_INSTANCE,
    GB_COUNTER_INSTANCES_SUSPECTED,
    GB_COUNTER_WRONG_SERVICE,
    GB_COUNTER_WRONG_INSTANCE,
    GB_COUNTER_REQUESTS_ADMITTED,
    GB_COUNTER_REQUESTS_STARTED,
    GB_COUNTER_REQUESTS_FINISHED,
    GB_COUNTER_REQUESTS_FAILED,
    GB_COUNTER_REQUESTS_NOT_RUN,
    GB_COUNTER_REQUESTS_REPEATED,
    GB_COUNTER_FLOWS_REFUSED,
    GB_COUNTER_QUEUE_REFUSED,
    GB_COUNTER_DEADLINE_REFUSED,
    GB_COUNTER_DRAIN_REFUSED,
    GB_COUNTER_FETCHES_DROPPED,
    GB_COUNTER_HANDOVERS_SENT,
    GB_COUNTER_HANDOVERS_RECEIVED,
    GB_COUNTER_LOAD_ASKS,
    GB_COUNTER_WAITING_REFUSED,
    GB_COUNTER_MEMBERS_EXCESS,
    GB_COUNTER_MEMBERS_UNLISTED,
    GB_COUNTER_DUPLICATES_DROPPED,
    GB_COUNTER_MAILBOX_DROPPED,
    GB_COUNTER_PLATFORM_CALLS,
    GB_COUNTER_PLATFORM_FAILURES,
    GB_COUNTER_DOCUMENTS_ACCEPTED,
    GB_COUNTER_DOCUMENTS_REFUSED,
    GB_COUNTER_DOCUMENT_CONFLICTS,
    GB_COUNTER_PEER_PULLS,
    GB_COUNTER_END
};

/* Counters of one task. Only the task that owns them writes; others get
 * copies by message. */
struct GbCounters {
    uint64_t values[GB_COUNTER_END];
};

void GbCounters_Init(struct GbCounters *self);

void GbCounters_Add(struct GbCounters *self, enum GbCounterId id,
                    uint64_t amount);

/* Adds every value of other to self. */
void GbCounters_Merge(struct GbCounters *self, const struct GbCounters *other);

/* Name in the text exposition, without prefix, such as
 * "datagrams_received_total". */
const char *GbCounters_Name(enum GbCounterId id);

/* One line that says what is counted. */
const char *GbCounters_Help(enum GbCounterId id);

#endif
