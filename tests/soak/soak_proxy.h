#ifndef GB_TESTS_SOAK_PROXY_H
#define GB_TESTS_SOAK_PROXY_H

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdbool.h>

enum SoakProxyMode {
    SOAK_PROXY_PASS,
    /* Bytes arrive later. */
    SOAK_PROXY_DELAY,
    /* Nothing passes either way; connections stay open. */
    SOAK_PROXY_SILENT,
    /* Calls arrive, answers do not. */
    SOAK_PROXY_ONE_WAY,
    /* Connections are reset. */
    SOAK_PROXY_RESET
};

/* Loopback proxy between one process and the store. */
struct SoakProxy {
    struct event_base *base;
    struct evconnlistener *listener;
    uint16_t port;
    uint16_t store_port;
    enum SoakProxyMode mode;
    /* Struct SoakLink. */
    GPtrArray *links;
};

void SoakProxy_Open(struct SoakProxy *self, struct event_base *base,
                    uint16_t store_port);

void SoakProxy_Close(struct SoakProxy *self);

/* Connections that were open before a silent or one-way time never pass
 * anything again, as with a path that was cut. */
void SoakProxy_SetMode(struct SoakProxy *self, enum SoakProxyMode mode);

const char *SoakProxyMode_Name(enum SoakProxyMode mode);

#endif
