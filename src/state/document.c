#include "state/document.h"

#include <glib.h>
#include <string.h>

struct GbDocument *
GbDocument_New(void)
{
    struct GbDocument *self = g_new0(struct GbDocument, 1);

    self->reference_count = 1;
    return self;
}

struct GbDocument *
GbDocument_Ref(struct GbDocument *self)
{
    g_atomic_int_inc(&self->reference_count);
    return self;
}

void
GbDocument_Unref(struct GbDocument *self)
{
    if (self == NULL || !g_atomic_int_dec_and_test(&self->reference_count)) {
        return;
    }
    for (uint32_t i = 0; i < self->service_count; i++) {
        g_free(self->services[i].operations);
    }
    g_free(self->services);
    g_free(self->bytes);
    g_free(self);
}

const struct GbService *
GbDocument_FindService(const struct GbDocument *self, uint32_t service_id)
{
    for (uint32_t i = 0; i < self->service_count; i++) {
        if (self->services[i].id == service_id) {
            return &self->services[i];
        }
    }
    return NULL;
}

const struct GbService *
GbDocument_FindServiceByName(const struct GbDocument *self, const char *name)
{
    for (uint32_t i = 0; i < self->service_count; i++) {
        if (strcmp(self->services[i].name, name) == 0) {
            return &self->services[i];
        }
    }
    return NULL;
}

const struct GbOperation *
GbService_FindOperation(const struct GbService *self, uint16_t operation_id)
{
    for (uint32_t i = 0; i < self->operation_count; i++) {
        if (self->operations[i].id == operation_id) {
            return &self->operations[i];
        }
    }
    return NULL;
}

const struct GbOperation *
GbService_FindOperationByName(const struct GbService *self, const char *name)
{
    for (uint32_t i = 0; i < self->operation_count; i++) {
        if (strcmp(self->operations[i].name, name) == 0) {
            return &self->operations[i];
        }
    }
    return NULL;
}

int
GbDocument_Compare(const struct GbDocument *a, const struct GbDocument *b)
{
    struct GbDocumentHead head_a;
    struct GbDocumentHead head_b;

    if (a == NULL || b == NULL) {
        return (a != NULL) - (b != NULL);
    }
    head_a = GbDocument_Head(a);
    head_b = GbDocument_Head(b);
    return GbDocumentHead_Compare(&head_a, &head_b);
}

struct GbDocumentHead
GbDocument_Head(const struct GbDocument *self)
{
    struct GbDocumentHead head = {0};

    if (self != NULL) {
        head.revision = self->revision;
        memcpy(head.digest, self->digest, GB_DIGEST_BYTES);
    }
    return head;
}

int
GbDocumentHead_Compare(const struct GbDocumentHead *a,
                       const struct GbDocumentHead *b)
{
    if (a->revision != b->revision) {
        return a->revision < b->revision ? -1 : 1;
    }
    return memcmp(a->digest, b->digest, GB_DIGEST_BYTES);
}

struct GbRevision
GbDocumentHead_Revision(const struct GbDocumentHead *self)
{
    struct GbRevision revision = {self->revision, 0};

    /* Big-endian, so that prefixes are ordered like digests. */
    revision.digest_prefix =
        (uint32_t)self->digest[0] << 24 | (uint32_t)self->digest[1] << 16 |
        (uint32_t)self->digest[2] << 8 | (uint32_t)self->digest[3];
    return revision;
}

struct GbRevision
GbDocument_Revision(const struct GbDocument *self)
{
    struct GbDocumentHead head = GbDocument_Head(self);

    return GbDocumentHead_Revision(&head);
}

int
GbRevision_Compare(const struct GbRevision *a, const struct GbRevision *b)
{
    if (a->number != b->number) {
        return a->number < b->number ? -1 : 1;
    }
    return (a->digest_prefix > b->digest_prefix) -
           (a->digest_prefix < b->digest_prefix);
}
