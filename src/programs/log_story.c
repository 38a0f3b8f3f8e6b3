#include "programs/log_story.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Value of a key in a line of key=value pairs; NULL if it is not there. */
static gchar *
value_of(const char *line, const char *key)
{
    const char *found = strstr(line, key);

    while (found != NULL && found != line && found[-1] != ' ') {
        found = strstr(found + 1, key);
    }
    if (found == NULL) {
        return NULL;
    }
    found += strlen(key);
    return g_strndup(found, strcspn(found, " \n"));
}

static void
free_line(gpointer data)
{
    struct GbStoryLine *line = data;

    g_free(line->time);
    g_free(line->instance);
    g_free(line->event);
    g_free(line->text);
    g_free(line);
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
    const struct GbStoryLine *x = *(const struct GbStoryLine *const *)a;
    const struct GbStoryLine *y = *(const struct GbStoryLine *const *)b;

    return strcmp(x->time, y->time);
}

static void
count_left_out(struct GbLogStory *self, const char *event, const char *text)
{
    gchar *count;

    if (strcmp(event, "decisions_left_out") != 0 &&
        strcmp(event, "lines_lost") != 0) {
        return;
    }
    count = value_of(text, "count=");
    if (count != NULL) {
        self->lines_left_out += strtoull(count, NULL, 10);
    }
    g_free(count);
}

void
GbLogStory_Init(struct GbLogStory *self, const char *flow)
{
    memset(self, 0, sizeof(*self));
    self->flow = flow;
    self->lines = g_ptr_array_new_with_free_func(free_line);
}

void
GbLogStory_Finish(struct GbLogStory *self)
{
    g_ptr_array_free(self->lines, TRUE);
}

void
GbLogStory_Read(struct GbLogStory *self, const char *line)
{
    const char *text = strstr(line, "time=");
    gchar *event = text != NULL ? value_of(text, "event=") : NULL;
    gchar *flow;

    self->lines_read++;
    if (event == NULL) {
        self->lines_malformed++;
        return;
    }
    count_left_out(self, event, text);
    flow = value_of(text, "flow=");
    if (flow != NULL && strstr(flow, self->flow) != NULL) {
        struct GbStoryLine *item = g_new0(struct GbStoryLine, 1);

        item->time = value_of(text, "time=");
        item->instance = value_of(text, "instance=");
        item->event = g_strdup(event);
        item->text = g_strchomp(g_strdup(text));
        g_ptr_array_add(self->lines, item);
    }
    g_free(flow);
    g_free(event);
}

bool
GbLogStory_Print(struct GbLogStory *self, FILE *out)
{
    g_ptr_array_sort(self->lines, compare_time);
    for (guint i = 0; i < self->lines->len; i++) {
        const struct GbStoryLine *line = self->lines->pdata[i];
        const char *rest = strstr(line->text, " flow=");

        fprintf(out, "%s %-20s %-12s%s\n", line->time,
                line->instance != NULL ? line->instance : "-", line->event,
                rest != NULL ? rest : "");
    }
    fprintf(out,
            "lines=%u read=%" PRIu64 " malformed=%" PRIu64
            " left_out_by_processes=%" PRIu64 "\n",
            self->lines->len, self->lines_read, self->lines_malformed,
            self->lines_left_out);
    return self->lines->len > 0;
}
