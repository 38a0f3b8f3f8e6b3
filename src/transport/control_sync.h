#ifndef GB_TRANSPORT_CONTROL_SYNC_H
#define GB_TRANSPORT_CONTROL_SYNC_H

#include "coordination/documents/document_sync.h"
#include "transport/peer_client.h"
#include "transport/peer_server.h"
#include "transport/platform_client.h"

struct GbControlSyncListener;

/* Callbacks of GbControlSync, implemented by the control task. */
struct GbControlSyncListenerClass {
    /* The process must use this document and this instance list from now on.
     */
    void (*publish)(struct GbControlSyncListener *self,
                    struct GbDocument *document, struct GbInstanceList *list);
    /* A REVISION datagram must be sent to a peer. */
    void (*announce)(struct GbControlSyncListener *self,
                     const struct GbAddress *to,
                     const struct GbRevision *revision);
};

struct GbControlSyncListener {
    const struct GbControlSyncListenerClass *klass;
};

struct GbControlSync;

/* Call to the platform whose result GbDocumentSync waits for. */
struct GbControlSyncCall {
    struct GbPlatformReplyHandler super;
    struct GbControlSync *sync;
    uint32_t call_id;
};

/* Carries out the calls that GbDocumentSync decides on: HTTP requests to the
 * platform and TCP pulls from other processes. */
struct GbControlSync {
    struct GbDocumentSyncPort port;
    struct GbDocumentAcceptancePort acceptance_port;
    struct GbPeerDocumentSource document_source;
    struct GbPeerReplyHandler pull_reply_handler;
    struct GbControlSyncCall head_call;
    struct GbControlSyncCall document_call;
    struct GbControlSyncCall instances_call;
    struct GbDocumentHead document_head;
    uint32_t pull_call_id;

    struct GbControlSyncListener *listener;
    struct GbCounters *counters;
    struct GbSystemRandom random;
    struct GbAudit audit;
    struct GbDocumentAcceptance acceptance;
    struct GbDocumentSync sync;
    struct GbPlatformClient platform;
    struct GbPeerClient peer_client;
    struct GbPeerServer peer_server;
};

/* All pointers must outlive self. */
void GbControlSync_Init(struct GbControlSync *self, const char *instance_name,
                        struct GbControlSyncListener *listener,
                        struct GbClock *clock, struct GbCounters *counters);

/* Opens the platform client. It sends no request yet. */
void GbControlSync_Open(struct GbControlSync *self, struct event_base *base,
                        const struct GbAddress *platform);

/* Opens the TCP socket for other processes. Call it after GbControlSync_Open.
 * Without it, documents are neither served to peers nor pulled from them.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbControlSync_Listen(struct GbControlSync *self,
                                            const struct GbAddress *address,
                                            const struct GbKeys *keys,
                                            struct GbErrorText *error);

void GbControlSync_Close(struct GbControlSync *self);

#endif
