#include "soak_store.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "soak_invariants.h"
#include "transport/http_server.h"

#define HTTP_GONE 410

struct SoakItem {
    /* NULL if the item was deleted. */
    gchar *value;
    uint64_t revision;
    uint64_t created;
};

struct SoakWatch {
    struct evhttp_request *request;
    uint64_t after_revision;
    int64_t deadline_ms;
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
                           "%" PRIu64 ",\"created\":%" PRIu64 ",\"lease\":0}",
                           key, encoded, item->revision, item->created);
    g_free(encoded);
}

/* Appends the items under a prefix that changed after a revision, deleted ones
 * only if includes_deleted. Returns their number. */
static uint32_t
append_items(struct SoakStore *self, GString *body, const char *prefix,
             uint64_t after_revision, bool includes_deleted)
{
    GHashTableIter items;
    gpointer key;
    gpointer value;
    uint32_t count = 0;

    g_hash_table_iter_init(&items, self->items);
    while (g_hash_table_iter_next(&items, &key, &value)) {
        const struct SoakItem *item = value;

        if (item->revision <= after_revision ||
            !g_str_has_prefix(key, prefix) ||
            (item->value == NULL && !includes_deleted)) {
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
send_reply(struct evhttp_request *request, int status, const char *body)
{
    struct evbuffer *buffer = evbuffer_new();

    evbuffer_add(buffer, body, strlen(body));
    evhttp_send_reply(request, status, NULL, buffer);
    evbuffer_free(buffer);
}

static void
reply_with_items(struct SoakStore *self, struct evhttp_request *request,
                 const char *prefix)
{
    GString *body = g_string_new("{\"items\":[");

    append_items(self, body, prefix, 0, false);
    g_string_append_printf(
        body, "],\"hasMore\":false,\"storeRevision\":%" PRIu64 "}",
        self->revision);
    send_reply(request, HTTP_OK, body->str);
    g_string_free(body, TRUE);
}

static void
reply_with_item(struct SoakStore *self, struct evhttp_request *request,
                const char *key)
{
    const struct SoakItem *item = g_hash_table_lookup(self->items, key);
    GString *body = g_string_new(NULL);

    if (item == NULL || item->value == NULL) {
        g_string_printf(body, "{\"storeRevision\":%" PRIu64 "}",
                        self->revision);
        send_reply(request, HTTP_NOTFOUND, body->str);
    }
    else {
        append_item(body, key, item);
        g_string_truncate(body, body->len - 1);
        g_string_append_printf(body, ",\"storeRevision\":%" PRIu64 "}",
                               self->revision);
        send_reply(request, HTTP_OK, body->str);
    }
    g_string_free(body, TRUE);
}

static void
reply_with_events(struct SoakStore *self, const struct SoakWatch *watch)
{
    GString *body = g_string_new("{\"events\":[");

    append_items(self, body, "", watch->after_revision, true);
    g_string_append_printf(body, "],\"storeRevision\":%" PRIu64 "}",
                           self->revision);
    send_reply(watch->request, HTTP_OK, body->str);
    g_string_free(body, TRUE);
}

/* Answers a watch if the history that it needs was discarded, an item changed
 * or its wait time has passed. Returns true if it was answered. */
static bool
answer_watch_if_due(struct SoakStore *self, const struct SoakWatch *watch)
{
    if (watch->after_revision < self->compacted_revision) {
        send_reply(watch->request, HTTP_GONE, "{}");
        return true;
    }
    if (watch->after_revision < self->revision ||
        Soak_NowMs() >= watch->deadline_ms) {
        reply_with_events(self, watch);
        return true;
    }
    return false;
}

static void
remove_watch(struct evhttp_connection *connection, void *context)
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
          uint64_t after_revision, int64_t wait_ms)
{
    struct SoakWatch *watch = g_new0(struct SoakWatch, 1);

    watch->request = request;
    watch->after_revision = after_revision;
    watch->deadline_ms = Soak_NowMs() + wait_ms;
    if (answer_watch_if_due(self, watch)) {
        g_free(watch);
        return;
    }
    g_ptr_array_add(self->watches, watch);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  remove_watch, self);
}

static const char *
query_value(const struct evkeyvalq *values, const char *name)
{
    const char *text = evhttp_find_header(values, name);

    return text != NULL ? text : "";
}

static void
handle_request(struct evhttp_request *request, void *context)
{
    struct SoakStore *self = context;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = evhttp_uri_get_path(uri);
    struct evkeyvalq values;

    if (self->error_status != 0) {
        send_reply(request, self->error_status, "{}");
        return;
    }
    evhttp_parse_query_str(evhttp_uri_get_query(uri), &values);
    if (strcmp(path, "/-/kv-range") == 0) {
        reply_with_items(self, request, query_value(&values, "prefix"));
    }
    else if (strcmp(path, "/-/kv-key") == 0) {
        reply_with_item(self, request, query_value(&values, "key"));
    }
    else {
        add_watch(self, request,
                  strtoull(query_value(&values, "after"), NULL, 10),
                  strtoll(query_value(&values, "waitMs"), NULL, 10));
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
    evhttp_set_gencb(self->http, handle_request, self);
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
    const struct SoakItem *before = g_hash_table_lookup(self->items, key);
    struct SoakItem *item = g_new0(struct SoakItem, 1);

    item->value = g_strdup(value);
    item->revision = ++self->revision;
    item->created = before != NULL && before->value != NULL ? before->created
                                                            : item->revision;
    g_hash_table_replace(self->items, g_strdup(key), item);
    SoakStore_Tick(self);
}

void
SoakStore_Compact(struct SoakStore *self)
{
    self->compacted_revision = ++self->revision;
    SoakStore_Tick(self);
}

void
SoakStore_Tick(struct SoakStore *self)
{
    for (guint i = self->watches->len; i > 0; i--) {
        if (answer_watch_if_due(self,
                                g_ptr_array_index(self->watches, i - 1))) {
            g_ptr_array_remove_index_fast(self->watches, i - 1);
        }
    }
}
