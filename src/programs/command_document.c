#include <glib.h>
#include <stdio.h>

#include "programs/command.h"
#include "protocol/document_json.h"

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
