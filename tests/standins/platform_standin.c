#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "protocol/digest_text.h"
#include "protocol/document_json.h"
#include "protocol/instances_json.h"
#include "protocol/status_json.h"
#include "support/standin_server.h"
#include "transport/platform_client.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "platform-standin"
#define WATCH_CHECK_MS 20
#define US_PER_MS 1000
#define WAIT_MS_MAX 60000
/* Larger than the largest body that a process accepts. */
#define OVERSIZE_BYTES (GB_PLATFORM_BODY_BYTES_MAX + 1)

/* Failure modes of the platform, set with GET /control?mode=NAME. */
enum Mode {
    MODE_NORMAL,
    /* Every call fails with status 503. */
    MODE_DOWN,
    /* Serves the document and the instance list as they were when the mode was
     * set. */
    MODE_STALE,
    /* Sends no response. Watch calls are answered once the mode changes. */
    MODE_UNRESPONSIVE,
    /* Serves the instance list as it was when the mode was set. */
    MODE_LAGGING,
    /* Serves the previous document. */
    MODE_OLDER,
    /* Bodies are not valid JSON. */
    MODE_INVALID_JSON,
    /* Bodies exceed the size that a process accepts. */
    MODE_OVERSIZE,
    MODE_END
};

static const char *const mode_names[MODE_END] = {
    [MODE_NORMAL] = "normal",        [MODE_DOWN] = "down",
    [MODE_STALE] = "stale",          [MODE_UNRESPONSIVE] = "slow",
    [MODE_LAGGING] = "lagging",      [MODE_OLDER] = "older",
    [MODE_INVALID_JSON] = "garbage", [MODE_OVERSIZE] = "oversize",
};

/* Contents of a file when it was last read. */
struct FileContents {
    char path[GB_SETTING_TEXT_BYTES];
    GStatBuf stat;
    gchar *data;
    gsize size_bytes;
    /* Head of the document; revision 0 if the document is invalid. */
    struct GbDocumentHead head;
    uint64_t version;
};

/* Call that is answered when the document or the instance list changes, or at
 * its deadline. */
struct Watch {
    struct Platform *platform;
    struct evhttp_request *request;
    bool is_instances;
    struct GbDocumentHead known;
    uint64_t known_version;
    gint64 deadline_us;
};

/* Stand-in for the platform's configuration service: serves a document and an
 * instance list from files. Replacing a file publishes its contents. */
struct Platform {
    char document_path[GB_SETTING_TEXT_BYTES];
    char instances_path[GB_SETTING_TEXT_BYTES];
    struct GbAddress listen;
    struct FileContents document;
    struct FileContents previous_document;
    struct FileContents instances;
    enum Mode mode;
    uint64_t calls;
    GQueue watches;
};

static const struct GbSetting settings_table[] = {
    {"document", GB_SETTING_TEXT, offsetof(struct Platform, document_path),
     NULL, 0, 0, "file", "Environment document."},
    {"instances", GB_SETTING_TEXT, offsetof(struct Platform, instances_path),
     NULL, 0, 0, "file", "Instance list."},
    {"listen", GB_SETTING_ADDRESS, offsetof(struct Platform, listen),
     "127.0.0.1:0", 0, 0, "ipv4:port", "HTTP address."},
};

static void
clear_contents(struct FileContents *contents)
{
    g_clear_pointer(&contents->data, g_free);
    memset(&contents->head, 0, sizeof(contents->head));
    contents->size_bytes = 0;
    contents->version = 0;
}

/* Reads the file again if it was replaced, and moves the old contents to
 * previous unless that is NULL. Returns true if the file was read. */
static bool
reload_file(struct FileContents *contents, const char *path,
            struct FileContents *previous)
{
    GStatBuf now;

    if (g_stat(path, &now) != 0 ||
        (contents->data != NULL && now.st_ino == contents->stat.st_ino &&
         now.st_size == contents->stat.st_size &&
         now.st_mtim.tv_sec == contents->stat.st_mtim.tv_sec &&
         now.st_mtim.tv_nsec == contents->stat.st_mtim.tv_nsec)) {
        return false;
    }
    if (previous != NULL) {
        clear_contents(previous);
        *previous = *contents;
        contents->data = NULL;
    }
    clear_contents(contents);
    contents->stat = now;
    return g_file_get_contents(path, &contents->data, &contents->size_bytes,
                               NULL);
}

static void
load_document(struct Platform *self)
{
    struct GbDocument *document;
    struct FileContents *contents = &self->document;

    if (reload_file(contents, self->document_path, &self->previous_document) &&
        GbDocumentJson_Parse(&document, (const uint8_t *)contents->data,
                             contents->size_bytes, NULL) == GB_PROTOCOL_OK) {
        contents->head = GbDocument_Head(document);
        GbDocument_Unref(document);
    }
}

