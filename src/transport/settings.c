#include "transport/settings.h"

#include <argtable2.h>
#include <ctype.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/keys.h"
#include "state/address.h"

#define VARIABLE_NAME_BYTES 64
#define PARSE_ERRORS_MAX 16
#define LIST_SEPARATOR ","
#define CHOICE_SEPARATOR ", "

static bool
set_number(const struct GbSetting *setting, const char *text, int64_t *value)
{
    char *end;
    int64_t number;

    errno = 0;
    number = strtoll(text, &end, 10);
    if (errno != 0 || end == text || *end != '\0' || number < setting->min ||
        number > setting->max) {
        return false;
    }
    *value = number;
    return true;
}

static bool
set_addresses(const char *text, struct GbAddressList *list)
{
    gchar **parts = g_strsplit(text, LIST_SEPARATOR, -1);
    guint count = g_strv_length(parts);
    bool is_valid = count > 0 && count <= GB_SETTING_ADDRESSES_MAX;

    for (guint i = 0; is_valid && i < count; i++) {
        is_valid = GbAddress_Parse(&list->items[i], g_strstrip(parts[i]));
    }
    list->count = is_valid ? count : 0;
    g_strfreev(parts);
    return is_valid;
}

static bool
set_choice(const struct GbSetting *setting, const char *text, char *value)
{
    gchar **choices = g_strsplit(setting->unit, CHOICE_SEPARATOR, -1);
    bool is_valid = g_strv_contains((const gchar *const *)choices, text);

    if (is_valid) {
        g_strlcpy(value, text, GB_SETTING_TEXT_BYTES);
    }
    g_strfreev(choices);
    return is_valid;
}

static bool
set_value(const struct GbSetting *setting, const char *text, void *values)
{
    void *value = (char *)values + setting->offset;

    switch (setting->kind) {
    case GB_SETTING_TEXT:
        return g_strlcpy(value, text, GB_SETTING_TEXT_BYTES) <
               GB_SETTING_TEXT_BYTES;
    case GB_SETTING_NUMBER:
        return set_number(setting, text, value);
    case GB_SETTING_ADDRESS:
        return text[0] == '\0' || GbAddress_Parse(value, text);
    case GB_SETTING_KEY:
        return text[0] == '\0' || GbKeys_ParseHex(value, text);
    case GB_SETTING_ADDRESSES:
        return set_addresses(text, value);
    case GB_SETTING_CHOICE:
        return set_choice(setting, text, value);
    }
    return false;
}

static void
report_invalid_value(const struct GbSetting *setting, const char *program,
                     const char *text, FILE *errors)
{
    if (text == NULL) {
        fprintf(errors, "%s: setting %s is required: %s\n", program,
                setting->name, setting->unit);
    }
    else if (setting->kind == GB_SETTING_NUMBER) {
        fprintf(errors,
                "%s: setting %s is \"%s\", must be a whole number from "
                "%" PRIi64 " to %" PRIi64 " (%s)\n",
                program, setting->name, text, setting->min, setting->max,
                setting->unit);
    }
    else if (setting->kind == GB_SETTING_KEY) {
        /* The text is not printed, because it may be a mistyped real key. */
        fprintf(errors, "%s: setting %s must be %s\n", program, setting->name,
                setting->unit);
    }
    else {
        fprintf(errors, "%s: setting %s is \"%s\", must be %s%s\n", program,
                setting->name, text,
                setting->kind == GB_SETTING_CHOICE ? "one of " : "",
                setting->unit);
    }
}

static const char *
setting_text(const struct GbSetting *setting, const struct arg_str *flag)
{
    char variable[VARIABLE_NAME_BYTES];
    const char *text;

    if (flag->count > 0) {
        return flag->sval[0];
    }
    GbSettings_VariableName(setting, variable, sizeof(variable));
    text = getenv(variable);
    return text != NULL ? text : setting->default_text;
}

static enum GbTransportStatus
load_values(const struct GbSetting *settings, size_t count,
            const char *program, void **flags, void *values, FILE *errors)
{
    enum GbTransportStatus status = GB_TRANSPORT_OK;

    for (size_t i = 0; i < count; i++) {
        const char *text = setting_text(&settings[i], flags[i]);

        if (text != NULL && text[0] == '\0' &&
            settings[i].default_text == NULL) {
            /* An empty value counts as missing. */
            text = NULL;
        }
        if (text == NULL || !set_value(&settings[i], text, values)) {
            report_invalid_value(&settings[i], program, text, errors);
            status = GB_TRANSPORT_INVALID_SETTING;
        }
    }
    return status;
}

/* Returns the argument to report. For an empty value, argtable returns the
 * value itself; this returns its flag instead. */
