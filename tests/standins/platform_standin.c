#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "protocol/document_json.h"
#include "transport/http_server.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "platform-standin"
#define HEX_BYTES (2 * GB_DIGEST_BYTES + 1)

/* Stand-in for the platform's configuration service: serves a document and
 * an instance list from files. To publish, replace a file. */
struct Platform {
    char document[GB_SETTING_TEXT_BYTES];
    char instances[GB_SETTING_TEXT_BYTES];
    struct GbAddress listen;
    uint64_t calls;
    struct GbHttpHandler handler;
};

static const struct GbSetting settings_table[] = {
    {"document", GB_SETTING_TEXT, offsetof(struct Platform, document), NULL, 0,
     0, "file", "Environment document."},
    {"instances", GB_SETTING_TEXT, offsetof(struct Platform, instances), NULL,
     0, 0, "file", "Instance list."},
    {"listen", GB_SETTING_ADDRESS, offsetof(struct Platform, listen),
     "127.0.0.1:0", 0, 0, "ipv4:port", "HTTP address."},
};

static int
serve_file(const char *path, GString *body)
{
    gchar *data;
    gsize size_bytes;

    if (!g_file_get_contents(path, &data, &size_bytes, NULL)) {
        return HTTP_NOTFOUND;
    }
    g_string_append_len(body, data, (gssize)size_bytes);
    g_free(data);
    return HTTP_OK;
}

static int
serve_head(const char *path, GString *body)
{
    GString *document = g_string_new(NULL);
    struct GbDocument *parsed;
    char hex[HEX_BYTES];
    int status = serve_file(path, document);

    if (status == HTTP_OK &&
        GbDocumentJson_Parse(&parsed, (const uint8_t *)document->str,
                             document->len, NULL) == GB_PROTOCOL_OK) {
        sodium_bin2hex(hex, sizeof(hex), parsed->digest, GB_DIGEST_BYTES);
        g_string_append_printf(body,
                               "{\"revision\":%" PRIu64 ",\"digest\":\"%s\"}",
                               parsed->revision, hex);
        GbDocument_Unref(parsed);
    }
    else {
        status = HTTP_INTERNAL;
    }
    g_string_free(document, TRUE);
    return status;
}

static int
handle(struct GbHttpHandler *handler, const char *path, GString *body)
{
    struct Platform *self =
        (struct Platform *)((char *)handler -
                            offsetof(struct Platform, handler));

    if (strcmp(path, "/calls") == 0) {
        g_string_append_printf(body, "%" PRIu64 "\n", self->calls);
        return HTTP_OK;
    }
    self->calls++;
    if (strcmp(path, "/v1/head") == 0) {
        return serve_head(self->document, body);
    }
    if (strcmp(path, "/v1/document") == 0) {
        return serve_file(self->document, body);
    }
    if (strcmp(path, "/v1/instances") == 0) {
        return serve_file(self->instances, body);
    }
    return HTTP_NOTFOUND;
}

static void
stop(evutil_socket_t number, short events, void *context)
{
    (void)number;
    (void)events;
    event_base_loopbreak(context);
}

int
main(int argc, char **argv)
{
    static struct Platform platform;
    struct event_base *base = event_base_new();
    struct event *term = evsignal_new(base, SIGTERM, stop, base);
    struct GbHttpServer server;
    struct GbLastMessage last;

    if (sodium_init() < 0 ||
        GbSettings_Load(settings_table, G_N_ELEMENTS(settings_table), PROGRAM,
                        argc, argv, &platform, stderr) != GB_TRANSPORT_OK) {
        return GB_EXIT_USAGE;
    }
    platform.handler.handle = handle;
    if (GbHttpServer_Open(&server, &platform.listen, base, &platform.handler,
                          &last) != GB_TRANSPORT_OK) {
        fprintf(stderr, "%s: %s\n", PROGRAM, last.text);
        return GB_EXIT_FAILED;
    }
    printf("port=%u\n", (unsigned)GbHttpServer_Port(&server));
    fflush(stdout);
    event_add(term, NULL);
    event_base_dispatch(base);
    GbHttpServer_Close(&server);
    event_free(term);
    event_base_free(base);
    return GB_EXIT_DONE;
}
