#include "soak_entry.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define FIELD_BYTES 64

static const struct SoakEntryChange changes[] = {
    {NULL, NULL},
    {"service", NULL},
    {"service", "\"unknown\""},
    {"service", "7"},
    {"address", NULL},
    {"address", "\"127.0.0.1:70000\""},
    {"zone", NULL},
    {"zone", "[\"zone-0\"]"},
    {"version", NULL},
    {"version", "1"},
    {"slots", NULL},
    {"slots", "0"},
    {"slots", "1e30"},
    {"state", NULL},
    {"state", "\"resting\""},
    {"coldLeftMs", NULL},
    {"coldLeftMs", "-1"},
    {"seqNo", NULL},
    {"seqNo", "\"4\""},
};

static void
append_field(GString *text, const char *field, const char *value,
             const struct SoakEntryChange *change)
{
    if (change != NULL && g_strcmp0(change->field, field) == 0) {
        value = change->value;
    }
    if (value != NULL) {
        g_string_append_printf(text, "%s\"%s\":%s", text->len > 1 ? "," : "",
                               field, value);
    }
}

char *
SoakEntry_Format(const struct SoakEntry *self,
                 const struct SoakEntryChange *change)
{
    GString *text = g_string_new("{");
    char value[FIELD_BYTES];

    g_snprintf(value, sizeof(value), "\"service-%u\"", self->service);
    append_field(text, "service", value, change);
    g_snprintf(value, sizeof(value), "\"%s:%u\"", self->ip, self->port);
    append_field(text, "address", value, change);
    g_snprintf(value, sizeof(value), "\"zone-%u\"", self->zone);
    append_field(text, "zone", value, change);
    append_field(text, "version", "\"v1\"", change);
    append_field(text, "slots", "4", change);
    g_snprintf(value, sizeof(value), "\"%s\"", self->state);
    append_field(text, "state", value, change);
    append_field(text, "coldLeftMs", "0", change);
    g_snprintf(value, sizeof(value), "%" PRIu64, self->sequence_number);
    append_field(text, "seqNo", value, change);
    g_string_append_c(text, '}');
    return g_string_free(text, FALSE);
}

const struct SoakEntryChange *
SoakEntryChange_At(uint32_t index)
{
    return &changes[index % G_N_ELEMENTS(changes)];
}
