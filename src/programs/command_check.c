#include <glib.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "protocol/digest_text.h"
#include "protocol/document_json.h"
#include "protocol/time_text.h"
#include "state/clock.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "guavabend check"

struct CheckSettings {
    char document[GB_SETTING_TEXT_BYTES];
};

static const struct GbSetting check_table[] = {
    {"document", GB_SETTING_TEXT, offsetof(struct CheckSettings, document),
     NULL, 0, 0, "file", "Environment document; may be given without --."},
};

static const char *const check_positionals[] = {"document"};

static void
print_document(const struct GbDocument *document)
{
    GString *warnings = g_string_new(NULL);
    struct GbSystemClock clock;
    char digest[GB_DIGEST_TEXT_BYTES];
    char in_force_from[GB_TIME_TEXT_BYTES];

    GbSystemClock_Init(&clock);
    GbDocumentJson_Warn(document, GbClock_WallUs(&clock.super), warnings);
    for (char *line = warnings->str, *end; *line != '\0'; line = end + 1) {
        end = strchr(line, '\n');
        fprintf(stderr, "warning: %.*s\n", (int)(end - line), line);
    }
    printf("valid revision=%" PRIu64 " digest=%s services=%" PRIu32
           " bytes=%" PRIu32 " in_force_from=%s\n",
           document->revision, GbDigestText_Format(document->digest, digest),
           document->service_count, document->size_bytes,
           GbTimeText_Format(document->in_force_from_us, in_force_from));
    g_string_free(warnings, TRUE);
}

int
GbCommand_Check(int argc, char **argv)
{
    struct CheckSettings settings = {0};
    struct GbDocument *document;
    int code = GbCommand_LoadSettings(
        check_table, G_N_ELEMENTS(check_table), check_positionals,
        G_N_ELEMENTS(check_positionals), PROGRAM, argc, argv, &settings);

    if (code != GB_COMMAND_GO_ON) {
        return code;
    }
    document = GbCommand_ReadDocument(PROGRAM, settings.document);
    if (document == NULL) {
        return GB_EXIT_FAILED;
    }
    print_document(document);
    GbDocument_Unref(document);
    return GB_EXIT_DONE;
}
