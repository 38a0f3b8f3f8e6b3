#include "programs/flow_history.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Returns the value that follows key, which includes the "=", in a line of
 * key=value pairs, or NULL if the line has no such key. The caller frees it
 * with g_free. */
static gchar *
find_value(const char *line, const char *key)
{
    const char *value = strstr(line, key);

    while (value != NULL && value != line && value[-1] != ' ') {
        value = strstr(value + 1, key);
    }
    if (value == NULL) {
        return NULL;
    }
    value += strlen(key);
    return g_strndup(value, strcspn(value, " \n"));
}

static void
free_line(gpointer data)
{
    struct GbFlowHistoryLine *line = data;

    g_free(line->time);
    g_free(line->instance);
    g_free(line->event);
    g_free(line->text);
    g_free(line);
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
    const struct GbFlowHistoryLine *x =
        *(const struct GbFlowHistoryLine *const *)a;
    const struct GbFlowHistoryLine *y =
        *(const struct GbFlowHistoryLine *const *)b;

    return strcmp(x->time, y->time);
}

static void
count_omitted(struct GbFlowHistory *self, const char *event, const char *text)
{
    gchar *count;

    if (strcmp(event, "decisions_left_out") != 0 &&
        strcmp(event, "lines_lost") != 0) {
        return;
    }
    count = find_value(text, "count=");
    if (count != NULL) {
        self->lines_omitted += strtoull(count, NULL, 10);
    }
    g_free(count);
}

void
GbFlowHistory_Init(struct GbFlowHistory *self, const char *flow)
{
    memset(self, 0, sizeof(*self));
    self->flow = flow;
    self->lines = g_ptr_array_new_with_free_func(free_line);
}

void
GbFlowHistory_Finish(struct GbFlowHistory *self)
{
    g_ptr_array_free(self->lines, TRUE);
}

void
GbFlowHistory_AddLine(struct GbFlowHistory *self, const char *line)
{
    const char *text = strstr(line, "time=");
    gchar *event = text != NULL ? find_value(text, "event=") : NULL;
    gchar *flow;

    self->lines_read++;
    if (event == NULL) {
        self->lines_malformed++;
        return;
    }
    count_omitted(self, event, text);
    flow = find_value(text, "flow=");
    if (flow != NULL && strstr(flow, self->flow) != NULL) {
        struct GbFlowHistoryLine *item = g_new0(struct GbFlowHistoryLine, 1);

        item->time = find_value(text, "time=");
        item->instance = find_value(text, "instance=");
        item->event = g_strdup(event);
        item->text = g_strchomp(g_strdup(text));
        g_ptr_array_add(self->lines, item);
    }
    g_free(flow);
    g_free(event);
}

bool
GbFlowHistory_Print(struct GbFlowHistory *self, FILE *out)
{
    g_ptr_array_sort(self->lines, compare_time);
    for (guint i = 0; i < self->lines->len; i++) {
        const struct GbFlowHistoryLine *line = self->lines->pdata[i];
        const char *rest = strstr(line->text, " flow=");

        fprintf(out, "%s %-20s %-12s%s\n", line->time,
                line->instance != NULL ? line->instance : "-", line->event,
                rest != NULL ? rest : "");
    }
    fprintf(out,
            "lines=%u read=%" PRIu64 " malformed=%" PRIu64
            " left_out_by_processes=%" PRIu64 "\n",
            self->lines->len, self->lines_read, self->lines_malformed,
            self->lines_omitted);
    return self->lines->len > 0;
}
