#ifndef GB_TRANSPORT_PLATFORM_CLIENT_H
#define GB_TRANSPORT_PLATFORM_CLIENT_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/address.h"

#define GB_PLATFORM_BODY_BYTES_MAX (4 * 1024 * 1024)

struct GbPlatformReplyHandler;

/* Is given the outcome of one call. */
struct GbPlatformReplyHandler {
    /* status is the HTTP status; 0 if the platform did not answer. */
    void (*done)(struct GbPlatformReplyHandler *self, int status,
                 const uint8_t *data, size_t size_bytes);
};

/* HTTP client of the platform, which can only be read. */
struct GbPlatformClient {
    struct event_base *base;
    struct GbAddress platform;
    /* Calls in progress. */
    GHashTable *calls;
    /* Calls that are over and wait to be freed. */
    GQueue finished_calls;
    struct event *free_event;
};

void GbPlatformClient_Init(struct GbPlatformClient *self,
                           struct event_base *base,
                           const struct GbAddress *platform);

/* Closes all connections; no reply follows. */
void GbPlatformClient_Finish(struct GbPlatformClient *self);

/* Reads a path. reply is told once, at the latest when nothing has arrived
 * for timeout_ms. A body of more than max_bytes is a failure. */
void GbPlatformClient_Get(struct GbPlatformClient *self, const char *path,
                          uint32_t timeout_ms, size_t max_bytes,
                          struct GbPlatformReplyHandler *reply);

/* Ends the calls of this reply that are in progress; it is not told of
 * them. */
void GbPlatformClient_Cancel(struct GbPlatformClient *self,
                             struct GbPlatformReplyHandler *reply);

#endif
