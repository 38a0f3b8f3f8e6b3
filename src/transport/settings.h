#ifndef GB_TRANSPORT_SETTINGS_H
#define GB_TRANSPORT_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "state/address.h"
#include "state/last_message.h"
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
    /* char[GB_SETTING_TEXT_BYTES], one of the words that unit lists with
     * ", " between them */
    GB_SETTING_CHOICE
};

struct GbAddressList {
    struct GbAddress items[GB_SETTING_ADDRESSES_MAX];
    uint32_t count;
};

/* One setting of a program. The tables of settings drive flags, environment
 * variables, checks and help. */
struct GbSetting {
    /* Flag without dashes. The variable is GUAVABEND_ and the name in upper
     * case with '_' for '-'. */
    const char *name;
    enum GbSettingKind kind;
    /* Place in the struct that GbSettings_Load fills. */
    size_t offset;
    /* Text of the default; NULL if the setting is required; "" if it may be
     * left out. */
    const char *default_text;
    int64_t min;
    int64_t max;
    /* Unit or form, for help. */
    const char *unit;
    const char *help;
};

/* Fills values from flags, then from environment variables, then from
 * defaults. Help and version are printed to standard output.
 *
 * Errors: GB_TRANSPORT_HELP_SHOWN after help or version,
 * GB_TRANSPORT_INVALID_SETTING with one line for each wrong setting. */
enum GbTransportStatus GbSettings_Load(const struct GbSetting *settings,
                                       size_t count, const char *program,
                                       int argc, char **argv, void *values,
                                       FILE *errors);

/* Sets one setting by its name. Returns false after a line on errors if there
 * is no such setting or the text is wrong. */
bool GbSettings_SetValue(const struct GbSetting *settings, size_t count,
                         const char *program, const char *name,
                         const char *text, void *values, FILE *errors);

/* Name of the environment variable of a setting. */
void GbSettings_VariableName(const struct GbSetting *setting, char *buffer,
                             size_t size_bytes);

#endif
