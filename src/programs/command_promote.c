#include <glib.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "programs/command_query.h"
#include "protocol/digest_text.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "guavabend promote"

struct PromoteSettings {
    char document[GB_SETTING_TEXT_BYTES];
    char trial[GB_SETTING_TEXT_BYTES];
    char trial_file[GB_SETTING_TEXT_BYTES];
    char production[GB_SETTING_TEXT_BYTES];
    char production_file[GB_SETTING_TEXT_BYTES];
    int64_t timeout_ms;
};

static const struct GbSetting promote_table[] = {
    {"document", GB_SETTING_TEXT, offsetof(struct PromoteSettings, document),
     NULL, 0, 0, "file", "Document to publish; may be given without --."},
    {"trial", GB_SETTING_TEXT, offsetof(struct PromoteSettings, trial), "", 0,
     0, "ipv4:port,...", "HTTP addresses of all processes in trial."},
    {"trial-file", GB_SETTING_TEXT,
     offsetof(struct PromoteSettings, trial_file), "", 0, 0, "file",
     "File with one such address a line."},
    {"production", GB_SETTING_TEXT,
     offsetof(struct PromoteSettings, production), "", 0, 0, "ipv4:port,...",
     "HTTP addresses of processes in production."},
    {"production-file", GB_SETTING_TEXT,
     offsetof(struct PromoteSettings, production_file), "", 0, 0, "file",
     "File with one such address a line."},
    {"timeout-ms", GB_SETTING_NUMBER,
     offsetof(struct PromoteSettings, timeout_ms), "2000", 1, 60000, "ms",
     "Time to wait for answers."},
};

static const char *const promote_positionals[] = {"document"};

/* Reports each process on which another digest than the expected one is in
 * force. Returns their number. */
static uint32_t
count_others(const GArray *answers, const char *environment,
             const uint8_t expected[GB_DIGEST_BYTES])
{
    uint32_t others = 0;

    for (guint i = 0; i < answers->len; i++) {
        const struct GbQueryAnswer *answer =
            &g_array_index(answers, struct GbQueryAnswer, i);
        char address[GB_ADDRESS_TEXT_BYTES];
        char digest[GB_DIGEST_TEXT_BYTES];

        GbAddress_Format(&answer->address, address);
        if (!answer->is_valid) {
            fprintf(stderr, "%s: %s %s: no status\n", PROGRAM, environment,
                    address);
            others++;
        }
        else if (memcmp(answer->process.head.digest, expected,
                        GB_DIGEST_BYTES) != 0) {
            fprintf(stderr,
                    "%s: %s %s: revision %" PRIu64 " digest %s is in force\n",
                    PROGRAM, environment, address,
                    answer->process.head.revision,
                    GbDigestText_Format(answer->process.head.digest, digest));
            others++;
        }
    }
    return others;
}

/* Returns whether the processes of an environment all have the expected
 * document in force. */
static bool
check_environment(const char *environment, const char *list, const char *file,
                  int64_t timeout_ms, const uint8_t expected[GB_DIGEST_BYTES],
                  const char *meaning)
{
    GArray *answers = GbQuery_New(PROGRAM, list, file);
    char digest[GB_DIGEST_TEXT_BYTES];
    uint32_t others;

    if (answers == NULL) {
        return false;
    }
    GbQuery_Status(answers, timeout_ms);
    others = count_others(answers, environment, expected);
    if (others > 0) {
        fprintf(stderr,
                "%s: refused: %" PRIu32 " of %u processes in %s do not have "
                "%s (digest %s) in force\n",
                PROGRAM, others, answers->len, environment, meaning,
                GbDigestText_Format(expected, digest));
    }
    GbQuery_Free(answers);
    return others == 0;
}

static int
promote(const struct PromoteSettings *settings,
        const struct GbDocument *document)
{
    bool is_proven = check_environment(
        "trial", settings->trial, settings->trial_file, settings->timeout_ms,
        document->digest, "this document");
    bool is_next = check_environment(
        "production", settings->production, settings->production_file,
        settings->timeout_ms, document->parent, "the parent");
    char digest[GB_DIGEST_TEXT_BYTES];

    if (!is_proven || !is_next) {
        return GB_EXIT_FAILURE;
    }
    printf("publish file=%s bytes=%" PRIu32 " revision=%" PRIu64
           " digest=%s\n",
           settings->document, document->size_bytes, document->revision,
           GbDigestText_Format(document->digest, digest));
    return GB_EXIT_SUCCESS;
}

int
GbCommand_Promote(int argc, char **argv)
{
    struct PromoteSettings settings = {0};
    struct GbDocument *document;
    int code = GbCommand_LoadSettings(
        promote_table, G_N_ELEMENTS(promote_table), promote_positionals,
        G_N_ELEMENTS(promote_positionals), PROGRAM, argc, argv, &settings);

    if (code != GB_COMMAND_GO_ON) {
        return code;
    }
    document = GbCommand_ReadDocument(PROGRAM, settings.document);
    if (document == NULL) {
        return GB_EXIT_FAILURE;
    }
    code = promote(&settings, document);
    GbDocument_Unref(document);
    return code;
}
