#include <glib.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "programs/command_query.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "guavabend audit"
#define HTTP_OK 200

struct AuditSettings {
    char processes[GB_SETTING_TEXT_BYTES];
    char processes_file[GB_SETTING_TEXT_BYTES];
    int64_t timeout_ms;
};

static const struct GbSetting audit_table[] = {
    {"processes", GB_SETTING_TEXT, offsetof(struct AuditSettings, processes),
     "", 0, 0, "ipv4:port,...", "HTTP addresses of balancers and agents."},
    {"processes-file", GB_SETTING_TEXT,
     offsetof(struct AuditSettings, processes_file), "", 0, 0, "file",
     "File with one such address a line."},
    {"timeout-ms", GB_SETTING_NUMBER,
     offsetof(struct AuditSettings, timeout_ms), "2000", 1, 60000, "ms",
     "Time to wait for answers."},
};

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
    struct AuditSettings settings = {0};
    GArray *answers;
    int code = GbCommand_LoadSettings(audit_table, G_N_ELEMENTS(audit_table),
                                      NULL, 0, PROGRAM, argc, argv, &settings);

    if (code != GB_COMMAND_GO_ON) {
        return code;
    }
    answers =
        GbQuery_New(PROGRAM, settings.processes, settings.processes_file);
    if (answers == NULL) {
        return GB_EXIT_USAGE;
    }
    GbQuery_Get(answers, "/audit", settings.timeout_ms);
    code = GB_EXIT_DONE;
    for (guint i = 0; i < answers->len; i++) {
        if (!print_records(&g_array_index(answers, struct GbQueryAnswer, i))) {
            code = GB_EXIT_FAILED;
        }
    }
    GbQuery_Free(answers);
    return code;
}
