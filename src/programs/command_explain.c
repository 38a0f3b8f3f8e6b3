#include <glib.h>
#include <stddef.h>
#include <stdio.h>

#include "programs/command.h"
#include "programs/flow_history.h"
#include "transport/process.h"

#define PROGRAM "guavabend explain"
#define LINE_BYTES 4096

struct ExplainSettings {
    char flow[GB_SETTING_TEXT_BYTES];
};

static const struct GbSetting explain_table[] = {
    {"flow", GB_SETTING_TEXT, offsetof(struct ExplainSettings, flow), NULL, 0,
     0, "ipv4:port",
     "Client's address and port, or the whole flow as logged; may also be "
     "the first argument."},
};

static const char *const explain_positionals[] = {"flow"};

int
GbCommand_Explain(int argc, char **argv)
{
    struct ExplainSettings settings = {{0}};
    struct GbFlowHistory history;
    char line[LINE_BYTES];
    bool is_found;
    int code = GbCommand_LoadSettings(
        explain_table, G_N_ELEMENTS(explain_table), explain_positionals,
        G_N_ELEMENTS(explain_positionals), PROGRAM, argc, argv, &settings);

    if (code != GB_COMMAND_CONTINUE) {
        return code;
    }
    GbFlowHistory_Init(&history, settings.flow);
    while (fgets(line, sizeof(line), stdin) != NULL) {
        GbFlowHistory_AddLine(&history, line);
    }
    is_found = GbFlowHistory_Print(&history, stdout);
    GbFlowHistory_Finish(&history);
    return is_found ? GB_EXIT_SUCCESS : GB_EXIT_FAILURE;
}
