#ifndef GB_TRANSPORT_TARGET_CLIENT_H
#define GB_TRANSPORT_TARGET_CLIENT_H

#include <event2/event.h>
#include <glib.h>

#include "coordination/calls/agent.h"
#include "state/address.h"

struct GbTargetClientListener;

/* Callbacks for the progress of a request at the target. */
struct GbTargetClientListenerClass {
    void (*head_received)(struct GbTargetClientListener *self,
                          uint64_t work_id, uint16_t target_status);
    void (*data_received)(struct GbTargetClientListener *self,
                          uint64_t work_id, uint8_t *data,
                          uint32_t size_bytes);
    void (*request_ended)(struct GbTargetClientListener *self,
                          uint64_t work_id, enum GbTargetOutcome outcome);
};

struct GbTargetClientListener {
    const struct GbTargetClientListenerClass *klass;
};

/* HTTP/1.1 client of the single target. Each request uses a connection of its
 * own and is never retried, so that after a connection failure it is certain
 * whether any byte of the request was written. */
struct GbTargetClient {
    struct event_base *base;
    struct GbAddress target;
    struct GbTargetClientListener *listener;
    /* Requests in progress by work_id; owned. */
    GHashTable *requests;
    /* Finished requests that are freed once the current callback has
     * returned. */
    GQueue finished_requests;
    struct event *free_event;
};

void GbTargetClient_Init(struct GbTargetClient *self, struct event_base *base,
                         const struct GbAddress *target,
                         struct GbTargetClientListener *listener);

/* Closes all connections. */
void GbTargetClient_Finish(struct GbTargetClient *self);

void GbTargetClient_StartRequest(struct GbTargetClient *self,
                                 const struct GbTargetRequest *target_request);

/* Closes the connection of a request; no callback follows for it. */
void GbTargetClient_CancelRequest(struct GbTargetClient *self,
                                  uint64_t work_id);

/* Extends the flow-control window of a request by size_bytes: as many more
 * bytes of the response may be passed to the listener. */
void GbTargetClient_ExtendWindow(struct GbTargetClient *self, uint64_t work_id,
                                 uint32_t size_bytes);

#endif
