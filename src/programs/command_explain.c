#include <glib.h>
#include <stddef.h>
#include <stdio.h>

#include "programs/command.h"
#include "programs/log_story.h"
#include "transport/process.h"

#define PROGRAM "guavabend explain"
#define LINE_BYTES 4096

struct ExplainSettings {
    char flow[GB_SETTING_TEXT_BYTES];
};

static const struct GbSetting explain_table[] = {
    {"flow", GB_SETTING_TEXT, offsetof(struct ExplainSettings, flow), NULL, 0,
     0, "ipv4:port",
     "Client's address and port, or the whole flow as logged; may be given "
     "without --."},
};

static const char *const explain_positionals[] = {"flow"};

int
GbCommand_Explain(int argc, char **argv)
{
    struct ExplainSettings settings = {{0}};
    struct GbLogStory story;
    char line[LINE_BYTES];
    bool is_found;
    int code = GbCommand_LoadSettings(
        explain_table, G_N_ELEMENTS(explain_table), explain_positionals,
        G_N_ELEMENTS(explain_positionals), PROGRAM, argc, argv, &settings);

    if (code != GB_COMMAND_GO_ON) {
        return code;
    }
    GbLogStory_Init(&story, settings.flow);
    while (fgets(line, sizeof(line), stdin) != NULL) {
        GbLogStory_Read(&story, line);
    }
    is_found = GbLogStory_Print(&story, stdout);
    GbLogStory_Finish(&story);
    return is_found ? GB_EXIT_SUCCESS : GB_EXIT_FAILURE;
}
