#include "transport/http_server.h"

#include <event2/buffer.h>

#include "transport/tcp_listener.h"

#define BODY_BYTES_MAX 4096
#define HEADERS_BYTES_MAX 8192
#define TIMEOUT_S 5

static void
request_received(struct evhttp_request *request, void *context)
{
    struct GbHttpServer *self = context;
    const char *path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    GString *body = g_string_new(NULL);
    struct evbuffer *buffer = evbuffer_new();
    int status =
        self->handler->handle(self->handler, path != NULL ? path : "", body);

    evbuffer_add(buffer, body->str, body->len);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "text/plain; charset=utf-8");
    evhttp_send_reply(request, status, NULL, buffer);
    evbuffer_free(buffer);
    g_string_free(body, TRUE);
}

enum GbTransportStatus
GbHttpServer_Open(struct GbHttpServer *self, const struct GbAddress *address,
                  struct event_base *base, struct GbHttpHandler *handler,
                  struct GbErrorText *error)
{
    struct evconnlistener *listener;

    self->handler = handler;
    self->http = evhttp_new(base);
    evhttp_set_allowed_methods(self->http, EVHTTP_REQ_GET);
    evhttp_set_max_body_size(self->http, BODY_BYTES_MAX);
    evhttp_set_max_headers_size(self->http, HEADERS_BYTES_MAX);
    evhttp_set_timeout(self->http, TIMEOUT_S);
    evhttp_set_gencb(self->http, request_received, self);
    listener = GbTcpListener_New(base, address, NULL, NULL, error);
    self->socket =
        listener != NULL ? evhttp_bind_listener(self->http, listener) : NULL;
    if (self->socket == NULL) {
        GbHttpServer_Close(self);
        return GB_TRANSPORT_SYSTEM_ERROR;
    }
    return GB_TRANSPORT_OK;
}

void
GbHttpServer_Close(struct GbHttpServer *self)
{
    if (self->http != NULL) {
        evhttp_free(self->http);
        self->http = NULL;
    }
}

uint16_t
GbHttpServer_Port(const struct GbHttpServer *self)
{
    return GbTcpListener_Port(evhttp_bound_socket_get_listener(self->socket));
}
