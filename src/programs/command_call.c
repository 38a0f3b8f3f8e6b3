#include <errno.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "programs/command_caller.h"
#include "transport/process.h"

#define PROGRAM "guavabend call"
/* Upper bound for the wait in case a fault prevents the outcome. Without a
 * fault, every call has its outcome by its deadline plus the transfer time of
 * its answer. */
#define OUTCOME_TIMEOUT_MS 90000000

struct Settings {
    struct GbCommandCallerSettings super;
    char operation[GB_SETTING_TEXT_BYTES];
    char body[GB_SETTING_TEXT_BYTES];
    char output[GB_SETTING_TEXT_BYTES];
    int64_t repeat;
};

static const struct GbSetting settings_table[] = {
    GB_COMMAND_CALLER_SETTINGS,
    {"operation", GB_SETTING_TEXT, offsetof(struct Settings, operation), NULL,
     0, 0, "name", "Operation to call."},
    {"body", GB_SETTING_TEXT, offsetof(struct Settings, body), "", 0, 0,
     "text", "Body of the request."},
    {"output", GB_SETTING_TEXT, offsetof(struct Settings, output), "", 0, 0,
     "file", "File that answers are written to; default: standard output."},
    {"repeat", GB_SETTING_NUMBER, offsetof(struct Settings, repeat), "1", 1,
     1000000, "calls",
     "Number of calls, made one after another in one session."},
};

/* Prints the outcome to standard error and writes the answer to output.
 * Returns an exit code. */
static int
report_outcome(const struct GbCallerResult *result, FILE *output)
{
    switch (result->outcome) {
    case GB_OUTCOME_ANSWERED:
        fprintf(stderr,
                "outcome=answered status=%u bytes=%u elapsed_us=%" PRIi64
                " submissions=%u\n",
                result->target_status, result->response.size_bytes,
                result->elapsed_us, result->submissions);
        if (fwrite(result->response.data, 1, result->response.size_bytes,
                   output) != result->response.size_bytes) {
            fprintf(stderr, "%s: cannot write the answer: %s\n", PROGRAM,
                    strerror(errno));
            return GB_EXIT_FAILURE;
        }
        return GB_EXIT_SUCCESS;
    case GB_OUTCOME_NOT_RUN:
    default:
        fprintf(stderr,
                "outcome=%s reason=%s elapsed_us=%" PRIi64 " submissions=%u\n",
                result->outcome == GB_OUTCOME_NOT_RUN ? "not_run" : "unknown",
                GbCommandCaller_ReasonName(result), result->elapsed_us,
                result->submissions);
        return GB_EXIT_FAILURE;
    }
}

static int
call_repeatedly(struct GbCommandCaller *caller,
                const struct Settings *settings, FILE *output)
{
    const struct GbOperation *operation =
        GbCommandCaller_FindOperation(caller, settings->operation);
    struct GbBytes body = {(const uint8_t *)settings->body,
                           (uint32_t)strlen(settings->body)};
    uint64_t session;
    bool is_stopped = false;
    int code = GB_EXIT_SUCCESS;

    if (operation == NULL) {
        return GB_EXIT_USAGE;
    }
    if (GbCallerTask_OpenSession(&caller->task, &session) != GB_TRANSPORT_OK) {
        return GB_EXIT_FAILURE;
    }
    for (int64_t i = 0; i < settings->repeat; i++) {
        struct GbCallOutcome *outcome;

        GbCallerTask_CallInSession(&caller->task, session, 0, operation, body);
        outcome = GbCommandCaller_WaitForOutcome(caller, OUTCOME_TIMEOUT_MS,
                                                 &is_stopped);
        if (outcome == NULL) {
            fprintf(stderr, "%s: %s\n", PROGRAM,
                    is_stopped ? "stopped by a signal"
                               : "timed out waiting for the outcome");
            return GB_EXIT_FAILURE;
        }
        if (report_outcome(&outcome->result, output) != GB_EXIT_SUCCESS) {
            code = GB_EXIT_FAILURE;
        }
        GbCallOutcome_Free(outcome);
    }
    GbCallerTask_CloseSession(&caller->task, session);
    return code;
}

static int
call(const struct Settings *settings, FILE *output)
{
    static struct GbCommandCaller caller;
    int code = GbCommandCaller_Open(&caller, PROGRAM, &settings->super);

    if (code == GB_EXIT_SUCCESS) {
        code = call_repeatedly(&caller, settings, output);
        GbCommandCaller_Close(&caller);
    }
    return code;
}

int
GbCommand_Call(int argc, char **argv)
{
    struct Settings settings = {0};
    enum GbTransportStatus status =
        GbSettings_Load(settings_table, G_N_ELEMENTS(settings_table), PROGRAM,
                        argc, argv, &settings, stderr);
    FILE *output = stdout;
    int code;

    if (status != GB_TRANSPORT_OK) {
        return status == GB_TRANSPORT_HELP_SHOWN ? GB_EXIT_SUCCESS
                                                 : GB_EXIT_USAGE;
    }
    if (settings.output[0] != '\0') {
        output = fopen(settings.output, "wb");
        if (output == NULL) {
            fprintf(stderr, "%s: setting output is \"%s\": %s\n", PROGRAM,
                    settings.output, strerror(errno));
            return GB_EXIT_FAILURE;
        }
    }
    code = call(&settings, output);
    if (fflush(output) != 0 || (output != stdout && fclose(output) != 0)) {
        fprintf(stderr, "%s: cannot write the answer: %s\n", PROGRAM,
                strerror(errno));
        code = GB_EXIT_FAILURE;
    }
    return code;
}
