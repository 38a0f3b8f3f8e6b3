#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "programs/command_query.h"
#include "transport/process.h"

#define PROGRAM "guavabend audit"
#define HTTP_OK 200

/* Prints each record after the address of its process. Returns whether the
 * process has answered. */
static bool
print_records(const struct GbQueryAnswer *answer)
{
    char address[GB_ADDRESS_TEXT_BYTES];
    gchar **lines;

    GbAddress_Format(&answer->address, address);
    if (answer->status != HTTP_OK) {
        printf("%-21s unreachable\n", address);
        return false;
    }
    lines = g_strsplit(answer->body->str, "\n", -1);
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
    GArray *answers = GbQuery_Load(PROGRAM, argc, argv, &timeout_ms, &code);

    if (answers == NULL) {
        return code;
    }
    GbQuery_Get(answers, "/audit", timeout_ms);
    code = GB_EXIT_SUCCESS;
    for (guint i = 0; i < answers->len; i++) {
        if (!print_records(&g_array_index(answers, struct GbQueryAnswer, i))) {
            code = GB_EXIT_FAILURE;
        }
    }
    GbQuery_Free(answers);
    return code;
}
