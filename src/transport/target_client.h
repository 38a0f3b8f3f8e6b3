#ifndef GB_TRANSPORT_TARGET_CLIENT_H
#define GB_TRANSPORT_TARGET_CLIENT_H

#include <event2/event.h>
#include <glib.h>

#include "coordination/calls/agent.h"
#include "state/address.h"

struct GbTargetEvents;

/* What happens to work at the target. */
struct GbTargetEventsClass {
    void (*answered)(struct GbTargetEvents *self, uint64_t work_id,
                     uint16_t target_status);
    void (*sent)(struct GbTargetEvents *self, uint64_t work_id, uint8_t *data,
                 uint32_t size_bytes);
    void (*ended)(struct GbTargetEvents *self, uint64_t work_id,
                  enum GbTargetOutcome end);
};

struct GbTargetEvents {
    const struct GbTargetEventsClass *klass;
};

/* HTTP/1.1 client of the one target. Each request has a connection of its
 * own and is written once: only so is it known whether anything was written
 * when a connection fails. */
struct GbTargetClient {
    struct event_base *base;
    struct GbAddress target;
    struct GbTargetEvents *events;
    /* Work in progress by id. */
    GHashTable *works;
    /* Work that is over and waits to be freed. */
    GQueue ended;
    struct event *dispose;
};

void GbTargetClient_Init(struct GbTargetClient *self, struct event_base *base,
                         const struct GbAddress *target,
                         struct GbTargetEvents *events);

/* Closes all connections. */
void GbTargetClient_Finish(struct GbTargetClient *self);

void GbTargetClient_Start(struct GbTargetClient *self,
                          const struct GbTargetRequest *call);

/* Closes the connection; no event of this work follows. */
void GbTargetClient_Cancel(struct GbTargetClient *self, uint64_t work_id);

/* Lets size_bytes more of the answer be passed on. */
void GbTargetClient_Allow(struct GbTargetClient *self, uint64_t work_id,
                          uint32_t size_bytes);

#endif
