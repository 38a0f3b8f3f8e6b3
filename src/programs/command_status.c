#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

#include "programs/command.h"
#include "programs/command_query.h"
#include "protocol/digest_text.h"
#include "protocol/time_text.h"
#include "transport/process.h"

#define PROGRAM "guavabend status"

static const char *
state_name(const struct GbQueryResponse *response,
           const struct GbDocumentHead *newest)
{
    if (!response->is_valid) {
        return "unreachable";
    }
    if (GbDocumentHead_Compare(&response->process.head, newest) < 0) {
        return "behind";
    }
    return response->process.is_ready ? "current" : "not_ready";
}

static void
print_row(const struct GbQueryResponse *response,
          const struct GbDocumentHead *newest)
{
    const struct GbProcessStatus *process = &response->process;
    char address[GB_ADDRESS_TEXT_BYTES];
    char digest[GB_DIGEST_TEXT_BYTES];
    char in_force_at[GB_TIME_TEXT_BYTES];

    GbAddress_Format(&response->address, address);
    if (!response->is_valid) {
        printf("%-21s %-11s\n", address, state_name(response, newest));
        return;
    }
    printf("%-21s %-11s %-24s %-8s revision=%" PRIu64
           " digest=%s in_force_at=%s pending=%" PRIu32 "\n",
           address, state_name(response, newest), process->instance,
           process->role == GB_ROLE_AGENT ? "agent" : "balancer",
           process->head.revision,
           GbDigestText_Format(process->head.digest, digest),
           GbTimeText_Format(process->in_force_at_us, in_force_at),
           process->pending_count);
}

/* Prints a row for each process. Returns true if the newest document is in
 * force on all of them. */
static bool
print_rows(const GArray *responses)
{
    struct GbDocumentHead newest = {0};
    uint32_t current_count = 0;

    for (guint i = 0; i < responses->len; i++) {
        const struct GbQueryResponse *response =
            &g_array_index(responses, struct GbQueryResponse, i);

        if (response->is_valid &&
            GbDocumentHead_Compare(&response->process.head, &newest) > 0) {
            newest = response->process.head;
        }
    }
    for (guint i = 0; i < responses->len; i++) {
        const struct GbQueryResponse *response =
            &g_array_index(responses, struct GbQueryResponse, i);

        print_row(response, &newest);
        current_count +=
            response->is_valid &&
            GbDocumentHead_Compare(&response->process.head, &newest) == 0;
    }
    printf("processes=%u current=%" PRIu32 " newest_revision=%" PRIu64 "\n",
           responses->len, current_count, newest.revision);
    return current_count == responses->len;
}

int
GbCommand_Status(int argc, char **argv)
{
    int64_t timeout_ms;
    int code;
    GArray *responses =
        GbQuery_LoadSettings(PROGRAM, argc, argv, &timeout_ms, &code);

    if (responses == NULL) {
        return code;
    }
    GbQuery_GetStatus(responses, timeout_ms);
    code = print_rows(responses) ? GB_EXIT_SUCCESS : GB_EXIT_FAILURE;
    GbQuery_Free(responses);
    return code;
}
