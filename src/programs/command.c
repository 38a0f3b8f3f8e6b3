#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "protocol/document_json.h"
#include "transport/process.h"

struct GbDocument *
GbCommand_ReadDocument(const char *program, const char *path)
{
    struct GbDocument *document = NULL;
    GString *errors = g_string_new(NULL);
    gchar *data;
    gsize size_bytes;

    if (!g_file_get_contents(path, &data, &size_bytes, NULL)) {
        fprintf(stderr, "%s: cannot read document %s\n", program, path);
    }
    else {
        if (GbDocumentJson_Parse(&document, (const uint8_t *)data, size_bytes,
                                 errors) != GB_PROTOCOL_OK) {
            fprintf(stderr, "%s", errors->str);
        }
        g_free(data);
    }
    g_string_free(errors, TRUE);
    return document;
}

int
GbCommand_LoadSettings(const struct GbSetting *settings, size_t count,
                       const char *const *positionals, size_t positional_count,
                       const char *program, int argc, char **argv,
                       void *values)
{
    GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
    enum GbTransportStatus status;
    int next = 1;

    g_ptr_array_add(arguments, g_strdup(argv[0]));
    for (size_t i = 0;
         i < positional_count && next < argc && argv[next][0] != '-'; i++) {
        g_ptr_array_add(arguments, g_strdup_printf("--%s", positionals[i]));
        g_ptr_array_add(arguments, g_strdup(argv[next++]));
    }
    while (next < argc) {
        g_ptr_array_add(arguments, g_strdup(argv[next++]));
    }
    g_ptr_array_add(arguments, NULL);
    status = GbSettings_Load(settings, count, program, (int)arguments->len - 1,
                             (char **)arguments->pdata, values, stderr);
    g_ptr_array_free(arguments, TRUE);
    switch (status) {
    case GB_TRANSPORT_OK:
        return GB_COMMAND_CONTINUE;
    case GB_TRANSPORT_HELP_SHOWN:
        return GB_EXIT_SUCCESS;
    default:
        return GB_EXIT_USAGE;
    }
}
