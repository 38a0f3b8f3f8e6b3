#ifndef GB_SUPPORT_SIM_PLATFORM_H
#define GB_SUPPORT_SIM_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/documents/document_acceptance.h"
#include "state/view.h"

/* The environment document and the instance list that the platform serves. */
struct GbSimPlatform {
    struct GbDocument *document;
    struct GbInstanceList *list;
};

/* Access of one process to the platform, with injected faults, and the state
 * that the process has read from it. */
struct GbSimPlatformClient {
    /* The platform cannot be reached. */
    bool is_down;
    /* The platform serves the document of the time when this was set. */
    bool is_stale;
    /* The platform serves the instance list of the time when this was set. */
    bool is_lagging;
    struct GbDocument *stale_document;
    struct GbInstanceList *lagging_list;
    /* State of the process, lost when it stops. */
    bool is_open;
    struct GbDocumentAcceptancePort port;
    struct GbDocumentAcceptance acceptance;
    struct GbInstanceList *list;
};

/* Properties of a published document that differ from the first one. */
struct GbSimPublication {
    uint64_t revision;
    /* Distinguishes documents with the same revision. */
    uint32_t variant;
    /* Slots of each target; 0 for the default of 2. */
    uint32_t slots;
    /* Queue limit of each service; 0 for the default of 64. */
    uint32_t queue;
    int64_t in_force_from_us;
};

void GbSimPlatform_Init(struct GbSimPlatform *self);

void GbSimPlatform_Finish(struct GbSimPlatform *self);

/* Returns a new document with the two services that scenarios use. */
struct GbDocument *
GbSimPlatform_BuildDocument(const struct GbSimPublication *publication);

void GbSimPlatform_Publish(struct GbSimPlatform *self,
                           const struct GbSimPublication *publication);

/* Adds an instance, or replaces the one with the same name. */
void GbSimPlatform_SetInstance(struct GbSimPlatform *self,
                               const struct GbInstance *instance);

void GbSimPlatform_RemoveInstance(struct GbSimPlatform *self,
                                  const char *name);

/* Called when the process starts. */
void GbSimPlatformClient_Open(struct GbSimPlatformClient *self,
                              struct GbClock *clock,
                              struct GbCounters *counters);

/* Called when the process stops. */
void GbSimPlatformClient_Close(struct GbSimPlatformClient *self);

void GbSimPlatformClient_Finish(struct GbSimPlatformClient *self);

/* Returns the highest accepted document; NULL if there is none. */
struct GbDocument *
GbSimPlatformClient_AcceptedDocument(const struct GbSimPlatformClient *self);

/* Returns the document in force; NULL if there is none. */
struct GbDocument *
GbSimPlatformClient_DocumentInForce(const struct GbSimPlatformClient *self);

/* Sets whether the process reads a frozen copy of the document. */
void GbSimPlatformClient_SetDocumentStale(struct GbSimPlatformClient *self,
                                          const struct GbSimPlatform *platform,
                                          bool is_stale);

/* Sets whether the process reads a frozen copy of the instance list. */
void GbSimPlatformClient_SetListLagging(struct GbSimPlatformClient *self,
                                        const struct GbSimPlatform *platform,
                                        bool is_lagging);

/* Offers a document of a peer or of the platform for acceptance. */
void GbSimPlatformClient_OfferDocument(struct GbSimPlatformClient *self,
                                       struct GbDocument *document,
                                       enum GbDocumentSource source);

/* Reads the platform, if it can be reached, and puts an accepted document into
 * force once its time has come. Returns a new view, or NULL if nothing
 * changed. */
struct GbView *GbSimPlatformClient_Poll(struct GbSimPlatformClient *self,
                                        const struct GbSimPlatform *platform);

#endif
