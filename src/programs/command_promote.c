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
     NULL, 0, 0, "file",
     "Document to publish; may also be the first argument."},
    {"trial", GB_SETTING_TEXT, offsetof(struct PromoteSettings, trial), "", 0,
     0, "ipv4:port,...",
     "HTTP addresses of all processes in the trial environment."},
    {"trial-file", GB_SETTING_TEXT,
     offsetof(struct PromoteSettings, trial_file), "", 0, 0, "file",
     "File with one HTTP address per line."},
    {"production", GB_SETTING_TEXT,
     offsetof(struct PromoteSettings, production), "", 0, 0, "ipv4:port,...",
     "HTTP addresses of processes in the production environment."},
    {"production-file", GB_SETTING_TEXT,
     offsetof(struct PromoteSettings, production_file), "", 0, 0, "file",
     "File with one HTTP address per line."},
    {"timeout-ms", GB_SETTING_NUMBER,
     offsetof(struct PromoteSettings, timeout_ms), "2000", 1, 60000, "ms",
     "Time to wait for responses."},
};

static const char *const promote_positionals[] = {"document"};

/* Reports each process that does not have the document with the expected
 * digest in force. Returns their number. */
static uint32_t
count_mismatches(const GArray *responses, const char *environment,
                 const uint8_t expected[GB_DIGEST_BYTES])
{
    uint32_t mismatches = 0;

    for (guint i = 0; i < responses->len; i++) {
        const struct GbQueryResponse *response =
            &g_array_index(responses, struct GbQueryResponse, i);
        char address[GB_ADDRESS_TEXT_BYTES];
        char digest[GB_DIGEST_TEXT_BYTES];

        GbAddress_Format(&response->address, address);
        if (!response->is_valid) {
            fprintf(stderr, "%s: %s %s: no status\n", PROGRAM, environment,
                    address);
            mismatches++;
        }
        else if (memcmp(response->process.head.digest, expected,
                        GB_DIGEST_BYTES) != 0) {
            fprintf(
                stderr,
                "%s: %s %s: revision %" PRIu64 " digest %s is in force\n",
                PROGRAM, environment, address, response->process.head.revision,
                GbDigestText_Format(response->process.head.digest, digest));
            mismatches++;
        }
    }
    return mismatches;
}

/* Returns true if all processes of an environment have the document with the
 * expected digest in force. */
static bool
check_environment(const char *environment, const char *list, const char *file,
                  int64_t timeout_ms, const uint8_t expected[GB_DIGEST_BYTES],
                  const char *description)
{
    GArray *responses = GbQuery_New(PROGRAM, list, file);
    char digest[GB_DIGEST_TEXT_BYTES];
    uint32_t mismatches;

    if (responses == NULL) {
        return false;
    }
    GbQuery_GetStatus(responses, timeout_ms);
    mismatches = count_mismatches(responses, environment, expected);
    if (mismatches > 0) {
        fprintf(stderr,
                "%s: refused: %" PRIu32 " of %u processes in %s do not have "
                "%s (digest %s) in force\n",
                PROGRAM, mismatches, responses->len, environment, description,
                GbDigestText_Format(expected, digest));
    }
    GbQuery_Free(responses);
    return mismatches == 0;
}

static int
promote(const struct PromoteSettings *settings,
        const struct GbDocument *document)
{
    bool is_trial_current = check_environment(
        "trial", settings->trial, settings->trial_file, settings->timeout_ms,
        document->digest, "this document");
    bool is_parent_in_force = check_environment(
        "production", settings->production, settings->production_file,
        settings->timeout_ms, document->parent, "the parent");
    char digest[GB_DIGEST_TEXT_BYTES];

    if (!is_trial_current || !is_parent_in_force) {
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

    if (code != GB_COMMAND_CONTINUE) {
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
