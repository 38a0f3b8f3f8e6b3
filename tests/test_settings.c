#include "transport/settings.h"

#include <glib.h>
#include <string.h>

#include "protocol/keys.h"
#include "state/address.h"

#define PROGRAM "program"
#define ARGUMENTS_MAX 8
#define KEY_TEXT "000102030405060708090a0b0c0d0e0f"

struct Values {
    char name[GB_SETTING_TEXT_BYTES];
    int64_t wait_ms;
    struct GbAddress listen;
    struct GbAddressList peers;
    uint8_t key[GB_KEY_BYTES];
    char level[GB_SETTING_TEXT_BYTES];
};

static const struct GbSetting table[] = {
    {"name", GB_SETTING_TEXT, offsetof(struct Values, name), NULL, 0, 0,
     "name", "Name."},
    {"wait-ms", GB_SETTING_NUMBER, offsetof(struct Values, wait_ms), "50", 10,
     100, "ms", "Time to wait."},
    {"listen", GB_SETTING_ADDRESS, offsetof(struct Values, listen),
     "127.0.0.1:0", 0, 0, "ipv4:port", "Address."},
    {"peers", GB_SETTING_ADDRESSES, offsetof(struct Values, peers),
     "127.0.0.1:1,127.0.0.2:2", 0, 0, "ipv4:port,...", "Peers."},
    {"key", GB_SETTING_KEY, offsetof(struct Values, key), KEY_TEXT, 0, 0,
     "32 hexadecimal digits", "Key."},
    {"level", GB_SETTING_CHOICE, offsetof(struct Values, level), "low", 0, 0,
     "low, high", "Level."},
};

struct LoadCase {
    const char *name;
    const char *arguments[ARGUMENTS_MAX];
    /* Environment variable and its value; NULL for none. */
    const char *variable;
    const char *value;
    enum GbTransportStatus expected;
    const char *errors;
    /* Values after success. */
    int64_t wait_ms;
    const char *level;
    uint32_t peers;
};

#define INVALID GB_TRANSPORT_INVALID_SETTING
#define NAME "--name", "n"

static const struct LoadCase load_cases[] = {
    {"defaults", {NAME}, NULL, NULL, GB_TRANSPORT_OK, "", 50, "low", 2},
    {"flag",
     {NAME, "--wait-ms", "60"},
     NULL,
     NULL,
     GB_TRANSPORT_OK,
     "",
     60,
     "low",
     2},
    {"variable",
     {NAME},
     "GUAVABEND_WAIT_MS",
     "70",
     GB_TRANSPORT_OK,
     "",
     70,
     "low",
     2},
    {"flag overrides variable",
     {NAME, "--wait-ms", "60"},
     "GUAVABEND_WAIT_MS",
     "70",
     GB_TRANSPORT_OK,
     "",
     60,
     "low",
     2},
    {"minimum number",
     {NAME, "--wait-ms", "10"},
     NULL,
     NULL,
     GB_TRANSPORT_OK,
     "",
     10,
     "low",
     2},
    {"maximum number",
     {NAME, "--wait-ms", "100"},
     NULL,
     NULL,
     GB_TRANSPORT_OK,
     "",
     100,
     "low",
     2},
    {"choice",
     {NAME, "--level", "high"},
     NULL,
     NULL,
     GB_TRANSPORT_OK,
     "",
     50,
     "high",
     2},
    {"one address",
     {NAME, "--peers", "10.0.0.1:9"},
     NULL,
     NULL,
     GB_TRANSPORT_OK,
     "",
     50,
     "low",
     1},
    {"required setting from a variable",
     {NULL},
     "GUAVABEND_NAME",
     "n",
     GB_TRANSPORT_OK,
     "",
     50,
     "low",
     2},
    {"help", {"--help"}, NULL, NULL, GB_TRANSPORT_HELP_SHOWN, "", 0, NULL, 0},
    {"version",
     {"--version"},
     NULL,
     NULL,
     GB_TRANSPORT_HELP_SHOWN,
     "",
     0,
     NULL,
     0},
    {"required setting is missing",
     {NULL},
     NULL,
     NULL,
     INVALID,
     "program: setting name is required: name\n",
     0,
     NULL,
     0},
    {"required setting is empty",
     {"--name", ""},
     NULL,
     NULL,
     INVALID,
     "program: flag --name must have a value\n",
     0,
     NULL,
     0},
    {"required setting is empty in a variable",
     {NULL},
     "GUAVABEND_NAME",
     "",
     INVALID,
     "program: setting name is required: name\n",
     0,
     NULL,
     0},
    {"number too small",
     {NAME, "--wait-ms", "9"},
     NULL,
     NULL,
     INVALID,
     "program: setting wait-ms is \"9\", must be a whole number from 10 to "
     "100 (ms)\n",
     0,
     NULL,
     0},
    {"number too large in a variable",
     {NAME},
     "GUAVABEND_WAIT_MS",
     "101",
     INVALID,
     "program: setting wait-ms is \"101\", must be a whole number from 10 to "
     "100 (ms)\n",
     0,
     NULL,
     0},
    {"not a number",
     {NAME, "--wait-ms", "10ms"},
     NULL,
     NULL,
     INVALID,
     "program: setting wait-ms is \"10ms\", must be a whole number from 10 to "
     "100 (ms)\n",
     0,
     NULL,
     0},
    {"not an address",
     {NAME, "--listen", "localhost:1"},
     NULL,
     NULL,
     INVALID,
     "program: setting listen is \"localhost:1\", must be ipv4:port\n",
     0,
     NULL,
     0},
    {"not a list of addresses",
     {NAME, "--peers", "10.0.0.1:9,"},
     NULL,
     NULL,
     INVALID,
     "program: setting peers is \"10.0.0.1:9,\", must be ipv4:port,...\n",
     0,
     NULL,
     0},
    {"invalid key is not printed",
     {NAME, "--key", "00ff"},
     NULL,
     NULL,
     INVALID,
     "program: setting key must be 32 hexadecimal digits\n",
     0,
     NULL,
     0},
    {"not one of the choices",
     {NAME, "--level", "middle"},
     NULL,
     NULL,
     INVALID,
     "program: setting level is \"middle\", must be one of low, high\n",
     0,
     NULL,
     0},
    {"one line for each invalid setting",
     {"--wait-ms", "x", "--level", "x"},
     NULL,
     NULL,
     INVALID,
     "program: setting name is required: name\n"
     "program: setting wait-ms is \"x\", must be a whole number from 10 to "
     "100 (ms)\n"
     "program: setting level is \"x\", must be one of low, high\n",
     0,
     NULL,
     0},
    {"unknown flag",
     {NAME, "--bogus", "1"},
     NULL,
     NULL,
     INVALID,
     "program: unknown flag --bogus, see --help\n",
     0,
     NULL,
     0},
    {"flag without a value",
     {NAME, "--wait-ms"},
     NULL,
     NULL,
     INVALID,
     "program: flag --wait-ms must have a value\n",
     0,
     NULL,
     0},
    {"flag given twice",
     {NAME, "--wait-ms", "20", "--wait-ms", "30"},
     NULL,
     NULL,
     INVALID,
     "program: flag --wait-ms must be given only once\n",
     0,
     NULL,
     0},
    {"argument that is not a flag",
     {NAME, "word"},
     NULL,
     NULL,
     INVALID,
     "program: unexpected argument \"word\", expected a flag such as --name "
     "VALUE\n",
     0,
     NULL,
     0},
};

