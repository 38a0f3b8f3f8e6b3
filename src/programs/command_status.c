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
    int64_t timeout_ms;
    int code;
    GArray *answers = GbQuery_Load(PROGRAM, argc, argv, &timeout_ms, &code);

    if (answers == NULL) {
        return code;
    }
    GbQuery_Status(answers, timeout_ms);
    code = print_rows(answers) ? GB_EXIT_SUCCESS : GB_EXIT_FAILURE;
    GbQuery_Free(answers);
    return code;
}
