#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "transport/caller_task.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "guavabend call"
#define OUTCOME_TIMEOUT_MS 600000
#define ADDRESS_SEPARATOR ","

struct CallSettings {
    char document[GB_SETTING_TEXT_BYTES];
    char balancers[GB_SETTING_TEXT_BYTES];
    char service[GB_SETTING_TEXT_BYTES];
    char operation[GB_SETTING_TEXT_BYTES];
    char body[GB_SETTING_TEXT_BYTES];
};

static const struct GbSetting call_table[] = {
    {"document", GB_SETTING_TEXT, offsetof(struct CallSettings, document),
     NULL, 0, 0, "file", "Environment document."},
    {"balancers", GB_SETTING_TEXT, offsetof(struct CallSettings, balancers),
     NULL, 0, 0, "ipv4:port,...", "Balancers to send through."},
    {"service", GB_SETTING_TEXT, offsetof(struct CallSettings, service), NULL,
     0, 0, "name", "Service to call."},
    {"operation", GB_SETTING_TEXT, offsetof(struct CallSettings, operation),
     NULL, 0, 0, "name", "Operation to call."},
    {"body", GB_SETTING_TEXT, offsetof(struct CallSettings, body), "", 0, 0,
     "text", "Body of the request."},
};

static bool
add_balancers(struct GbCallerTask *task, const char *text)
{
    gchar **parts = g_strsplit(text, ADDRESS_SEPARATOR, -1);
    bool is_valid = parts[0] != NULL;

    for (gchar **part = parts; is_valid && *part != NULL; part++) {
        struct GbAddress address;

        is_valid = GbAddress_Parse(&address, *part) &&
                   GbCallerTask_AddBalancer(task, &address);
    }
    g_strfreev(parts);
    return is_valid;
}

static int
print_outcome(const struct GbCallOutcome *outcome)
{
    const struct GbResult *result = &outcome->result;

    switch (result->outcome) {
    case GB_OUTCOME_ANSWERED:
        fprintf(stderr, "answered status=%u bytes=%u elapsed_us=%" PRIi64 "\n",
                result->target_status, result->answer.size_bytes,
                result->elapsed_us);
        fwrite(result->answer.data, 1, result->answer.size_bytes, stdout);
        return GB_EXIT_DONE;
    case GB_OUTCOME_NOT_RUN:
        fprintf(stderr, "not run reason=%s\n",
                GbMessage_NotRunName(result->not_run));
        return GB_EXIT_FAILED;
    default:
        fprintf(stderr, "unknown reason=%s\n",
                GbMessage_UnknownName(result->unknown));
        return GB_EXIT_FAILED;
    }
}

static int
call(const struct CallSettings *settings, struct GbDocument *document)
{
    static struct GbCallerTask task;
    struct GbSystemClock clock;
    struct GbLastMessage last;
    const struct GbService *service =
        GbDocument_ServiceByName(document, settings->service);
    const struct GbOperation *operation =
        service != NULL
            ? GbService_OperationByName(service, settings->operation)
            : NULL;
    struct GbBytes body = {(const uint8_t *)settings->body,
                           (uint32_t)strlen(settings->body)};
    struct GbCallOutcome *outcome;
    int code;

    if (operation == NULL) {
        fprintf(stderr, "%s: the document has no operation %s of service %s\n",
                PROGRAM, settings->operation, settings->service);
        return GB_EXIT_USAGE;
    }
    GbSystemClock_Init(&clock);
    GbCallerTask_Init(&task, document, service, &clock.super);
    if (!add_balancers(&task, settings->balancers)) {
        fprintf(stderr, "%s: setting balancers must be ipv4:port,...\n",
                PROGRAM);
        return GB_EXIT_USAGE;
    }
    if (GbTask_Open(&task.super, &last) != GB_TRANSPORT_OK ||
        GbTask_Start(&task.super, &last) != GB_TRANSPORT_OK) {
        fprintf(stderr, "%s: %s\n", PROGRAM, last.text);
        return GB_EXIT_FAILED;
    }
    GbCallerTask_Call(&task, 0, operation, body);
    outcome = GbCallerTask_WaitOutcome(&task, OUTCOME_TIMEOUT_MS);
    if (outcome == NULL) {
        fprintf(stderr, "%s: no outcome\n", PROGRAM);
        return GB_EXIT_FAILED;
    }
    code = print_outcome(outcome);
    GbCallOutcome_Free(outcome);
    GbTask_Stop(&task.super);
    return code;
}

int
GbCommand_Call(int argc, char **argv)
{
    struct CallSettings settings = {0};
    struct GbDocument *document;
    enum GbTransportStatus status =
        GbSettings_Load(call_table, G_N_ELEMENTS(call_table), PROGRAM, argc,
                        argv, &settings, stderr);
    int code;

    if (status != GB_TRANSPORT_OK) {
        return status == GB_TRANSPORT_INFORMATION ? GB_EXIT_DONE
                                                  : GB_EXIT_USAGE;
    }
    document = GbCommand_ReadDocument(PROGRAM, settings.document);
    if (document == NULL) {
        return GB_EXIT_FAILED;
    }
    code = call(&settings, document);
    GbDocument_Unref(document);
    return code;
}
