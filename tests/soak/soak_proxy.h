#ifndef GB_TESTS_SOAK_PROXY_H
#define GB_TESTS_SOAK_PROXY_H

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdbool.h>

enum SoakProxyMode {
    SOAK_PROXY_FORWARD,
    /* Bytes are forwarded after a delay. */
    SOAK_PROXY_DELAY,
    /* Bytes of both directions are held back; connections stay open. */
    SOAK_PROXY_BLACKHOLE,
    /* Requests reach the store, but responses are held back. */
    SOAK_PROXY_HOLD_RESPONSES,
    /* Connections are reset. */
    SOAK_PROXY_RESET
};

/* TCP proxy on loopback between one process and the store. */
struct SoakProxy {
    struct event_base *base;
    struct evconnlistener *listener;
    uint16_t port;
    uint16_t store_port;
    enum SoakProxyMode mode;
    /* struct SoakProxyConnection. */
    GPtrArray *connections;
};

void SoakProxy_Open(struct SoakProxy *self, struct event_base *base,
                    uint16_t store_port);

void SoakProxy_Close(struct SoakProxy *self);

/* Switches the mode. A direction that SOAK_PROXY_BLACKHOLE or
 * SOAK_PROXY_HOLD_RESPONSES has blocked stays blocked for the rest of the
 * connection, as after a network partition that outlasts it. */
void SoakProxy_SetMode(struct SoakProxy *self, enum SoakProxyMode mode);

const char *SoakProxyMode_Name(enum SoakProxyMode mode);

#endif
