#ifndef GB_TRANSPORT_TARGET_CLIENT_H
#define GB_TRANSPORT_TARGET_CLIENT_H

#include <event2/event.h>
#include <glib.h>

#include "coordination/calls/agent.h"
#include "state/address.h"

struct GbTargetClientListener;

/* What happens to work at the target. */
struct GbTargetClientListenerClass {
    void (*head_received)(struct GbTargetClientListener *self,
                          uint64_t work_id, uint16_t target_status);
    void (*data_received)(struct GbTargetClientListener *self,
                          uint64_t work_id, uint8_t *data,
                          uint32_t size_bytes);
    void (*request_ended)(struct GbTargetClientListener *self,
                          uint64_t work_id, enum GbTargetEnd end);
};

struct GbTargetClientListener {
    const struct GbTargetClientListenerClass *klass;
};

/* HTTP/1.1 client of the one target. Each request has a connection of its
 * own and is written once: only so is it known whether anything was written
 * when a connection fails. */
struct GbTargetClient {
    struct event_base *base;
    struct GbAddress target;
    struct GbTargetClientListener *listener;
    /* Work in progress by id. */
    GHashTable *requests;
    /* Work that is over and waits to be freed. */
    GQueue finished_requests;
    struct event *free_event;
};

void GbTargetClient_Init(struct GbTargetClient *self, struct event_base *base,
                         const struct GbAddress *target,
                         struct GbTargetClientListener *events);

/* Closes all connections. */
void GbTargetClient_Finish(struct GbTargetClient *self);

void GbTargetClient_StartRequest(struct GbTargetClient *self,
                                 const struct GbTargetCall *call);

/* Closes the connection; no event of this work follows. */
void GbTargetClient_CancelRequest(struct GbTargetClient *self,
                                  uint64_t work_id);

/* Lets size_bytes more of the answer be passed on. */
void GbTargetClient_ExtendWindow(struct GbTargetClient *self, uint64_t work_id,
                                 uint32_t size_bytes);

#endif
