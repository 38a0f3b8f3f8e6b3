#ifndef GB_COORDINATION_DOCUMENTS_DOCUMENT_ACCEPTANCE_H
#define GB_COORDINATION_DOCUMENTS_DOCUMENT_ACCEPTANCE_H

#include "coordination/status.h"
#include "state/audit.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/document.h"

/* Limit on accepted documents whose in_force_from is still ahead. */
#define GB_PENDING_DOCUMENTS_MAX 4

struct GbDocumentAcceptancePort;

struct GbDocumentAcceptancePortClass {
    /* Adds a record to the audit trail. */
    void (*audit)(struct GbDocumentAcceptancePort *self,
                  const struct GbAuditRecord *record);
};

struct GbDocumentAcceptancePort {
    const struct GbDocumentAcceptancePortClass *klass;
};

struct GbAcceptedDocument {
    struct GbDocument *document;
    enum GbDocumentSource source;
    /* Wall clock times; 0 until the event has happened. */
    int64_t accepted_at_us;
    int64_t in_force_at_us;
};

/* Accepts or refuses documents, and brings accepted ones into force at their
 * in_force_from. A document is only accepted if it is higher than the highest
 * accepted one. */
struct GbDocumentAcceptance {
    struct GbDocumentAcceptancePort *port;
    struct GbClock *clock;
    struct GbCounters *counters;
    /* in_force.document is NULL until a document has come into force. */
    struct GbAcceptedDocument in_force;
    /* Sorted ascending by document head and also by in_force_from. */
    struct GbAcceptedDocument pending[GB_PENDING_DOCUMENTS_MAX];
    uint32_t pending_count;
    /* Last refusal, kept so that a repeated one is reported only once. */
    enum GbAuditEvent refused_event;
    struct GbDocumentHead refused;
};

/* All arguments must outlive self. */
void GbDocumentAcceptance_Init(struct GbDocumentAcceptance *self,
                               struct GbDocumentAcceptancePort *port,
                               struct GbClock *clock,
                               struct GbCounters *counters);

void GbDocumentAcceptance_Finish(struct GbDocumentAcceptance *self);

/* Accepts a validated document, and takes a reference to it, or refuses it.
 *
 * Errors: GB_COORDINATION_STALE if it is not higher than the highest accepted
 * one, GB_COORDINATION_FULL if GB_PENDING_DOCUMENTS_MAX documents are
 * pending. */
enum GbCoordinationStatus
GbDocumentAcceptance_Offer(struct GbDocumentAcceptance *self,
                           struct GbDocument *document,
                           enum GbDocumentSource source);

/* Records that the document of this head failed validation, so that it is not
 * read again. */
void GbDocumentAcceptance_RefuseInvalid(struct GbDocumentAcceptance *self,
                                        const struct GbDocumentHead *head,
                                        enum GbDocumentSource source);

/* Checks a head that a source offers as its newest one. Audits a conflict or a
 * lower head. Returns true if the document should be read. */
bool GbDocumentAcceptance_CheckHead(struct GbDocumentAcceptance *self,
                                    const struct GbDocumentHead *head,
                                    enum GbDocumentSource source);

/* Returns true if a document of this revision, as announced by a peer, should
 * be read. Audits nothing. */
bool
GbDocumentAcceptance_IsRevisionNeeded(const struct GbDocumentAcceptance *self,
                                      const struct GbRevision *revision);

/* Highest accepted document; NULL if there is none. No reference is taken. */
struct GbDocument *
GbDocumentAcceptance_Highest(const struct GbDocumentAcceptance *self);

/* Monotonic time at which GbDocumentAcceptance_Tick must be called next;
 * GB_TIMER_NEVER if no document is pending. */
int64_t
GbDocumentAcceptance_NextTimerUs(const struct GbDocumentAcceptance *self);

/* Brings the highest pending document that is due into force. Returns true if
 * the document in force has changed. */
bool GbDocumentAcceptance_Tick(struct GbDocumentAcceptance *self);

#endif
