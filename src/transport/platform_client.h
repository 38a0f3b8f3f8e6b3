#ifndef GB_TRANSPORT_PLATFORM_CLIENT_H
#define GB_TRANSPORT_PLATFORM_CLIENT_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/address.h"

#define GB_PLATFORM_BODY_BYTES_MAX (4 * 1024 * 1024)

/* Status of a call whose response is larger than its limit. */
#define GB_PLATFORM_REPLY_TOO_LARGE (-1)

struct GbPlatformReplyHandler;

/* Receives the result of one call. */
struct GbPlatformReplyHandler {
    /* Header of the response that the handler reads; NULL if it reads none. */
    const char *header_name;
    /* Value of that header, valid only during completed; NULL if it is
     * missing. */
    const char *header_value;
    /* status is the HTTP status, GB_PLATFORM_REPLY_TOO_LARGE, or 0 if there
     * was no response. data is valid only during the call. */
    void (*completed)(struct GbPlatformReplyHandler *self, int status,
                      const uint8_t *data, size_t size_bytes);
};

/* HTTP client of the platform. It sends GET requests only. */
struct GbPlatformClient {
    struct event_base *base;
    struct GbAddress platform;
    /* Set of the calls in progress; owned. */
    GHashTable *calls;
    /* Finished calls that are freed once the current callback has returned. */
    GQueue finished_calls;
    struct event *free_event;
};

void GbPlatformClient_Init(struct GbPlatformClient *self,
                           struct event_base *base,
                           const struct GbAddress *platform);

/* Closes all connections; no reply handler is called. */
void GbPlatformClient_Finish(struct GbPlatformClient *self);

/* Sends a GET request for a path. The handler is called once, at the latest
 * when no data has arrived for timeout_ms. A body of more than max_bytes
 * is discarded. */
void GbPlatformClient_Get(struct GbPlatformClient *self, const char *path,
                          uint32_t timeout_ms, size_t max_bytes,
                          struct GbPlatformReplyHandler *handler);

/* Cancels all calls in progress that use this handler; it is not called for
 * them. */
void GbPlatformClient_Cancel(struct GbPlatformClient *self,
                             struct GbPlatformReplyHandler *handler);

#endif
