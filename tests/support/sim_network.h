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
    /* Takes a datagram; the bytes stay with the network. */
    void (*receive)(struct GbSimNode *self, const struct GbAddress *from,
                    struct GbBytes datagram);
};

struct GbSimNode {
    const struct GbSimNodeClass *klass;
    char name[GB_SIM_NAME_BYTES];
    struct GbAddress address;
};

enum GbSimFault {
    /* Loses every datagram. */
    GB_SIM_CUT,
    /* Loses some. */
    GB_SIM_DROP,
    /* Delivers some twice, the second time after delay_us. */
    GB_SIM_DUPLICATE,
    /* Adds delay_us. */
    GB_SIM_DELAY,
    /* Adds a random delay up to delay_us to each. */
    GB_SIM_REORDER
};

/* Fault on datagrams of one direction between named nodes. An empty name
 * stands for any node. */
struct GbSimFaultRule {
    enum GbSimFault fault;
    char from[GB_SIM_NAME_BYTES];
    char to[GB_SIM_NAME_BYTES];
    /* Inner message that it applies to; 0 for any. */
    enum GbMessageKind kind;
    /* Share of the datagrams, in percent. */
    uint32_t percent;
    /* Datagrams that it still applies to; 0 for no end. */
    uint32_t remaining_count;
    int64_t delay_us;
};

/* Network that loses, delays, repeats and reorders datagrams by rules. */
struct GbSimNetwork {
    struct GbSimEventQueue *events;
    struct GbRandom *random;
    const struct GbKeys *keys;
    const int64_t *now_us;
    /* Struct GbSimNode; not owned. */
    GPtrArray *nodes;
    /* Struct GbSimFaultRule. */
    GArray *rules;
    /* Lines that say what was sent and lost; NULL keeps none. */
    GString *trace;
};

void GbSimNetwork_Init(struct GbSimNetwork *self,
                       struct GbSimEventQueue *events, struct GbRandom *random,
                       const struct GbKeys *keys, const int64_t *now_us);

void GbSimNetwork_Finish(struct GbSimNetwork *self);

/* Node that has the address now; NULL if none. */
struct GbSimNode *GbSimNetwork_FindNode(const struct GbSimNetwork *self,
                                        const struct GbAddress *address);

/* Whether a rule of GB_SIM_CUT lies between two nodes in this direction. */
bool GbSimNetwork_IsCut(const struct GbSimNetwork *self, const char *from,
                        const char *to);

void GbSimNetwork_AddRule(struct GbSimNetwork *self,
                          const struct GbSimFaultRule *rule);

/* Removes the rules between two nodes in this direction; empty names match
 * all rules. */
void GbSimNetwork_Heal(struct GbSimNetwork *self, const char *from,
                       const char *to);

/* Sends header and body as one datagram. */
void GbSimNetwork_Send(struct GbSimNetwork *self, struct GbSimNode *from,
                       const struct GbAddress *to, struct GbBytes header,
                       struct GbBytes body);

/* Flow that a datagram is about; 0 if about none. */
uint64_t GbSimNetwork_FlowId(const struct GbSimNetwork *self,
                             struct GbBytes datagram);

/* Writes one line about a datagram: kind, flow, request. */
void GbSimNetwork_Describe(const struct GbSimNetwork *self,
                           struct GbBytes datagram, GString *line);

#endif
