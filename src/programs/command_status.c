#include <glib.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>

#include "programs/command.h"
#include "programs/command_query.h"
#include "protocol/digest_text.h"
#include "protocol/time_text.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "guavabend status"

struct StatusSettings {
    char processes[GB_SETTING_TEXT_BYTES];
    char processes_file[GB_SETTING_TEXT_BYTES];
    int64_t timeout_ms;
};

static const struct GbSetting status_table[] = {
    {"processes", GB_SETTING_TEXT, offsetof(struct StatusSettings, processes),
     "", 0, 0, "ipv4:port,...", "HTTP addresses of balancers and agents."},
    {"processes-file", GB_SETTING_TEXT,
     offsetof(struct StatusSettings, processes_file), "", 0, 0, "file",
     "File with one such address a line."},
    {"timeout-ms", GB_SETTING_NUMBER,
     offsetof(struct StatusSettings, timeout_ms), "2000", 1, 60000, "ms",
     "Time to wait for answers."},
};

static const char *
state_of(const struct GbQueryAnswer *answer,
         const struct GbDocumentHead *newest)
{
    if (!answer->is_valid) {
        return "unreachable";
    }
    if (GbDocumentHead_Compare(&answer->process.head, newest) < 0) {
        return "behind";
    }
    return answer->process.is_ready ? "current" : "not_ready";
}

static void
print_row(const struct GbQueryAnswer *answer,
          const struct GbDocumentHead *newest)
{
    const struct GbProcessStatus *process = &answer->process;
    char address[GB_ADDRESS_TEXT_BYTES];
    char digest[GB_DIGEST_TEXT_BYTES];
    char in_force_at[GB_TIME_TEXT_BYTES];

    GbAddress_Format(&answer->address, address);
    if (!answer->is_valid) {
        printf("%-21s %-11s\n", address, state_of(answer, newest));
        return;
    }
    printf("%-21s %-11s %-24s %-8s revision=%" PRIu64
           " digest=%s in_force_at=%s pending=%" PRIu32 "\n",
           address, state_of(answer, newest), process->instance,
           process->role == GB_ROLE_AGENT ? "agent" : "balancer",
           process->head.revision,
           GbDigestText_Format(process->head.digest, digest),
           GbTimeText_Format(process->in_force_at_us, in_force_at),
           process->pending_count);
}

/* Prints a row for each process. Returns whether all act on the newest
 * document. */
static bool
print_rows(const GArray *answers)
{
    struct GbDocumentHead newest = {0};
    uint32_t current_count = 0;

    for (guint i = 0; i < answers->len; i++) {
        const struct GbQueryAnswer *answer =
            &g_array_index(answers, struct GbQueryAnswer, i);

        if (answer->is_valid &&
            GbDocumentHead_Compare(&answer->process.head, &newest) > 0) {
            newest = answer->process.head;
        }
    }
    for (guint i = 0; i < answers->len; i++) {
        const struct GbQueryAnswer *answer =
            &g_array_index(answers, struct GbQueryAnswer, i);

        print_row(answer, &newest);
        current_count +=
            answer->is_valid &&
            GbDocumentHead_Compare(&answer->process.head, &newest) == 0;
    }
    printf("processes=%u current=%" PRIu32 " newest_revision=%" PRIu64 "\n",
           answers->len, current_count, newest.revision);
    return current_count == answers->len;
}

int
GbCommand_Status(int argc, char **argv)
{
    struct StatusSettings settings = {0};
    GArray *answers;
    int code = GbCommand_LoadSettings(status_table, G_N_ELEMENTS(status_table),
                                      NULL, 0, PROGRAM, argc, argv, &settings);

    if (code != GB_COMMAND_GO_ON) {
        return code;
    }
    answers =
        GbQuery_New(PROGRAM, settings.processes, settings.processes_file);
    if (answers == NULL) {
        return GB_EXIT_USAGE;
    }
    GbQuery_Status(answers, settings.timeout_ms);
    code = print_rows(answers) ? GB_EXIT_DONE : GB_EXIT_FAILED;
    GbQuery_Free(answers);
    return code;
}
