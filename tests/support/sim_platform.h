#ifndef GB_SUPPORT_SIM_PLATFORM_H
#define GB_SUPPORT_SIM_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/documents/document_acceptance.h"
#include "state/view.h"

/* Configuration service and instance list, as the platform has them. */
struct GbSimPlatform {
    struct GbDocument *document;
    struct GbInstanceList *list;
};

/* What one process gets to see of the platform, and what it holds of it. */
struct GbSimPlatformClient {
    bool is_down;
    /* Document and list stay as they were when this was set. */
    bool is_stale;
    bool is_lagging;
    struct GbDocument *stale_document;
    struct GbInstanceList *lagging_list;
    /* Memory of the process, lost when it ends. */
    bool is_open;
    struct GbDocumentAcceptancePort port;
    struct GbDocumentAcceptance acceptance;
    struct GbInstanceList *list;
};

/* Changes of a published document against the first one. */
struct GbSimPublication {
    uint64_t revision;
    /* Distinguishes documents of one revision. */
    uint32_t variant;
    /* Slots of each target; 0 leaves them. */
    uint32_t slots;
    /* Queue of each service; 0 leaves it. */
    uint32_t queue;
    int64_t in_force_from_us;
};

void GbSimPlatform_Init(struct GbSimPlatform *self);

void GbSimPlatform_Finish(struct GbSimPlatform *self);

/* Document of the two services that scenarios use. */
struct GbDocument *
GbSimPlatform_BuildDocument(const struct GbSimPublication *what);

void GbSimPlatform_Publish(struct GbSimPlatform *self,
                           const struct GbSimPublication *what);

/* Adds an instance or replaces the one of the same name. */
void GbSimPlatform_SetInstance(struct GbSimPlatform *self,
                               const struct GbInstance *instance);

void GbSimPlatform_RemoveInstance(struct GbSimPlatform *self,
                                  const char *name);

/* The process starts or ends. */
void GbSimPlatformClient_Open(struct GbSimPlatformClient *self,
                              struct GbClock *clock,
                              struct GbCounters *counters);
void GbSimPlatformClient_Close(struct GbSimPlatformClient *self);

void GbSimPlatformClient_Finish(struct GbSimPlatformClient *self);

/* Highest accepted document and the one in force; NULL if there is none. */
struct GbDocument *
GbSimPlatformClient_AcceptedDocument(const struct GbSimPlatformClient *self);
struct GbDocument *
GbSimPlatformClient_DocumentInForce(const struct GbSimPlatformClient *self);

/* Freezes or releases what the feed gives. */
void GbSimPlatformClient_SetDocumentStale(struct GbSimPlatformClient *self,
                                          const struct GbSimPlatform *platform,
                                          bool is_stale);
void GbSimPlatformClient_SetListLagging(struct GbSimPlatformClient *self,
                                        const struct GbSimPlatform *platform,
                                        bool is_lagging);

/* Offers a document of a peer or of the platform to the acceptance. */
void GbSimPlatformClient_OfferDocument(struct GbSimPlatformClient *self,
                                       struct GbDocument *document,
                                       enum GbDocumentSource source);

/* Reads the platform, if it can be reached, and brings an accepted document
 * into force when its time has come. Returns a new view if anything changed,
 * or NULL. */
struct GbView *GbSimPlatformClient_Poll(struct GbSimPlatformClient *self,
                                        const struct GbSimPlatform *platform);

#endif
