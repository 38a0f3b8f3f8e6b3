#ifndef GB_STATE_DOCUMENT_H
#define GB_STATE_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/message.h"

#define GB_NAME_BYTES 64
#define GB_DIGEST_BYTES 16
#define GB_DOCUMENT_BYTES_MAX (1024 * 1024)

enum GbOperationClass { GB_CLASS_SHORT, GB_CLASS_LONG, GB_CLASS_END };

struct GbOperation {
    char name[GB_NAME_BYTES];
    uint16_t id;
    enum GbOperationClass work_class;
    bool is_idempotent;
    uint32_t deadline_ms;
    uint64_t max_answer_bytes;
};

/* Limits of a service, for all its live instances together. */
struct GbLimits {
    uint32_t flows;
    uint32_t queue;
    uint32_t rate_per_s;
    uint32_t retry_budget_percent;
};

struct GbService {
    char name[GB_NAME_BYTES];
    uint32_t id;
    struct GbAddress address;
    /* Slots of each instance. */
    uint32_t slots;
    struct GbOperation *operations;
    uint32_t operation_count;
    struct GbLimits limits;
    /* Time for which a draining target still accepts new requests of its
     * existing flows. */
    uint32_t drain_flow_ms;
    /* Time over which the usable slots of a new target grow to all of them
     * (slow start). */
    uint32_t ramp_ms;
    /* An operation of class short counts as long after running for this
     * time. */
    uint32_t long_after_ms;
};

/* Identifies a document. Documents are ordered by their heads. */
struct GbDocumentHead {
    uint64_t revision;
    uint8_t digest[GB_DIGEST_BYTES];
};

/* Environment document, decoded and validated. Immutable once published;
 * shared between tasks by reference count. */
struct GbDocument {
    int32_t reference_count;
    uint64_t revision;
    uint8_t digest[GB_DIGEST_BYTES];
    uint8_t parent[GB_DIGEST_BYTES];
    char requested_by[GB_NAME_BYTES];
    int64_t requested_at_us;
    int64_t in_force_from_us;
    struct GbService *services;
    uint32_t service_count;
    /* Encoded document as published, which the digest covers. */
    uint8_t *bytes;
    uint32_t size_bytes;
};

/* Allocates an empty document with one reference. */
struct GbDocument *GbDocument_New(void);

struct GbDocument *GbDocument_Ref(struct GbDocument *self);

/* Drops a reference; the last one frees the document. self may be NULL. */
void GbDocument_Unref(struct GbDocument *self);

/* Returns the service of this id or name; NULL if there is none. */
const struct GbService *GbDocument_FindService(const struct GbDocument *self,
                                               uint32_t service_id);
const struct GbService *
GbDocument_FindServiceByName(const struct GbDocument *self, const char *name);

/* Returns the operation of this id or name; NULL if there is none. */
const struct GbOperation *GbService_FindOperation(const struct GbService *self,
                                                  uint16_t operation_id);
const struct GbOperation *
GbService_FindOperationByName(const struct GbService *self, const char *name);

/* Total order over (revision, digest): negative, zero or positive as a is
 * lower than, the same as or higher than b. NULL is lower than any. */
int GbDocument_Compare(const struct GbDocument *a, const struct GbDocument *b);

/* Revision and digest; all zero if self is NULL. */
struct GbDocumentHead GbDocument_Head(const struct GbDocument *self);

/* Orders heads by revision, then by digest; the result is as for
 * GbDocument_Compare. */
int GbDocumentHead_Compare(const struct GbDocumentHead *a,
                           const struct GbDocumentHead *b);

/* Revision and digest prefix as announced to peers. */
struct GbRevision GbDocumentHead_Revision(const struct GbDocumentHead *self);

/* Revision and digest prefix as announced to peers; zero if self is NULL. */
struct GbRevision GbDocument_Revision(const struct GbDocument *self);

/* Orders revisions like the documents that they identify. */
int GbRevision_Compare(const struct GbRevision *a, const struct GbRevision *b);

#endif
