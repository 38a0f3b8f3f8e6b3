#ifndef GB_PROGRAMS_COMMAND_QUERY_H
#define GB_PROGRAMS_COMMAND_QUERY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/status_json.h"
#include "state/address.h"

/* Response of one balancer or agent to an HTTP request. */
struct GbQueryResponse {
    struct GbAddress address;
    /* HTTP status; 0 if there was no response. */
    int status;
    GString *body;
    /* Set by GbQuery_GetStatus: true if the response was a valid status, which
     * is then in process. */
    bool is_valid;
    struct GbProcessStatus process;
};

/* Loads the settings of a command that has no others than the list of
 * processes and a timeout. Returns an array of struct GbQueryResponse with one
 * empty element per process and sets *timeout_ms. Returns NULL if the command
 * ends with exit code *code: after printing its help, or after writing an
 * error to standard error. */
GArray *GbQuery_LoadSettings(const char *program, int argc, char **argv,
                             int64_t *timeout_ms, int *code);

/* Returns an array with one empty struct GbQueryResponse for each address in
 * list, such as "127.0.0.1:80,127.0.0.1:81", and in the file, which has one
 * address per line. Either may be an empty string. Returns NULL after writing
 * an error to standard error if an address is invalid or there is none. */
GArray *GbQuery_New(const char *program, const char *list, const char *file);

void GbQuery_Free(GArray *responses);

/* Gets path from all addresses over HTTP, with several concurrent requests,
 * and stores the responses. */
void GbQuery_Get(GArray *responses, const char *path, int64_t timeout_ms);

/* Gets and decodes /status from all addresses. */
void GbQuery_GetStatus(GArray *responses, int64_t timeout_ms);

#endif
