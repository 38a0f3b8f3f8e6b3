#include <glib.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "config_check.h"
#include "node_file.h"
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
    char kind[GB_SETTING_TEXT_BYTES];
    char against[GB_SETTING_TEXT_BYTES];
    char format[GB_SETTING_TEXT_BYTES];
};

/* Type of file that can be checked. */
struct CheckKind {
    const char *name;
    /* Validates the file and prints the result. Returns an exit code. */
    int (*run)(const struct CheckSettings *settings);
};

static const struct GbSetting check_table[] = {
    {"document", GB_SETTING_TEXT, offsetof(struct CheckSettings, document),
     NULL, 0, 0, "file", "File to check; may also be the first argument."},
    {"kind", GB_SETTING_TEXT, offsetof(struct CheckSettings, kind), "document",
     0, 0, "name",
     "Type of the file: document, or one of the platform's files: "
     "balancer-settings, agent-settings or routes."},
    {"against", GB_SETTING_TEXT, offsetof(struct CheckSettings, against), "",
     0, 0, "file",
     "Configuration in force; prints what differs. Only for routes."},
    {"format", GB_SETTING_CHOICE, offsetof(struct CheckSettings, format),
     "text", 0, 0, "text, json", "Format of the result. Only for routes."},
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
    GbDocumentJson_AppendWarnings(document, GbClock_WallUs(&clock.super),
                                  warnings);
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

static int
check_document(const struct CheckSettings *settings)
{
    struct GbDocument *document =
        GbCommand_ReadDocument(PROGRAM, settings->document);

    if (document == NULL) {
        return GB_EXIT_FAILURE;
    }
    print_document(document);
    GbDocument_Unref(document);
    return GB_EXIT_SUCCESS;
}

static int
check_settings(const char *path, bool is_agent)
{
    GString *errors = g_string_new(NULL);
    struct GbNodeFile node;
    bool is_valid =
        GbNodeFile_Load(&node, path, is_agent, errors) == GB_PLATFORM_OK;

    if (is_valid) {
        printf("valid instance=%s data_centre=%s seeds=%" PRIu32 "\n",
               node.name, node.data_centre, node.seed_count);
    }
    fputs(errors->str, stderr);
    g_string_free(errors, TRUE);
    return is_valid ? GB_EXIT_SUCCESS : GB_EXIT_FAILURE;
}

static int
check_balancer_settings(const struct CheckSettings *settings)
{
    return check_settings(settings->document, false);
}

static int
check_agent_settings(const struct CheckSettings *settings)
{
    return check_settings(settings->document, true);
}

static bool
read_file(const char *path, gchar **text, gsize *size_bytes,
          struct GbFindings *findings)
{
    if (g_file_get_contents(path, text, size_bytes, NULL)) {
        return true;
    }
    GbFindings_Add(findings, GB_FINDING_ERROR, path, "cannot be read");
    return false;
}

static void
compare_with_file(const json_t *config, const char *path,
                  struct GbFindings *findings)
{
    gchar *text = NULL;
    gsize size_bytes;
    json_t *in_force;

    if (!read_file(path, &text, &size_bytes, findings)) {
        return;
    }
    in_force = json_loadb(text, size_bytes, 0, NULL);
    if (json_is_object(in_force)) {
        GbConfigCheck_Compare(in_force, config, findings);
    }
    else {
        GbFindings_Add(findings, GB_FINDING_ERROR, path, "invalid JSON");
    }
    json_decref(in_force);
    g_free(text);
}

static void
print_json(const json_t *config, const struct GbFindings *findings)
{
    json_t *result = json_pack(
        "{s:b, s:I, s:o}", "valid", !GbFindings_HasErrors(findings), "version",
        json_integer_value(json_object_get(config, "version")), "findings",
        GbFindings_ToJson(findings));

    json_dumpf(result, stdout, JSON_INDENT(2));
    putchar('\n');
    json_decref(result);
}

/* Changes are the result of a comparison, and go to the standard output. */
static void
print_text(const json_t *config, const struct GbFindings *findings)
{
    GString *lines = g_string_new(NULL);

    GbFindings_AppendText(findings, GB_FINDING_ERROR, lines);
    GbFindings_AppendText(findings, GB_FINDING_WARNING, lines);
    fputs(lines->str, stderr);
    g_string_truncate(lines, 0);
    GbFindings_AppendText(findings, GB_FINDING_CHANGE, lines);
    fputs(lines->str, stdout);
    g_string_free(lines, TRUE);
    if (!GbFindings_HasErrors(findings)) {
        printf("valid version=%" JSON_INTEGER_FORMAT " routes=%zu\n",
               json_integer_value(json_object_get(config, "version")),
               json_array_size(json_object_get(config, "routes")));
    }
}

static int
check_routes(const struct CheckSettings *settings)
{
    struct GbFindings findings;
    json_t *config = NULL;
    gchar *text = NULL;
    gsize size_bytes;
    int code;

    GbFindings_Init(&findings);
    if (read_file(settings->document, &text, &size_bytes, &findings)) {
        config = GbConfigCheck_Run(text, size_bytes, &findings);
    }
    if (config != NULL && settings->against[0] != '\0') {
        compare_with_file(config, settings->against, &findings);
    }
    if (strcmp(settings->format, "json") == 0) {
        print_json(config, &findings);
    }
    else {
        print_text(config, &findings);
    }
    code = GbFindings_HasErrors(&findings) ? GB_EXIT_FAILURE : GB_EXIT_SUCCESS;
    json_decref(config);
    g_free(text);
    GbFindings_Finish(&findings);
    return code;
}

static const struct CheckKind check_kinds[] = {
    {"document", check_document},
    {"balancer-settings", check_balancer_settings},
    {"agent-settings", check_agent_settings},
    {"routes", check_routes},
};

int
GbCommand_Check(int argc, char **argv)
{
    struct CheckSettings settings = {{0}, {0}, {0}, {0}};
    int code = GbCommand_LoadSettings(
        check_table, G_N_ELEMENTS(check_table), check_positionals,
        G_N_ELEMENTS(check_positionals), PROGRAM, argc, argv, &settings);

    if (code != GB_COMMAND_CONTINUE) {
        return code;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(check_kinds); i++) {
        if (strcmp(settings.kind, check_kinds[i].name) == 0) {
            return check_kinds[i].run(&settings);
        }
    }
    fprintf(stderr, PROGRAM ": --kind: unknown kind \"%s\"\n", settings.kind);
    return GB_EXIT_USAGE;
}
