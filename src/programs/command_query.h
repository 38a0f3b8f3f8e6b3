#ifndef GB_PROGRAMS_COMMAND_QUERY_H
#define GB_PROGRAMS_COMMAND_QUERY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/status_json.h"
#include "state/address.h"

/* What one balancer or agent answered. */
struct GbQueryAnswer {
    struct GbAddress address;
    /* HTTP status; 0 if it did not answer. */
    int status;
    GString *body;
    /* Set by GbQuery_Status. */
    bool is_valid;
    struct GbProcessStatus process;
};

/* Loads the settings that name processes, for a command that has no others,
 * and prepares their answers. NULL if the command is to end with *code: after
 * help, or after a line on standard error. *timeout_ms becomes the time to
 * wait for answers. */
GArray *GbQuery_Load(const char *program, int argc, char **argv,
                     int64_t *timeout_ms, int *code);

/* Answers for a list of addresses such as "127.0.0.1:80,127.0.0.1:81" and for
 * a file with one address a line; either may be empty. NULL, after a line on
 * standard error, if an address is wrong or there is none. */
GArray *GbQuery_New(const char *program, const char *list, const char *file);

void GbQuery_Free(GArray *answers);

/* Reads a path from all addresses, several at once. */
void GbQuery_Get(GArray *answers, const char *path, int64_t timeout_ms);

/* Reads and decodes /status from all addresses. */
void GbQuery_Status(GArray *answers, int64_t timeout_ms);

#endif
