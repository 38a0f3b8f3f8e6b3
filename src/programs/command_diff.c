#include <glib.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "protocol/digest_text.h"
#include "protocol/time_text.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "guavabend diff"
#define PATH_BYTES 160

struct DiffSettings {
    char old_document[GB_SETTING_TEXT_BYTES];
    char new_document[GB_SETTING_TEXT_BYTES];
};

static const struct GbSetting diff_table[] = {
    {"old", GB_SETTING_TEXT, offsetof(struct DiffSettings, old_document), NULL,
     0, 0, "file", "Old document; may also be the first argument."},
    {"new", GB_SETTING_TEXT, offsetof(struct DiffSettings, new_document), NULL,
     0, 0, "file", "New document; may also be the second argument."},
};

static const char *const diff_positionals[] = {"old", "new"};

enum FieldKind {
    FIELD_U16,
    FIELD_U32,
    FIELD_U64,
    FIELD_BOOL,
    FIELD_CLASS,
    FIELD_ADDRESS,
    FIELD_TEXT,
    FIELD_TIME,
    FIELD_DIGEST
};

/* Field of a document, service or operation. */
struct Field {
    const char *name;
    enum FieldKind kind;
    size_t offset;
};

#define DOCUMENT_FIELD(NAME, KIND)                                            \
    {                                                                         \
#NAME, KIND, offsetof(struct GbDocument, NAME)                        \
    }
#define SERVICE_FIELD(NAME, KIND)                                             \
    {                                                                         \
#NAME, KIND, offsetof(struct GbService, NAME)                         \
    }
#define OPERATION_FIELD(NAME, KIND)                                           \
    {                                                                         \
#NAME, KIND, offsetof(struct GbOperation, NAME)                       \
    }

static const struct Field document_fields[] = {
    DOCUMENT_FIELD(revision, FIELD_U64),
    DOCUMENT_FIELD(parent, FIELD_DIGEST),
    DOCUMENT_FIELD(requested_by, FIELD_TEXT),
    {"requested_at", FIELD_TIME, offsetof(struct GbDocument, requested_at_us)},
    {"in_force_from", FIELD_TIME,
     offsetof(struct GbDocument, in_force_from_us)},
};

static const struct Field service_fields[] = {
    SERVICE_FIELD(id, FIELD_U32),
    SERVICE_FIELD(address, FIELD_ADDRESS),
    SERVICE_FIELD(slots, FIELD_U32),
    SERVICE_FIELD(limits.flows, FIELD_U32),
    SERVICE_FIELD(limits.queue, FIELD_U32),
    SERVICE_FIELD(limits.rate_per_s, FIELD_U32),
    SERVICE_FIELD(limits.retry_budget_percent, FIELD_U32),
    {"drain.flow_ms", FIELD_U32, offsetof(struct GbService, drain_flow_ms)},
    SERVICE_FIELD(ramp_ms, FIELD_U32),
    SERVICE_FIELD(long_after_ms, FIELD_U32),
};

static const struct Field operation_fields[] = {
    OPERATION_FIELD(id, FIELD_U16),
    {"class", FIELD_CLASS, offsetof(struct GbOperation, work_class)},
    {"idempotent", FIELD_BOOL, offsetof(struct GbOperation, is_idempotent)},
    OPERATION_FIELD(deadline_ms, FIELD_U32),
    OPERATION_FIELD(max_answer_bytes, FIELD_U64),
};

static void
format_field(const struct Field *field, const void *object, char *text,
             gulong size_bytes)
{
    const void *value = (const char *)object + field->offset;
    char buffer[GB_DIGEST_TEXT_BYTES];

    switch (field->kind) {
    case FIELD_U16:
        g_snprintf(text, size_bytes, "%u", *(const uint16_t *)value);
        break;
    case FIELD_U32:
        g_snprintf(text, size_bytes, "%" PRIu32, *(const uint32_t *)value);
        break;
    case FIELD_U64:
        g_snprintf(text, size_bytes, "%" PRIu64, *(const uint64_t *)value);
        break;
    case FIELD_BOOL:
        g_strlcpy(text, *(const bool *)value ? "true" : "false", size_bytes);
        break;
    case FIELD_CLASS:
        g_strlcpy(text,
                  *(const enum GbOperationClass *)value == GB_CLASS_LONG
                      ? "long"
                      : "short",
                  size_bytes);
        break;
    case FIELD_ADDRESS:
        g_strlcpy(text, GbAddress_Format(value, buffer), size_bytes);
        break;
    case FIELD_TEXT:
        g_strlcpy(text, value, size_bytes);
        break;
    case FIELD_TIME:
        g_strlcpy(text, GbTimeText_Format(*(const int64_t *)value, buffer),
                  size_bytes);
        break;
    case FIELD_DIGEST:
        g_strlcpy(text, GbDigestText_Format(value, buffer), size_bytes);
        break;
    }
}

