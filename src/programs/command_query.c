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
/* Calls in progress at once. */
#define CALLS_MAX 64

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
     "File with one such address a line."},
    {"timeout-ms", GB_SETTING_NUMBER,
     offsetof(struct QuerySettings, timeout_ms), "2000", 1, 60000, "ms",
     "Time to wait for answers."},
};

/* One call in progress. */
struct Query {
    struct GbPlatformReplyHandler super;
    struct GbPlatformClient client;
    struct GbQueryAnswer *answer;
    uint32_t *active_count;
};

static void
done(struct GbPlatformReplyHandler *reply, int status, const uint8_t *data,
     size_t size_bytes)
{
    struct Query *query = (struct Query *)reply;

    query->answer->status = status;
    g_string_truncate(query->answer->body, 0);
    g_string_append_len(query->answer->body, (const char *)data,
                        (gssize)size_bytes);
    (*query->active_count)--;
}

/* Asks the addresses from first on, up to CALLS_MAX of them. */
static void
ask_batch(struct event_base *base, GArray *answers, guint first, guint count,
          const char *path, int64_t timeout_ms)
{
    struct Query queries[CALLS_MAX];
    uint32_t active_count = count;
    struct timeval limit = {timeout_ms / 1000, timeout_ms % 1000 * 1000};

    for (guint i = 0; i < count; i++) {
        struct Query *query = &queries[i];

        query->super.done = done;
        query->answer =
            &g_array_index(answers, struct GbQueryAnswer, first + i);
        query->active_count = &active_count;
        GbPlatformClient_Init(&query->client, base, &query->answer->address);
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
add_address(const char *program, GArray *answers, const char *text)
{
    struct GbQueryAnswer answer = {0};

    if (text[0] == '\0') {
        return true;
    }
    if (!GbAddress_Parse(&answer.address, text)) {
        fprintf(stderr, "%s: \"%s\" must be ipv4:port\n", program, text);
        return false;
    }
    answer.body = g_string_new(NULL);
    g_array_append_val(answers, answer);
    return true;
}

static bool
add_addresses(const char *program, GArray *answers, const char *text,
              const char *separators)
{
    gchar **parts = g_strsplit_set(text, separators, -1);
    bool is_valid = true;

    for (gchar **part = parts; is_valid && *part != NULL; part++) {
        is_valid = add_address(program, answers, g_strstrip(*part));
    }
    g_strfreev(parts);
    return is_valid;
}

static bool
add_file(const char *program, GArray *answers, const char *path)
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
    is_valid = add_addresses(program, answers, text, "\n");
    g_free(text);
    return is_valid;
}

GArray *
GbQuery_Load(const char *program, int argc, char **argv, int64_t *timeout_ms,
             int *code)
{
    struct QuerySettings settings = {0};
    GArray *answers;

    *code = GbCommand_LoadSettings(query_table, G_N_ELEMENTS(query_table),
                                   NULL, 0, program, argc, argv, &settings);
    if (*code != GB_COMMAND_GO_ON) {
        return NULL;
    }
    answers =
        GbQuery_New(program, settings.processes, settings.processes_file);
    if (answers == NULL) {
        *code = GB_EXIT_USAGE;
    }
    *timeout_ms = settings.timeout_ms;
    return answers;
}

GArray *
GbQuery_New(const char *program, const char *list, const char *file)
{
    GArray *answers = g_array_new(FALSE, TRUE, sizeof(struct GbQueryAnswer));
    bool is_valid = add_addresses(program, answers, list, ",") &&
                    add_file(program, answers, file);

    if (is_valid && answers->len == 0) {
        fprintf(stderr, "%s: no address to ask\n", program);
        is_valid = false;
    }
    if (!is_valid) {
        GbQuery_Free(answers);
        return NULL;
    }
    return answers;
}

void
GbQuery_Free(GArray *answers)
{
    for (guint i = 0; i < answers->len; i++) {
        g_string_free(g_array_index(answers, struct GbQueryAnswer, i).body,
                      TRUE);
    }
    g_array_free(answers, TRUE);
}

void
GbQuery_Get(GArray *answers, const char *path, int64_t timeout_ms)
{
    struct event_base *base = event_base_new();

    for (guint first = 0; first < answers->len; first += CALLS_MAX) {
        ask_batch(base, answers, first, MIN(answers->len - first, CALLS_MAX),
                  path, timeout_ms);
    }
    event_base_free(base);
}

void
GbQuery_Status(GArray *answers, int64_t timeout_ms)
{
    GbQuery_Get(answers, "/status", timeout_ms);
    for (guint i = 0; i < answers->len; i++) {
        struct GbQueryAnswer *answer =
            &g_array_index(answers, struct GbQueryAnswer, i);

        answer->is_valid =
            answer->status == HTTP_OK &&
            GbStatusJson_Parse(&answer->process,
                               (const uint8_t *)answer->body->str,
                               answer->body->len) == GB_PROTOCOL_OK;
    }
}