static void
load_instances(struct Platform *self)
{
    struct GbInstanceList *list;
    struct FileContents *contents = &self->instances;

    if (reload_file(contents, self->instances_path, NULL) &&
        GbInstancesJson_Parse(&list, (const uint8_t *)contents->data,
                              contents->size_bytes, NULL) == GB_PROTOCOL_OK) {
        contents->version = list->version;
        GbInstanceList_Unref(list);
    }
}

static void
load_files(struct Platform *self)
{
    if (self->mode != MODE_STALE) {
        load_document(self);
    }
    if (self->mode != MODE_STALE && self->mode != MODE_LAGGING) {
        load_instances(self);
    }
}

static const struct FileContents *
served_document(const struct Platform *self)
{
    return self->mode == MODE_OLDER && self->previous_document.data != NULL
               ? &self->previous_document
               : &self->document;
}

static void
send_reply(struct evhttp_request *request, int status, const char *data,
           size_t size_bytes)
{
    struct evbuffer *buffer = evbuffer_new();

    evbuffer_add(buffer, data, size_bytes);
    evhttp_send_reply(request, status, NULL, buffer);
    evbuffer_free(buffer);
}

static void
reply_oversize(struct evhttp_request *request)
{
    char *data = g_malloc(OVERSIZE_BYTES);

    memset(data, 'x', OVERSIZE_BYTES);
    send_reply(request, HTTP_OK, data, OVERSIZE_BYTES);
    g_free(data);
}

/* Sends the response of a failure mode that is the same for all paths. Returns
 * false if the mode has none. */
static bool
reply_by_mode(struct Platform *self, struct evhttp_request *request)
{
    static const char invalid_json[] = "{\"revision\":[[[not json\n";

    switch (self->mode) {
    case MODE_DOWN:
        send_reply(request, HTTP_SERVUNAVAIL, "", 0);
        return true;
    case MODE_INVALID_JSON:
        send_reply(request, HTTP_OK, invalid_json, sizeof(invalid_json) - 1);
        return true;
    case MODE_OVERSIZE:
        reply_oversize(request);
        return true;
    default:
        return false;
    }
}

static void
reply_contents(struct evhttp_request *request,
               const struct FileContents *contents)
{
    if (contents->data == NULL) {
        send_reply(request, HTTP_NOTFOUND, "", 0);
        return;
    }
    send_reply(request, HTTP_OK, contents->data, contents->size_bytes);
}

static void
reply_head(struct Platform *self, struct evhttp_request *request)
{
    GString *body = g_string_new(NULL);

    GbStatusJson_WriteHead(body, &served_document(self)->head);
    send_reply(request, HTTP_OK, body->str, body->len);
    g_string_free(body, TRUE);
}

/* Answers a watch call if there is a change or its deadline has passed.
 * Returns true if it was answered. */
static bool
answer_watch(struct Platform *self, const struct Watch *watch)
{
    if (self->mode == MODE_UNRESPONSIVE) {
        return false;
    }
    if (reply_by_mode(self, watch->request)) {
        return true;
    }
    if (watch->is_instances) {
        if (watch->known_version == self->instances.version &&
            g_get_monotonic_time() < watch->deadline_us) {
            return false;
        }
        reply_contents(watch->request, &self->instances);
        return true;
    }
    if (GbDocumentHead_Compare(&watch->known, &served_document(self)->head) ==
            0 &&
        g_get_monotonic_time() < watch->deadline_us) {
        return false;
    }
    reply_head(self, watch->request);
    return true;
}

static void
remove_watch(struct evhttp_connection *connection, void *context)
{
    struct Watch *watch = context;

    (void)connection;
    g_queue_remove(&watch->platform->watches, watch);
    g_free(watch);
}

static void
answer_watches(evutil_socket_t fd, short events, void *context)
{
    struct Platform *self = context;

    (void)fd;
    (void)events;
    load_files(self);
    for (GList *link = self->watches.head; link != NULL;) {
        struct Watch *watch = link->data;
        struct evhttp_connection *connection =
            evhttp_request_get_connection(watch->request);
        GList *next = link->next;

        if (answer_watch(self, watch)) {
            evhttp_connection_set_closecb(connection, NULL, NULL);
            g_queue_delete_link(&self->watches, link);
            g_free(watch);
        }
        link = next;
    }
}

