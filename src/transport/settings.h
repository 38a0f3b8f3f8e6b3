#ifndef GB_TRANSPORT_SETTINGS_H
#define GB_TRANSPORT_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "state/address.h"
#include "state/error_text.h"
#include "transport/status.h"

#define GB_SETTING_TEXT_BYTES 256
#define GB_SETTING_ADDRESSES_MAX 64

enum GbSettingKind {
    /* char[GB_SETTING_TEXT_BYTES] */
    GB_SETTING_TEXT,
    /* int64_t */
    GB_SETTING_NUMBER,
    /* struct GbAddress */
    GB_SETTING_ADDRESS,
    /* uint8_t[GB_KEY_BYTES], 32 hexadecimal digits */
    GB_SETTING_KEY,
    /* struct GbAddressList, separated by commas */
    GB_SETTING_ADDRESSES,
    /* char[GB_SETTING_TEXT_BYTES], one of the words listed in unit, which are
     * separated by ", " */
    GB_SETTING_CHOICE
};

struct GbAddressList {
    struct GbAddress items[GB_SETTING_ADDRESSES_MAX];
    uint32_t count;
};

/* One setting of a program. Flags, environment variables, validation and help
 * are all derived from tables of settings. */
struct GbSetting {
    /* Name of the flag, without the leading dashes. The environment variable
     * is GUAVABEND_ followed by the name in upper case, with '_' for '-'. */
    const char *name;
    enum GbSettingKind kind;
    /* Offset of the value in the struct that GbSettings_Load fills. */
    size_t offset;
    /* Default value as text; NULL if the setting is required; "" if it is
     * optional and has no default. */
    const char *default_text;
    int64_t min;
    int64_t max;
    /* Unit or format, for help and errors. */
    const char *unit;
    const char *help;
};

/* Fills values. A flag takes precedence over an environment variable, and that
 * over the default. Help and version are printed to standard output.
 *
 * Errors: GB_TRANSPORT_HELP_SHOWN after printing help or version;
 * GB_TRANSPORT_INVALID_SETTING after writing one line to errors for each
 * invalid setting. */
enum GbTransportStatus GbSettings_Load(const struct GbSetting *settings,
                                       size_t count, const char *program,
                                       int argc, char **argv, void *values,
                                       FILE *errors);

/* Sets one setting by name. Returns false, and writes a line to errors, if
 * there is no such setting or the text is not valid for it. */
bool GbSettings_SetValue(const struct GbSetting *settings, size_t count,
                         const char *program, const char *name,
                         const char *text, void *values, FILE *errors);

/* Writes the name of the setting's environment variable to buffer. */
void GbSettings_VariableName(const struct GbSetting *setting, char *buffer,
                             size_t size_bytes);

#endif