static const char *
find_faulty_argument(const char *argval, int argc, char **argv)
{
    for (int i = 1; argval != NULL && argval[0] == '\0' && i < argc; i++) {
        if (argv[i][0] == '\0') {
            return argv[i - 1];
        }
    }
    return argval != NULL ? argval : "";
}

/* Writes one line for each argument that cannot be parsed. */
static void
report_parse_errors(const struct arg_end *end, const char *program, int argc,
                    char **argv, FILE *errors)
{
    bool has_unknown_flag = false;

    for (int i = 0; i < end->count; i++) {
        const struct arg_hdr *flag = end->parent[i];
        const char *argument =
            find_faulty_argument(end->argval[i], argc, argv);

        if (flag != &end->hdr) {
            fprintf(errors, "%s: flag --%s must be given only once\n", program,
                    flag->longopts);
            continue;
        }
        switch (end->error[i]) {
        case ARG_EMISSARG:
            fprintf(errors, "%s: flag %s must have a value\n", program,
                    argument);
            break;
        case ARG_ELONGOPT:
            has_unknown_flag = true;
            fprintf(errors, "%s: unknown flag %s, see --help\n", program,
                    argument);
            break;
        default:
            /* An argument after an unknown flag is probably its value. */
            if (!has_unknown_flag) {
                fprintf(
                    errors,
                    "%s: unexpected argument \"%s\", expected a flag such as "
                    "--name VALUE\n",
                    program, argument);
            }
            break;
        }
    }
}

static void
print_help(const struct GbSetting *settings, size_t count, const char *program)
{
    printf("Usage: %s [--SETTING VALUE]...\n\n", program);
    for (size_t i = 0; i < count; i++) {
        char variable[VARIABLE_NAME_BYTES];

        GbSettings_VariableName(&settings[i], variable, sizeof(variable));
        printf("  --%s <%s>\n      %s\n      Variable %s", settings[i].name,
               settings[i].unit, settings[i].help, variable);
        if (settings[i].default_text == NULL) {
            printf(", required");
        }
        else if (settings[i].default_text[0] != '\0') {
            printf(", default %s", settings[i].default_text);
        }
        if (settings[i].kind == GB_SETTING_NUMBER) {
            printf(", from %" PRIi64 " to %" PRIi64, settings[i].min,
                   settings[i].max);
        }
        printf("\n");
    }
    printf("  --help\n  --version\n");
}

enum GbTransportStatus
GbSettings_Load(const struct GbSetting *settings, size_t count,
                const char *program, int argc, char **argv, void *values,
                FILE *errors)
{
    void **flags = g_new0(void *, count + 3);
    struct arg_lit *help = arg_lit0(NULL, "help", "");
    struct arg_lit *version = arg_lit0(NULL, "version", "");
    struct arg_end *end = arg_end(PARSE_ERRORS_MAX);
    enum GbTransportStatus status;

    for (size_t i = 0; i < count; i++) {
        flags[i] = arg_str0(NULL, settings[i].name, settings[i].unit,
                            settings[i].help);
    }
    flags[count] = help;
    flags[count + 1] = version;
    flags[count + 2] = end;
    if (arg_parse(argc, argv, flags) > 0 && help->count == 0 &&
        version->count == 0) {
        report_parse_errors(end, program, argc, argv, errors);
        status = GB_TRANSPORT_INVALID_SETTING;
    }
    else if (help->count > 0) {
        print_help(settings, count, program);
        status = GB_TRANSPORT_HELP_SHOWN;
    }
    else if (version->count > 0) {
        printf("%s %s\n", program, GB_VERSION);
        status = GB_TRANSPORT_HELP_SHOWN;
    }
    else {
        status = load_values(settings, count, program, flags, values, errors);
    }
    arg_freetable(flags, count + 3);
    g_free(flags);
    return status;
}

bool
GbSettings_SetValue(const struct GbSetting *settings, size_t count,
                    const char *program, const char *name, const char *text,
                    void *values, FILE *errors)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(settings[i].name, name) != 0) {
            continue;
        }
        if (!set_value(&settings[i], text, values)) {
            report_invalid_value(&settings[i], program, text, errors);
            return false;
        }
        return true;
    }
    fprintf(errors, "%s: unknown setting %s\n", program, name);
    return false;
}

void
GbSettings_VariableName(const struct GbSetting *setting, char *buffer,
                        size_t size_bytes)
{
    g_snprintf(buffer, (gulong)size_bytes, "GUAVABEND_%s", setting->name);
    for (char *c = buffer; *c != '\0'; c++) {
        *c = *c == '-' ? '_' : (char)toupper((unsigned char)*c);
    }
}