static uint64_t
query_number(const struct evkeyvalq *query, const char *key)
{
    const char *text = evhttp_find_header(query, key);

    return text != NULL ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static void
start_watch(struct Platform *self, struct evhttp_request *request,
            const struct evkeyvalq *query, bool is_instances)
{
    struct Watch *watch = g_new0(struct Watch, 1);
    uint64_t wait_ms = query_number(query, "wait_ms");

    watch->platform = self;
    watch->request = request;
    watch->is_instances = is_instances;
    watch->known.revision = query_number(query, "revision");
    GbDigestText_Parse(watch->known.digest,
                       evhttp_find_header(query, "digest"));
    watch->known_version = query_number(query, "version");
    watch->deadline_us =
        g_get_monotonic_time() + (gint64)MIN(wait_ms, WAIT_MS_MAX) * US_PER_MS;
    if (answer_watch(self, watch)) {
        g_free(watch);
        return;
    }
    g_queue_push_tail(&self->watches, watch);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  remove_watch, watch);
}

static void
reply_document(struct Platform *self, struct evhttp_request *request,
               const struct evkeyvalq *query)
{
    const struct FileContents *contents = served_document(self);
    const char *digest = evhttp_find_header(query, "digest");
    char text[GB_DIGEST_TEXT_BYTES];

    if (digest != NULL &&
        strcmp(GbDigestText_Format(contents->head.digest, text), digest) !=
            0) {
        send_reply(request, HTTP_NOTFOUND, "", 0);
        return;
    }
    reply_contents(request, contents);
}

static void
change_mode(struct Platform *self, struct evhttp_request *request,
            const struct evkeyvalq *query)
{
    const char *name = evhttp_find_header(query, "mode");

    for (int i = 0; name != NULL && i < MODE_END; i++) {
        if (strcmp(name, mode_names[i]) == 0) {
            /* Modes in which files are not read serve the contents read
             * here. */
            load_files(self);
            self->mode = (enum Mode)i;
            send_reply(request, HTTP_OK, "ok\n", 3);
            return;
        }
    }
    send_reply(request, HTTP_BADREQUEST, "", 0);
}

static void
handle_call(struct Platform *self, struct evhttp_request *request,
            const char *path, const struct evkeyvalq *query)
{
    bool is_unanswered = self->mode == MODE_UNRESPONSIVE;

    self->calls++;
    load_files(self);
    if (strcmp(path, "/v1/watch") == 0) {
        start_watch(self, request, query, false);
    }
    else if (strcmp(path, "/v1/instances") == 0) {
        start_watch(self, request, query, true);
    }
    else if (is_unanswered || reply_by_mode(self, request)) {
        /* Without a response, the client closes the connection when its
         * timeout expires. */
        return;
    }
    else if (strcmp(path, "/v1/head") == 0) {
        reply_head(self, request);
    }
    else if (strcmp(path, "/v1/document") == 0) {
        reply_document(self, request, query);
    }
    else {
        send_reply(request, HTTP_NOTFOUND, "", 0);
    }
}

static void
handle_request(struct evhttp_request *request, void *context)
{
    struct Platform *self = context;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = evhttp_uri_get_path(uri);
    const char *query_text = evhttp_uri_get_query(uri);
    struct evkeyvalq query;

    evhttp_parse_query_str(query_text != NULL ? query_text : "", &query);
    if (path == NULL) {
        send_reply(request, HTTP_NOTFOUND, "", 0);
    }
    else if (strcmp(path, "/calls") == 0) {
        char text[GB_DIGEST_TEXT_BYTES];

        g_snprintf(text, sizeof(text), "%" PRIu64 "\n", self->calls);
        send_reply(request, HTTP_OK, text, strlen(text));
    }
    else if (strcmp(path, "/control") == 0) {
        change_mode(self, request, &query);
    }
    else {
        handle_call(self, request, path, &query);
    }
    evhttp_clear_headers(&query);
}

int
main(int argc, char **argv)
{
    static struct Platform platform;
    static const struct timeval period = {0, WATCH_CHECK_MS * US_PER_MS};
    struct event_base *base = event_base_new();
    struct event *term;
    struct event *check_timer =
        event_new(base, -1, EV_PERSIST, answer_watches, &platform);
    struct evhttp *http = evhttp_new(base);

    if (sodium_init() < 0 ||
        GbSettings_Load(settings_table, G_N_ELEMENTS(settings_table), PROGRAM,
                        argc, argv, &platform, stderr) != GB_TRANSPORT_OK) {
        return GB_EXIT_USAGE;
    }
    g_queue_init(&platform.watches);
    signal(SIGPIPE, SIG_IGN);
    evhttp_set_allowed_methods(http, EVHTTP_REQ_GET);
    evhttp_set_gencb(http, handle_request, &platform);
    if (!standin_server_listen(http, base, &platform.listen, PROGRAM)) {
        return GB_EXIT_FAILURE;
    }
    term = standin_server_stop_on_term(base);
    event_add(check_timer, &period);
    event_base_dispatch(base);
    evhttp_free(http);
    event_free(check_timer);
    event_free(term);
    event_base_free(base);
    clear_contents(&platform.document);
    clear_contents(&platform.previous_document);
    clear_contents(&platform.instances);
    return GB_EXIT_SUCCESS;
}