static uint32_t
diff_fields(const struct Field *fields, size_t count, const char *path,
            const void *old_object, const void *new_object)
{
    uint32_t changes = 0;

    for (size_t i = 0; i < count; i++) {
        char old_text[GB_NAME_BYTES];
        char new_text[GB_NAME_BYTES];

        format_field(&fields[i], old_object, old_text, sizeof(old_text));
        format_field(&fields[i], new_object, new_text, sizeof(new_text));
        if (strcmp(old_text, new_text) != 0) {
            printf("%s.%s: %s -> %s\n", path, fields[i].name, old_text,
                   new_text);
            changes++;
        }
    }
    return changes;
}

static uint32_t
diff_operations(const struct GbService *old_service,
                const struct GbService *new_service)
{
    uint32_t changes = 0;

    for (uint32_t i = 0; i < old_service->operation_count; i++) {
        const struct GbOperation *before = &old_service->operations[i];
        const struct GbOperation *after =
            GbService_FindOperationByName(new_service, before->name);
        char path[PATH_BYTES];

        g_snprintf(path, sizeof(path), "%s.%s", old_service->name,
                   before->name);
        if (after == NULL) {
            printf("%s: removed\n", path);
            changes++;
            continue;
        }
        changes +=
            diff_fields(operation_fields, G_N_ELEMENTS(operation_fields), path,
                        before, after);
    }
    for (uint32_t i = 0; i < new_service->operation_count; i++) {
        const char *name = new_service->operations[i].name;

        if (GbService_FindOperationByName(old_service, name) == NULL) {
            printf("%s.%s: added\n", new_service->name, name);
            changes++;
        }
    }
    return changes;
}

static uint32_t
diff_services(const struct GbDocument *before, const struct GbDocument *after)
{
    uint32_t changes = 0;

    for (uint32_t i = 0; i < before->service_count; i++) {
        const struct GbService *old_service = &before->services[i];
        const struct GbService *new_service =
            GbDocument_FindServiceByName(after, old_service->name);

        if (new_service == NULL) {
            printf("%s: removed\n", old_service->name);
            changes++;
            continue;
        }
        changes += diff_fields(service_fields, G_N_ELEMENTS(service_fields),
                               old_service->name, old_service, new_service);
        changes += diff_operations(old_service, new_service);
    }
    for (uint32_t i = 0; i < after->service_count; i++) {
        const char *name = after->services[i].name;

        if (GbDocument_FindServiceByName(before, name) == NULL) {
            printf("%s: added\n", name);
            changes++;
        }
    }
    return changes;
}

static void
diff(const struct GbDocument *before, const struct GbDocument *after)
{
    uint32_t changes;

    diff_fields(document_fields, G_N_ELEMENTS(document_fields), "document",
                before, after);
    changes = diff_services(before, after);
    printf("changes=%" PRIu32 "\n", changes);
    if (memcmp(after->parent, before->digest, GB_DIGEST_BYTES) != 0) {
        fprintf(stderr, "warning: document.parent: is not the digest of the "
                        "old document\n");
    }
    if (after->revision <= before->revision) {
        fprintf(stderr, "warning: document.revision: is not higher than that "
                        "of the old document\n");
    }
}

int
GbCommand_Diff(int argc, char **argv)
{
    struct DiffSettings settings = {0};
    struct GbDocument *before;
    struct GbDocument *after;
    int code = GbCommand_LoadSettings(
        diff_table, G_N_ELEMENTS(diff_table), diff_positionals,
        G_N_ELEMENTS(diff_positionals), PROGRAM, argc, argv, &settings);

    if (code != GB_COMMAND_CONTINUE) {
        return code;
    }
    before = GbCommand_ReadDocument(PROGRAM, settings.old_document);
    after = GbCommand_ReadDocument(PROGRAM, settings.new_document);
    code = GB_EXIT_FAILURE;
    if (before != NULL && after != NULL) {
        diff(before, after);
        code = GB_EXIT_SUCCESS;
    }
    GbDocument_Unref(before);
    GbDocument_Unref(after);
    return code;
}
