#ifndef GB_PROGRAMS_LOG_STORY_H
#define GB_PROGRAMS_LOG_STORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Log line that belongs to the story of one flow. */
struct GbStoryLine {
    /* Time as logged, which sorts as text. */
    gchar *time;
    gchar *instance;
    gchar *event;
    /* Whole line from its first key on. */
    gchar *text;
};

/* Lines of the logs of many processes that name one flow, in time order. */
struct GbLogStory {
    /* Part of the flow that lines have to name, such as the client's address
     * and port. */
    const char *flow;
    /* Struct GbStoryLine. */
    GPtrArray *lines;
    uint64_t lines_read;
    uint64_t lines_malformed;
    /* Lines that logs say they left out. */
    uint64_t lines_left_out;
};

/* flow must outlive self. */
void GbLogStory_Init(struct GbLogStory *self, const char *flow);

void GbLogStory_Finish(struct GbLogStory *self);

/* Reads one line. Anything before "time=" is skipped, so that collectors may
 * put a prefix there. */
void GbLogStory_Read(struct GbLogStory *self, const char *line);

/* Prints the story, and what is known to be missing from it. Returns false if
 * no line names the flow. */
bool GbLogStory_Print(struct GbLogStory *self, FILE *out);

#endif
