#include "support/run_log.h"

#include <string.h>

static const char run_prefix[] = "ran ";
static const char body_key[] = " body=";

void
GbRunLog_Init(struct GbRunLog *self)
{
    self->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
GbRunLog_Finish(struct GbRunLog *self)
{
    g_hash_table_destroy(self->runs);
}

void
GbRunLog_AddOutput(struct GbRunLog *self, const struct GbChildProcess *target)
{
    char *output = GbChildProcess_ReadOutput(target);
    gchar **lines = g_strsplit(output, "\n", -1);

    for (gchar **line = lines; *line != NULL; line++) {
        const char *body = strstr(*line, body_key);
        gpointer count;

        if (body == NULL || !g_str_has_prefix(*line, run_prefix)) {
            continue;
        }
        body += strlen(body_key);
        count = g_hash_table_lookup(self->runs, body);
        g_hash_table_insert(self->runs, g_strdup(body),
                            GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
    }
    g_strfreev(lines);
    g_free(output);
}

uint32_t
GbRunLog_CountRuns(const struct GbRunLog *self, const char *body)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(self->runs, body));
}
