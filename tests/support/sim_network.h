#ifndef GB_SUPPORT_SIM_NETWORK_H
#define GB_SUPPORT_SIM_NETWORK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/keys.h"
#include "state/random.h"
#include "support/sim_event_queue.h"

#define GB_SIM_NAME_BYTES 32

/* Receiver of datagrams at one address. */
struct GbSimNode;

struct GbSimNodeClass {
    /* Handles a datagram; the network keeps ownership of the bytes. */
    void (*receive)(struct GbSimNode *self, const struct GbAddress *from,
                    struct GbBytes datagram);
};

struct GbSimNode {
    const struct GbSimNodeClass *klass;
    char name[GB_SIM_NAME_BYTES];
    struct GbAddress address;
};

enum GbSimFault {
    /* Drops every datagram. */
    GB_SIM_CUT,
    /* Drops a share of the datagrams. */
    GB_SIM_DROP,
    /* Delivers a share of the datagrams twice, the second copy after
     * delay_us. */
    GB_SIM_DUPLICATE,
    /* Delays each datagram by delay_us. */
    GB_SIM_DELAY,
    /* Delays each datagram by a random time of at most delay_us. */
    GB_SIM_REORDER
};

/* Fault that applies to the datagrams from one node to another. An empty name
 * matches any node. */
struct GbSimFaultRule {
    enum GbSimFault fault;
    char from[GB_SIM_NAME_BYTES];
    char to[GB_SIM_NAME_BYTES];
    /* Kind of the message that the rule applies to, without its envelope; 0
     * for all kinds. */
    enum GbMessageKind kind;
    /* Share of the matching datagrams, in percent. */
    uint32_t percent;
    /* Number of datagrams after which the rule is removed; 0 for no limit. */
    uint32_t remaining_count;
    int64_t delay_us;
};

/* Network that drops, delays, duplicates and reorders datagrams according to
 * fault rules. */
struct GbSimNetwork {
    struct GbSimEventQueue *events;
    struct GbRandom *random;
    const struct GbKeys *keys;
    const int64_t *now_us;
    /* Of struct GbSimNode; not owned. */
    GPtrArray *nodes;
    /* Of struct GbSimFaultRule. */
    GArray *rules;
    /* Log of datagrams that were sent and dropped; NULL if not recorded. Not
     * owned. */
    GString *trace;
};

void GbSimNetwork_Init(struct GbSimNetwork *self,
                       struct GbSimEventQueue *events, struct GbRandom *random,
                       const struct GbKeys *keys, const int64_t *now_us);

void GbSimNetwork_Finish(struct GbSimNetwork *self);

/* Returns the node with this address; NULL if there is none. */
struct GbSimNode *GbSimNetwork_FindNode(const struct GbSimNetwork *self,
                                        const struct GbAddress *address);

/* Returns true if a GB_SIM_CUT rule applies to this direction. */
bool GbSimNetwork_IsCut(const struct GbSimNetwork *self, const char *from,
                        const char *to);

void GbSimNetwork_AddRule(struct GbSimNetwork *self,
                          const struct GbSimFaultRule *rule);

/* Removes the rules for this direction; an empty name matches all rules. */
void GbSimNetwork_Heal(struct GbSimNetwork *self, const char *from,
                       const char *to);

/* Sends header and body as one datagram. */
void GbSimNetwork_Send(struct GbSimNetwork *self, struct GbSimNode *from,
                       const struct GbAddress *to, struct GbBytes header,
                       struct GbBytes body);

/* Returns the flow id of a datagram; 0 if it cannot be decoded. */
uint64_t GbSimNetwork_FlowId(const struct GbSimNetwork *self,
                             struct GbBytes datagram);

/* Appends the message kind, the flow, the request and other fields of a
 * datagram to line. */
void GbSimNetwork_Describe(const struct GbSimNetwork *self,
                           struct GbBytes datagram, GString *line);

#endif
