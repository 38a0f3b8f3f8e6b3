#ifndef GB_PROGRAMS_FLOW_HISTORY_H
#define GB_PROGRAMS_FLOW_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Log line about one flow. */
struct GbFlowHistoryLine {
    /* Time as logged. Its text order is the order of time. */
    gchar *time;
    gchar *instance;
    gchar *event;
    /* Line from its "time" key to its end. */
    gchar *text;
};

/* History of one flow: the lines about it in the logs of many processes. */
struct GbFlowHistory {
    /* Text that the flow of a line must contain, such as the client's address
     * and port. */
    const char *flow;
    /* Elements are struct GbFlowHistoryLine. */
    GPtrArray *lines;
    uint64_t lines_read;
    uint64_t lines_malformed;
    /* Lines that the processes omitted from their logs or lost, by their own
     * count. */
    uint64_t lines_omitted;
};

/* flow must outlive self. */
void GbFlowHistory_Init(struct GbFlowHistory *self, const char *flow);

void GbFlowHistory_Finish(struct GbFlowHistory *self);

/* Adds a log line if it is about the flow. Skips anything before "time=", so
 * that log collectors may put a prefix there. */
void GbFlowHistory_AddLine(struct GbFlowHistory *self, const char *line);

/* Prints the lines about the flow in order of time, then the number of omitted
 * lines. Returns false if there is no line about the flow. */
bool GbFlowHistory_Print(struct GbFlowHistory *self, FILE *out);

#endif