static enum GbTransportStatus
load(const struct LoadCase *row, struct Values *values, char **errors)
{
    char *argv[ARGUMENTS_MAX + 2] = {(char *)PROGRAM};
    int argc = 1;
    size_t size_bytes = 0;
    FILE *stream = open_memstream(errors, &size_bytes);
    enum GbTransportStatus status;

    for (; argc <= ARGUMENTS_MAX && row->arguments[argc - 1] != NULL; argc++) {
        argv[argc] = (char *)row->arguments[argc - 1];
    }
    status = GbSettings_Load(table, G_N_ELEMENTS(table), PROGRAM, argc, argv,
                             values, stream);
    fclose(stream);
    return status;
}

/* Guards against settings that are read from the wrong source or are out of
 * range, and against errors that do not name the invalid setting and the valid
 * values. */
static void
test_load(gconstpointer context)
{
    const struct LoadCase *row = context;
    struct Values values = {0};
    char *errors = NULL;

    if (row->variable != NULL) {
        g_setenv(row->variable, row->value, TRUE);
    }
    g_assert_cmpint(load(row, &values, &errors), ==, row->expected);
    if (row->variable != NULL) {
        g_unsetenv(row->variable);
    }
    g_assert_cmpstr(errors, ==, row->errors);
    if (row->expected == GB_TRANSPORT_OK) {
        g_assert_cmpstr(values.name, ==, "n");
        g_assert_cmpint(values.wait_ms, ==, row->wait_ms);
        g_assert_cmpstr(values.level, ==, row->level);
        g_assert_cmpuint(values.peers.count, ==, row->peers);
        g_assert_cmpuint(values.key[GB_KEY_BYTES - 1], ==, 0x0f);
    }
    free(errors);
}

struct SetCase {
    const char *name;
    const char *text;
    bool expected;
};

static const struct SetCase set_cases[] = {
    {"wait-ms", "20", true},
    {"wait-ms", "5", false},
    {"level", "high", true},
    {"bogus", "1", false},
};

/* Guards against a running program that accepts a value which it would reject
 * at startup. */
static void
test_set_value(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(set_cases); i++) {
        struct Values values = {0};
        char *errors = NULL;
        size_t size_bytes = 0;
        FILE *stream = open_memstream(&errors, &size_bytes);

        g_assert_cmpint(GbSettings_SetValue(table, G_N_ELEMENTS(table),
                                            PROGRAM, set_cases[i].name,
                                            set_cases[i].text, &values,
                                            stream),
                        ==, set_cases[i].expected);
        fclose(stream);
        g_assert_cmpint(errors[0] == '\0', ==, set_cases[i].expected);
        free(errors);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
        char *path = g_strdup_printf("/settings/load/%s", load_cases[i].name);

        g_test_add_data_func(path, &load_cases[i], test_load);
        g_free(path);
    }
    g_test_add_func("/settings/set-value", test_set_value);
    return g_test_run();
}
