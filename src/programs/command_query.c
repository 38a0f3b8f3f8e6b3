#include "programs/command_query.h"

#include <event2/event.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "transport/platform_client.h"
#include "transport/process.h"
#include "transport/settings.h"

#define HTTP_OK 200
#define BODY_BYTES_MAX (1024 * 1024)
/* Maximum number of concurrent requests. */
#define REQUESTS_MAX 64

struct QuerySettings {
    char processes[GB_SETTING_TEXT_BYTES];
    char processes_file[GB_SETTING_TEXT_BYTES];
    int64_t timeout_ms;
};

static const struct GbSetting query_table[] = {
    {"processes", GB_SETTING_TEXT, offsetof(struct QuerySettings, processes),
     "", 0, 0, "ipv4:port,...", "HTTP addresses of balancers and agents."},
    {"processes-file", GB_SETTING_TEXT,
     offsetof(struct QuerySettings, processes_file), "", 0, 0, "file",
     "File with one HTTP address per line."},
    {"timeout-ms", GB_SETTING_NUMBER,
     offsetof(struct QuerySettings, timeout_ms), "2000", 1, 60000, "ms",
     "Time to wait for responses."},
};

/* HTTP request to one process. */
struct Query {
    struct GbPlatformReplyHandler super;
    struct GbPlatformClient client;
    struct GbQueryResponse *response;
    uint32_t *active_count;
};

static void
complete_request(struct GbPlatformReplyHandler *handler, int status,
                 const uint8_t *data, size_t size_bytes)
{
    struct Query *query = (struct Query *)handler;

    query->response->status = status;
    g_string_truncate(query->response->body, 0);
    g_string_append_len(query->response->body, (const char *)data,
                        (gssize)size_bytes);
    (*query->active_count)--;
}

/* Sends requests to count addresses from first on, at most REQUESTS_MAX, and
 * waits for the responses until timeout_ms has passed. */
static void
query_batch(struct event_base *base, GArray *responses, guint first,
            guint count, const char *path, int64_t timeout_ms)
{
    struct Query queries[REQUESTS_MAX];
    uint32_t active_count = count;
    struct timeval limit = {timeout_ms / 1000, timeout_ms % 1000 * 1000};

    for (guint i = 0; i < count; i++) {
        struct Query *query = &queries[i];

        query->super.completed = complete_request;
        query->super.header_name = NULL;
        query->response =
            &g_array_index(responses, struct GbQueryResponse, first + i);
        query->active_count = &active_count;
        GbPlatformClient_Init(&query->client, base, &query->response->address);
        GbPlatformClient_Get(&query->client, path, (uint32_t)timeout_ms,
                             BODY_BYTES_MAX, &query->super);
    }
    event_base_loopexit(base, &limit);
    while (active_count > 0 && !event_base_got_exit(base)) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    for (guint i = 0; i < count; i++) {
        GbPlatformClient_Finish(&queries[i].client);
    }
}

static bool
add_address(const char *program, GArray *responses, const char *text)
{
    struct GbQueryResponse response = {0};

    if (text[0] == '\0') {
        return true;
    }
    if (!GbAddress_Parse(&response.address, text)) {
        fprintf(stderr, "%s: \"%s\" must be ipv4:port\n", program, text);
        return false;
    }
    response.body = g_string_new(NULL);
    g_array_append_val(responses, response);
    return true;
}

static bool
add_addresses(const char *program, GArray *responses, const char *text,
              const char *separators)
{
    gchar **parts = g_strsplit_set(text, separators, -1);
    bool is_valid = true;

    for (gchar **part = parts; is_valid && *part != NULL; part++) {
        is_valid = add_address(program, responses, g_strstrip(*part));
    }
    g_strfreev(parts);
    return is_valid;
}

static bool
add_file(const char *program, GArray *responses, const char *path)
{
    gchar *text;
    bool is_valid;

    if (path[0] == '\0') {
        return true;
    }
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        fprintf(stderr, "%s: cannot read %s\n", program, path);
        return false;
    }
    is_valid = add_addresses(program, responses, text, "\n");
    g_free(text);
    return is_valid;
}

GArray *
GbQuery_LoadSettings(const char *program, int argc, char **argv,
                     int64_t *timeout_ms, int *code)
{
    struct QuerySettings settings = {0};
    GArray *responses;

    *code = GbCommand_LoadSettings(query_table, G_N_ELEMENTS(query_table),
                                   NULL, 0, program, argc, argv, &settings);
    if (*code != GB_COMMAND_CONTINUE) {
        return NULL;
    }
    responses =
        GbQuery_New(program, settings.processes, settings.processes_file);
    if (responses == NULL) {
        *code = GB_EXIT_USAGE;
    }
    *timeout_ms = settings.timeout_ms;
    return responses;
}

GArray *
GbQuery_New(const char *program, const char *list, const char *file)
{
    GArray *responses =
        g_array_new(FALSE, TRUE, sizeof(struct GbQueryResponse));
    bool is_valid = add_addresses(program, responses, list, ",") &&
                    add_file(program, responses, file);

    if (is_valid && responses->len == 0) {
        fprintf(stderr, "%s: no process addresses given\n", program);
        is_valid = false;
    }
    if (!is_valid) {
        GbQuery_Free(responses);
        return NULL;
    }
    return responses;
}

void
GbQuery_Free(GArray *responses)
{
    for (guint i = 0; i < responses->len; i++) {
        g_string_free(g_array_index(responses, struct GbQueryResponse, i).body,
                      TRUE);
    }
    g_array_free(responses, TRUE);
}

void
GbQuery_Get(GArray *responses, const char *path, int64_t timeout_ms)
{
    struct event_base *base = event_base_new();

    for (guint first = 0; first < responses->len; first += REQUESTS_MAX) {
        query_batch(base, responses, first,
                    MIN(responses->len - first, REQUESTS_MAX), path,
                    timeout_ms);
    }
    event_base_free(base);
}

void
GbQuery_GetStatus(GArray *responses, int64_t timeout_ms)
{
    GbQuery_Get(responses, "/status", timeout_ms);
    for (guint i = 0; i < responses->len; i++) {
        struct GbQueryResponse *response =
            &g_array_index(responses, struct GbQueryResponse, i);

        response->is_valid =
            response->status == HTTP_OK &&
            GbStatusJson_Parse(&response->process,
                               (const uint8_t *)response->body->str,
                               response->body->len) == GB_PROTOCOL_OK;
    }
}
