#include "transport/http_server.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

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
    char text[GB_ADDRESS_TEXT_BYTES];

    self->handler = handler;
    self->http = evhttp_new(base);
    evhttp_set_allowed_methods(self->http, EVHTTP_REQ_GET);
    evhttp_set_max_body_size(self->http, BODY_BYTES_MAX);
    evhttp_set_max_headers_size(self->http, HEADERS_BYTES_MAX);
    evhttp_set_timeout(self->http, TIMEOUT_S);
    evhttp_set_gencb(self->http, request_received, self);
    GbAddress_Format(address, text);
    *strchr(text, ':') = '\0';
    self->socket =
        evhttp_bind_socket_with_handle(self->http, text, address->port);
    if (self->socket == NULL) {
        GbErrorText_Set(error, "cannot listen on HTTP address %s:%u", text,
                        (unsigned)address->port);
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
    struct sockaddr_in socket_address = {0};
    socklen_t size_bytes = sizeof(socket_address);

    getsockname(evhttp_bound_socket_get_fd(self->socket),
                (struct sockaddr *)&socket_address, &size_bytes);
    return ntohs(socket_address.sin_port);
}
