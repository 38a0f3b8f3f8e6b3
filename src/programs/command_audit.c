#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "programs/command_query.h"
#include "transport/process.h"

#define PROGRAM "guavabend audit"
#define HTTP_OK 200

/* Prints the audit records of one process, each with its address in front.
 * Returns false if the process did not respond. */
static bool
print_records(const struct GbQueryResponse *response)
{
    char address[GB_ADDRESS_TEXT_BYTES];
    gchar **lines;

    GbAddress_Format(&response->address, address);
    if (response->status != HTTP_OK) {
        printf("%-21s unreachable\n", address);
        return false;
    }
    lines = g_strsplit(response->body->str, "\n", -1);
    for (gchar **line = lines; *line != NULL; line++) {
        if ((*line)[0] != '\0') {
            printf("%-21s %s\n", address, *line);
        }
    }
    g_strfreev(lines);
    return true;
}

int
GbCommand_Audit(int argc, char **argv)
{
    int64_t timeout_ms;
    int code;
    GArray *responses =
        GbQuery_LoadSettings(PROGRAM, argc, argv, &timeout_ms, &code);

    if (responses == NULL) {
        return code;
    }
    GbQuery_Get(responses, "/audit", timeout_ms);
    code = GB_EXIT_SUCCESS;
    for (guint i = 0; i < responses->len; i++) {
        if (!print_records(
                &g_array_index(responses, struct GbQueryResponse, i))) {
            code = GB_EXIT_FAILURE;
        }
    }
    GbQuery_Free(responses);
    return code;
}
