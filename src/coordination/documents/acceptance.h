#ifndef GB_COORDINATION_DOCUMENTS_ACCEPTANCE_H
#define GB_COORDINATION_DOCUMENTS_ACCEPTANCE_H

#include "coordination/status.h"
#include "state/audit.h"
#include "state/clock.h"
#include "state/counters.h"
#include "state/document.h"

/* Accepted documents that wait for their in_force_from. */
#define GB_PENDING_MAX 4

struct GbAcceptancePort;

/* What the acceptance of documents causes. */
struct GbAcceptancePortClass {
    void (*audit)(struct GbAcceptancePort *self,
                  const struct GbAuditRecord *record);
};

struct GbAcceptancePort {
    const struct GbAcceptancePortClass *klass;
};

struct GbAcceptedDocument {
    struct GbDocument *document;
    enum GbDocumentSource source;
    /* Wall times; 0 if it has not happened. */
    int64_t accepted_at_us;
    int64_t in_force_at_us;
};

/* Documents that a process has accepted: the one in force and those that wait
 * for their time. The highest accepted one is never replaced by a lower. */
struct GbAcceptance {
    struct GbAcceptancePort *port;
    struct GbClock *clock;
    struct GbCounters *counters;
    /* document is NULL until one has come into force. */
    struct GbAcceptedDocument in_force;
    /* Ascending, both in the order of documents and in in_force_from. */
    struct GbAcceptedDocument pending[GB_PENDING_MAX];
    uint32_t pending_count;
    /* The last refusal, which is reported once however often it is
     * repeated. */
    enum GbAuditEvent refused_event;
    struct GbDocumentHead refused;
};

/* All arguments must outlive self. */
void GbAcceptance_Init(struct GbAcceptance *self,
                       struct GbAcceptancePort *port, struct GbClock *clock,
                       struct GbCounters *counters);

void GbAcceptance_Finish(struct GbAcceptance *self);

/* Offers a checked document. A reference is taken if it is accepted.
 *
 * Errors: GB_COORDINATION_STALE if it is not higher than the highest accepted
 * one, GB_COORDINATION_FULL if too many are pending. */
enum GbCoordinationStatus GbAcceptance_Offer(struct GbAcceptance *self,
                                             struct GbDocument *document,
                                             enum GbDocumentSource source);

/* The document of this head did not pass its checks. */
void GbAcceptance_RefuseInvalid(struct GbAcceptance *self,
                                const struct GbDocumentHead *head,
                                enum GbDocumentSource source);

/* A source names this head as its newest. Reports a conflict or an older one.
 * Returns whether the document should be read. */
bool GbAcceptance_Wants(struct GbAcceptance *self,
                        const struct GbDocumentHead *head,
                        enum GbDocumentSource source);

/* As GbAcceptance_Wants, for the short form that peers announce. Reports
 * nothing. */
bool GbAcceptance_WantsRevision(const struct GbAcceptance *self,
                                const struct GbRevision *revision);

/* Highest accepted document; NULL if there is none. */
struct GbDocument *GbAcceptance_Highest(const struct GbAcceptance *self);

/* Next time of the monotonic clock at which GbAcceptance_Tick is wanted;
 * GB_TIMER_NEVER if not at all. */
int64_t GbAcceptance_NextTimerUs(const struct GbAcceptance *self);

/* Brings into force what has come due. Returns whether the document in force
 * is another one. */
bool GbAcceptance_Tick(struct GbAcceptance *self);

#endif
