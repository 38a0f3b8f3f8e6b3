#ifndef GB_TRANSPORT_HTTP_SERVER_H
#define GB_TRANSPORT_HTTP_SERVER_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "state/address.h"
#include "state/error_text.h"
#include "transport/status.h"

struct GbHttpHandler;

/* Handler of GET requests. */
struct GbHttpHandler {
    /* Appends the response body and returns the HTTP status. */
    int (*handle)(struct GbHttpHandler *self, const char *path, GString *body);
};

/* HTTP server for operators: metrics, health and status. */
struct GbHttpServer {
    struct evhttp *http;
    struct evhttp_bound_socket *socket;
    struct GbHttpHandler *handler;
};

/* Binds the address and starts to serve requests. Port 0 binds any free port.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR. */
enum GbTransportStatus GbHttpServer_Open(struct GbHttpServer *self,
                                         const struct GbAddress *address,
                                         struct event_base *base,
                                         struct GbHttpHandler *handler,
                                         struct GbErrorText *error);

void GbHttpServer_Close(struct GbHttpServer *self);

/* Port that the server is bound to. */
uint16_t GbHttpServer_Port(const struct GbHttpServer *self);

#endif
