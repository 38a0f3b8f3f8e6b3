#include "support/fake_store.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "transport/http_server.h"

static void
send_reply(struct evhttp_request *request, int status, const GString *body)
{
    struct evbuffer *buffer = evbuffer_new();

    evbuffer_add(buffer, body->str, body->len);
    evhttp_send_reply(request, status, NULL, buffer);
    evbuffer_free(buffer);
}

static void
append_item(GString *body, const char *key, const char *value,
            uint64_t revision)
{
    gchar *encoded;

    if (value == NULL) {
        g_string_append_printf(
            body, "{\"key\":\"%s\",\"revision\":%" PRIu64 ",\"deleted\":true}",
            key, revision);
        return;
    }
    encoded = g_base64_encode((const guchar *)value, strlen(value));
    g_string_append_printf(body,
                           "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":"
                           "%" PRIu64 ",\"created\":1,\"lease\":0}",
                           key, encoded, revision);
    g_free(encoded);
}

static void
reply_list(struct GbFakeStore *self, struct evhttp_request *request,
           GString *body)
{
    self->list_reads++;
    g_string_append(body, "{\"items\":[");
    if (self->host_key != NULL) {
        append_item(body, self->host_key, self->host_value, 1);
    }
    g_string_append_printf(
        body, "],\"hasMore\":false,\"storeRevision\":%" PRIu64 "}",
        self->revision);
    send_reply(request, self->read_status, body);
}

static void
reply_config(struct GbFakeStore *self, struct evhttp_request *request,
             GString *body)
{
    self->config_reads++;
    if (self->config_value == NULL) {
        send_reply(request, HTTP_NOTFOUND, body);
        return;
    }
    append_item(body, "op/config", self->config_value, self->config_revision);
    g_string_truncate(body, body->len - 1);
    g_string_append_printf(body, ",\"storeRevision\":%" PRIu64 "}",
                           self->revision);
    send_reply(request, self->read_status, body);
}

static uint64_t
query_number(struct evhttp_request *request, const char *name)
{
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    struct evkeyvalq values;
    const char *text;
    uint64_t number;

    evhttp_parse_query_str(query, &values);
    text = evhttp_find_header(&values, name);
    number = text != NULL ? strtoull(text, NULL, 10) : 0;
    evhttp_clear_headers(&values);
    return number;
}

static void
reply_watch(struct GbFakeStore *self, struct evhttp_request *request,
            GString *body)
{
    uint32_t index = self->watches_replied;
    const struct GbFakeWatch *watch;

    if (index >= self->watch_count) {
        /* No reply: the script has no further one. */
        return;
    }
    watch = &self->watches[index];
    self->watched_after[index] = query_number(request, "after");
    self->watches_replied++;
    if (self->before_watch != NULL) {
        self->before_watch(self, index);
    }
    g_string_append(body, "{\"events\":[");
    if (watch->key != NULL) {
        append_item(body, watch->key, watch->value, watch->revision);
    }
    g_string_append_printf(body, "],\"storeRevision\":%" PRIu64 "}",
                           watch->revision);
    send_reply(request, watch->status, body);
}

static void
handle_request(struct evhttp_request *request, void *context)
{
    struct GbFakeStore *self = context;
    const char *path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    GString *body = g_string_new(NULL);

    if (strcmp(path, "/-/kv-range") == 0) {
        reply_list(self, request, body);
    }
    else if (strcmp(path, "/-/kv-key") == 0) {
        reply_config(self, request, body);
    }
    else {
        g_assert_cmpstr(path, ==, "/-/kv-watch");
        reply_watch(self, request, body);
    }
    g_string_free(body, TRUE);
}

void
GbFakeStore_Open(struct GbFakeStore *self, struct event_base *base)
{
    struct GbHttpServer server;

    self->http = evhttp_new(base);
    evhttp_set_gencb(self->http, handle_request, self);
    server.http = self->http;
    server.socket = evhttp_bind_socket_with_handle(self->http, "127.0.0.1", 0);
    g_assert_nonnull(server.socket);
    g_assert_true(GbAddress_Parse(&self->address, "127.0.0.1:0"));
    self->address.port = GbHttpServer_Port(&server);
    if (self->read_status == 0) {
        self->read_status = HTTP_OK;
    }
}

void
GbFakeStore_Close(struct GbFakeStore *self)
{
    evhttp_free(self->http);
}
