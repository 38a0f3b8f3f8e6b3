#include "soak_store.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "soak_promises.h"
#include "transport/http_server.h"

#define HTTP_HISTORY_LOST 410

struct SoakItem {
    gchar *value;
    uint64_t revision;
};

struct SoakWatch {
    struct evhttp_request *request;
    uint64_t after;
    int64_t until_ms;
};

static void
free_item(gpointer data)
{
    struct SoakItem *item = data;

    g_free(item->value);
    g_free(item);
}

static void
append_item(GString *body, const char *key, const struct SoakItem *item)
{
    gchar *encoded;

    if (item->value == NULL) {
        g_string_append_printf(
            body, "{\"key\":\"%s\",\"revision\":%" PRIu64 ",\"deleted\":true}",
            key, item->revision);
        return;
    }
    encoded =
        g_base64_encode((const guchar *)item->value, strlen(item->value));
    g_string_append_printf(body,
                           "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":"
                           "%" PRIu64 ",\"created\":1,\"lease\":0}",
                           key, encoded, item->revision);
    g_free(encoded);
}

/* Items under a prefix that changed after a revision; removed ones only if
 * asked. Returns how many there were. */
static uint32_t
append_items(struct SoakStore *self, GString *body, const char *prefix,
             uint64_t after, bool is_with_removed)
{
    GHashTableIter items;
    gpointer key;
    gpointer value;
    uint32_t count = 0;

    g_hash_table_iter_init(&items, self->items);
    while (g_hash_table_iter_next(&items, &key, &value)) {
        const struct SoakItem *item = value;

        if (item->revision <= after || !g_str_has_prefix(key, prefix) ||
            (item->value == NULL && !is_with_removed)) {
            continue;
        }
        if (count++ > 0) {
            g_string_append_c(body, ',');
        }
        append_item(body, key, item);
    }
    return count;
}

static void
answer(struct evhttp_request *request, int status, const char *body)
{
    struct evbuffer *buffer = evbuffer_new();

    evbuffer_add(buffer, body, strlen(body));
    evhttp_send_reply(request, status, NULL, buffer);
    evbuffer_free(buffer);
}

static void
send_list(struct SoakStore *self, struct evhttp_request *request,
          const char *prefix)
{
    GString *body = g_string_new("{\"items\":[");

    append_items(self, body, prefix, 0, false);
    g_string_append_printf(
        body, "],\"hasMore\":false,\"storeRevision\":%" PRIu64 "}",
        self->revision);
    answer(request, HTTP_OK, body->str);
    g_string_free(body, TRUE);
}

static void
send_item(struct SoakStore *self, struct evhttp_request *request,
          const char *key)
{
    const struct SoakItem *item = g_hash_table_lookup(self->items, key);
    GString *body = g_string_new(NULL);

    if (item == NULL || item->value == NULL) {
        g_string_printf(body, "{\"storeRevision\":%" PRIu64 "}",
                        self->revision);
        answer(request, HTTP_NOTFOUND, body->str);
    }
    else {
        append_item(body, key, item);
        g_string_truncate(body, body->len - 1);
        g_string_append_printf(body, ",\"storeRevision\":%" PRIu64 "}",
                               self->revision);
        answer(request, HTTP_OK, body->str);
    }
    g_string_free(body, TRUE);
}

static void
send_events(struct SoakStore *self, const struct SoakWatch *watch)
{
    GString *body = g_string_new("{\"events\":[");

    append_items(self, body, "", watch->after, true);
    g_string_append_printf(body, "],\"storeRevision\":%" PRIu64 "}",
                           self->revision);
    answer(watch->request, HTTP_OK, body->str);
    g_string_free(body, TRUE);
}

/* Answers a watch if it has to be. */
static bool
serve_watch(struct SoakStore *self, const struct SoakWatch *watch)
{
    if (watch->after < self->dropped_revision) {
        answer(watch->request, HTTP_HISTORY_LOST, "{}");
        return true;
    }
    if (watch->after < self->revision || Soak_NowMs() >= watch->until_ms) {
        send_events(self, watch);
        return true;
    }
    return false;
}

static void
forget_watch(struct evhttp_connection *connection, void *context)
{
    struct SoakStore *self = context;

    for (guint i = 0; i < self->watches->len; i++) {
        const struct SoakWatch *watch = g_ptr_array_index(self->watches, i);

        if (evhttp_request_get_connection(watch->request) == connection) {
            g_ptr_array_remove_index_fast(self->watches, i);
            return;
        }
    }
}

static void
add_watch(struct SoakStore *self, struct evhttp_request *request,
          uint64_t after, int64_t wait_ms)
{
    struct SoakWatch *watch = g_new0(struct SoakWatch, 1);

    watch->request = request;
    watch->after = after;
    watch->until_ms = Soak_NowMs() + wait_ms;
    if (serve_watch(self, watch)) {
        g_free(watch);
        return;
    }
    g_ptr_array_add(self->watches, watch);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  forget_watch, self);
}

static const char *
find(const struct evkeyvalq *values, const char *name)
{
    const char *text = evhttp_find_header(values, name);

    return text != NULL ? text : "";
}

static void
handle(struct evhttp_request *request, void *context)
{
    struct SoakStore *self = context;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = evhttp_uri_get_path(uri);
    struct evkeyvalq values;

    if (self->refused_status != 0) {
        answer(request, self->refused_status, "{}");
        return;
    }
    evhttp_parse_query_str(evhttp_uri_get_query(uri), &values);
    if (strcmp(path, "/-/kv-range") == 0) {
        send_list(self, request, find(&values, "prefix"));
    }
    else if (strcmp(path, "/-/kv-key") == 0) {
        send_item(self, request, find(&values, "key"));
    }
    else {
        add_watch(self, request, strtoull(find(&values, "after"), NULL, 10),
                  strtoll(find(&values, "waitMs"), NULL, 10));
    }
    evhttp_clear_headers(&values);
}

void
SoakStore_Open(struct SoakStore *self, struct event_base *base)
{
    struct GbHttpServer server;

    memset(self, 0, sizeof(*self));
    self->base = base;
    self->revision = 1;
    self->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
    self->watches = g_ptr_array_new_with_free_func(g_free);
    self->http = evhttp_new(base);
    evhttp_set_gencb(self->http, handle, self);
    server.http = self->http;
    server.socket = evhttp_bind_socket_with_handle(self->http, "127.0.0.1", 0);
    g_assert_nonnull(server.socket);
    self->port = GbHttpServer_Port(&server);
}

void
SoakStore_Close(struct SoakStore *self)
{
    g_ptr_array_set_size(self->watches, 0);
    evhttp_free(self->http);
    g_ptr_array_unref(self->watches);
    g_hash_table_destroy(self->items);
}

void
SoakStore_Put(struct SoakStore *self, const char *key, const char *value)
{
    struct SoakItem *item = g_new0(struct SoakItem, 1);

    item->value = g_strdup(value);
    item->revision = ++self->revision;
    g_hash_table_replace(self->items, g_strdup(key), item);
    SoakStore_Tick(self);
}

void
SoakStore_Compact(struct SoakStore *self)
{
    self->dropped_revision = ++self->revision;
    SoakStore_Tick(self);
}

void
SoakStore_Tick(struct SoakStore *self)
{
    for (guint i = self->watches->len; i > 0; i--) {
        if (serve_watch(self, g_ptr_array_index(self->watches, i - 1))) {
            g_ptr_array_remove_index_fast(self->watches, i - 1);
        }
    }
}
