#include "coordination/documents/document_acceptance.h"

#include <glib.h>

#include "state/timer_queue.h"
#include "support/sample_document.h"

#define US_PER_SECOND INT64_C(1000000)
#define WALL_START_US (INT64_C(1900000000) * US_PER_SECOND)
#define STEPS_MAX 10
#define NONE GB_AUDIT_EVENT_END

enum StepKind { STEP_END, STEP_OFFER, STEP_ADVANCE, STEP_WALL_CLOCK };

/* One step and the state expected after it. */
struct Step {
    enum StepKind kind;
    uint64_t revision;
    uint8_t digest;
    uint8_t parent;
    /* STEP_OFFER: in_force_from, from the start of the case on. Otherwise the
     * time by which the clock moves. */
    int64_t time_s;
    enum GbCoordinationStatus status;
    uint64_t in_force;
    uint32_t pending;
    /* Newest audit record after the step; NONE if the step added none. */
    enum GbAuditEvent audited;
};

struct AcceptanceCase {
    const char *name;
    struct Step steps[STEPS_MAX];
};

static const struct AcceptanceCase acceptance_cases[] = {
    {"a due document comes into force at once",
     {{STEP_OFFER, 1, 1, 0, -5, GB_COORDINATION_OK, 1, 0, GB_AUDIT_IN_FORCE}}},
    {"a lower revision is refused",
     {{STEP_OFFER, 2, 1, 0, 0, GB_COORDINATION_OK, 2, 0, GB_AUDIT_IN_FORCE},
      {STEP_OFFER, 1, 9, 0, 0, GB_COORDINATION_STALE, 2, 0,
       GB_AUDIT_REFUSED_LOWER}}},
    {"a repeated document has no effect and no audit record",
     {{STEP_OFFER, 2, 1, 0, 0, GB_COORDINATION_OK, 2, 0, GB_AUDIT_IN_FORCE},
      {STEP_OFFER, 2, 1, 0, 0, GB_COORDINATION_STALE, 2, 0, NONE}}},
    {"a repeated refusal is audited once",
     {{STEP_OFFER, 2, 1, 0, 0, GB_COORDINATION_OK, 2, 0, GB_AUDIT_IN_FORCE},
      {STEP_OFFER, 1, 9, 0, 0, GB_COORDINATION_STALE, 2, 0,
       GB_AUDIT_REFUSED_LOWER},
      {STEP_OFFER, 1, 9, 0, 0, GB_COORDINATION_STALE, 2, 0, NONE}}},
    {"same revision: the higher digest replaces the lower one",
     {{STEP_OFFER, 1, 1, 0, 0, GB_COORDINATION_OK, 1, 0, GB_AUDIT_IN_FORCE},
      {STEP_OFFER, 2, 3, 1, 60, GB_COORDINATION_OK, 1, 1, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 2, 4, 1, 60, GB_COORDINATION_OK, 1, 1,
       GB_AUDIT_PARENT_MISMATCH},
      {STEP_OFFER, 2, 3, 1, 60, GB_COORDINATION_STALE, 1, 1,
       GB_AUDIT_CONFLICT}}},
    {"same revision: the lower digest does not replace the higher one",
     {{STEP_OFFER, 2, 4, 1, 0, GB_COORDINATION_OK, 2, 0, GB_AUDIT_IN_FORCE},
      {STEP_OFFER, 2, 3, 1, 0, GB_COORDINATION_STALE, 2, 0,
       GB_AUDIT_CONFLICT}}},
    {"a document is pending until its in_force_from",
     {{STEP_OFFER, 1, 1, 0, 0, GB_COORDINATION_OK, 1, 0, GB_AUDIT_IN_FORCE},
      {STEP_OFFER, 2, 2, 1, 10, GB_COORDINATION_OK, 1, 1, GB_AUDIT_ACCEPTED},
      {STEP_ADVANCE, 0, 0, 0, 9, GB_COORDINATION_OK, 1, 1, NONE},
      {STEP_ADVANCE, 0, 0, 0, 1, GB_COORDINATION_OK, 2, 0,
       GB_AUDIT_IN_FORCE}}},
    {"of several documents due at once the highest comes into force",
     {{STEP_OFFER, 1, 1, 0, 10, GB_COORDINATION_OK, 0, 1, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 2, 2, 1, 20, GB_COORDINATION_OK, 0, 2, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 3, 3, 2, 90, GB_COORDINATION_OK, 0, 3, GB_AUDIT_ACCEPTED},
      {STEP_ADVANCE, 0, 0, 0, 60, GB_COORDINATION_OK, 2, 1,
       GB_AUDIT_IN_FORCE}}},
    {"a step back of the wall clock does not revert the document in force",
     {{STEP_OFFER, 1, 1, 0, 0, GB_COORDINATION_OK, 1, 0, GB_AUDIT_IN_FORCE},
      {STEP_OFFER, 2, 2, 1, 10, GB_COORDINATION_OK, 1, 1, GB_AUDIT_ACCEPTED},
      {STEP_ADVANCE, 0, 0, 0, 10, GB_COORDINATION_OK, 2, 0, GB_AUDIT_IN_FORCE},
      {STEP_WALL_CLOCK, 0, 0, 0, -3600, GB_COORDINATION_OK, 2, 0, NONE},
      {STEP_OFFER, 1, 1, 0, 0, GB_COORDINATION_STALE, 2, 0,
       GB_AUDIT_REFUSED_LOWER}}},
    {"a step forward of the wall clock brings a pending document into force",
     {{STEP_OFFER, 1, 1, 0, 600, GB_COORDINATION_OK, 0, 1, GB_AUDIT_ACCEPTED},
      {STEP_WALL_CLOCK, 0, 0, 0, 600, GB_COORDINATION_OK, 1, 0,
       GB_AUDIT_IN_FORCE}}},
    {"a higher document that is due earlier supersedes pending ones",
     {{STEP_OFFER, 1, 1, 0, 600, GB_COORDINATION_OK, 0, 1, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 2, 2, 1, 0, GB_COORDINATION_OK, 2, 0, GB_AUDIT_IN_FORCE},
      {STEP_ADVANCE, 0, 0, 0, 600, GB_COORDINATION_OK, 2, 0, NONE}}},
    {"a fifth pending document is refused until one comes into force",
     {{STEP_OFFER, 1, 1, 0, 10, GB_COORDINATION_OK, 0, 1, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 2, 2, 1, 20, GB_COORDINATION_OK, 0, 2, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 3, 3, 2, 30, GB_COORDINATION_OK, 0, 3, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 4, 4, 3, 40, GB_COORDINATION_OK, 0, 4, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 5, 5, 4, 50, GB_COORDINATION_FULL, 0, 4,
       GB_AUDIT_REFUSED_PENDING_LIMIT},
      {STEP_ADVANCE, 0, 0, 0, 10, GB_COORDINATION_OK, 1, 3, GB_AUDIT_IN_FORCE},
      {STEP_OFFER, 5, 5, 4, 50, GB_COORDINATION_OK, 1, 4, GB_AUDIT_ACCEPTED}}},
    {"a document that is due at once is accepted while four are pending",
     {{STEP_OFFER, 1, 1, 0, 10, GB_COORDINATION_OK, 0, 1, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 2, 2, 1, 20, GB_COORDINATION_OK, 0, 2, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 3, 3, 2, 30, GB_COORDINATION_OK, 0, 3, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 4, 4, 3, 40, GB_COORDINATION_OK, 0, 4, GB_AUDIT_ACCEPTED},
      {STEP_OFFER, 5, 5, 4, 0, GB_COORDINATION_OK, 5, 0, GB_AUDIT_IN_FORCE}}},
    {"a parent that is not the previous document is audited",
     {{STEP_OFFER, 1, 1, 0, 0, GB_COORDINATION_OK, 1, 0, GB_AUDIT_IN_FORCE},
      {STEP_OFFER, 2, 2, 7, 60, GB_COORDINATION_OK, 1, 1,
       GB_AUDIT_PARENT_MISMATCH}}},
};

struct Recorder {
    struct GbDocumentAcceptancePort super;
    struct GbAudit audit;
};

static void
record_audit(struct GbDocumentAcceptancePort *port,
             const struct GbAuditRecord *record)
{
    GbAudit_Add(&((struct Recorder *)port)->audit, record);
}

static const struct GbDocumentAcceptancePortClass recorder_class = {
    .audit = record_audit,
};

struct Fixture {
    struct GbManualClock clock;
    struct GbCounters counters;
    struct Recorder recorder;
    struct GbDocumentAcceptance acceptance;
};

static void
open_fixture(struct Fixture *fixture)
{
    GbManualClock_Init(&fixture->clock, 0, WALL_START_US);
    GbCounters_Init(&fixture->counters);
    fixture->recorder.super.klass = &recorder_class;
    GbAudit_Init(&fixture->recorder.audit);
    GbDocumentAcceptance_Init(&fixture->acceptance, &fixture->recorder.super,
                              &fixture->clock.super, &fixture->counters);
}

static enum GbCoordinationStatus
apply_step(struct Fixture *fixture, const struct Step *step)
{
    enum GbCoordinationStatus status = GB_COORDINATION_OK;
    struct GbDocument *document;

    switch (step->kind) {
    case STEP_OFFER:
        document =
            GbSampleDocument_New(step->revision, step->digest, step->parent,
                                 WALL_START_US + step->time_s * US_PER_SECOND);
        status = GbDocumentAcceptance_Offer(&fixture->acceptance, document,
                                            GB_SOURCE_PLATFORM);
        GbDocument_Unref(document);
        break;
    case STEP_ADVANCE:
        GbManualClock_Advance(&fixture->clock, step->time_s * US_PER_SECOND);
        break;
    default:
        GbManualClock_StepWall(&fixture->clock, step->time_s * US_PER_SECOND);
        break;
    }
    return status;
}

static void
check_step(struct Fixture *fixture, const struct Step *step,
           uint64_t records_before)
{
    const struct GbDocumentAcceptance *acceptance = &fixture->acceptance;
    const struct GbAudit *audit = &fixture->recorder.audit;

    g_assert_cmpuint(acceptance->in_force.document != NULL
                         ? acceptance->in_force.document->revision
                         : 0,
                     ==, step->in_force);
    g_assert_cmpuint(acceptance->pending_count, ==, step->pending);
    if (step->audited == NONE) {
        g_assert_cmpuint(audit->total, ==, records_before);
        return;
    }
    g_assert_cmpuint(audit->total, >, records_before);
    g_assert_cmpstr(
        GbAudit_EventName(GbAudit_At(audit, GbAudit_Count(audit) - 1)->event),
        ==, GbAudit_EventName(step->audited));
}

/* Guards against processes that revert to an older document, or that disagree
 * on the document in force. */
static void
test_order(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(acceptance_cases); i++) {
        const struct AcceptanceCase *row = &acceptance_cases[i];
        struct Fixture fixture;

        g_test_message("%s", row->name);
        open_fixture(&fixture);
        for (const struct Step *step = row->steps;
             step < row->steps + STEPS_MAX && step->kind != STEP_END; step++) {
            uint64_t records_before = fixture.recorder.audit.total;

            g_assert_cmpint(apply_step(&fixture, step), ==, step->status);
            GbDocumentAcceptance_Tick(&fixture.acceptance);
            check_step(&fixture, step, records_before);
        }
        GbDocumentAcceptance_Finish(&fixture.acceptance);
    }
}

/* Guards against an audit trail without the requester of a change or the time
 * at which it came into force. */
static void
test_audit_record(void)
{
    struct Fixture fixture;
    struct GbDocument *document =
        GbSampleDocument_New(7, 8, 0, WALL_START_US + 10 * US_PER_SECOND);
    const struct GbAuditRecord *record;

    open_fixture(&fixture);
    GbDocumentAcceptance_Offer(&fixture.acceptance, document, GB_SOURCE_PEER);
    g_assert_cmpint(GbDocumentAcceptance_NextTimerUs(&fixture.acceptance), <=,
                    US_PER_SECOND);
    GbManualClock_Advance(&fixture.clock, 10 * US_PER_SECOND);
    g_assert_true(GbDocumentAcceptance_Tick(&fixture.acceptance));
    g_assert_cmpint(GbDocumentAcceptance_NextTimerUs(&fixture.acceptance), ==,
                    GB_TIMER_NEVER);
    record = GbAudit_At(&fixture.recorder.audit, 1);
    g_assert_cmpint(record->event, ==, GB_AUDIT_IN_FORCE);
    g_assert_cmpuint(record->head.revision, ==, 7);
    g_assert_cmpmem(record->head.digest, GB_DIGEST_BYTES, document->digest,
                    GB_DIGEST_BYTES);
    g_assert_cmpstr(record->requested_by, ==, "tester");
    g_assert_cmpint(record->source, ==, GB_SOURCE_PEER);
    g_assert_cmpint(record->accepted_at_us, ==, WALL_START_US);
    g_assert_cmpint(record->in_force_at_us, ==,
                    WALL_START_US + 10 * US_PER_SECOND);
    GbDocumentAcceptance_Finish(&fixture.acceptance);
    GbDocument_Unref(document);
}

struct HeadCase {
    const char *name;
    struct GbDocumentHead head;
    bool is_read_needed;
    enum GbAuditEvent audited;
};

static const struct HeadCase head_cases[] = {
    {"higher revision", {3, {0}}, true, NONE},
    {"same revision and digest",
     {2, {5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5, 5}},
     false,
     NONE},
    {"same revision, higher digest", {2, {6}}, true, NONE},
    {"same revision, lower digest", {2, {4}}, false, GB_AUDIT_CONFLICT},
    {"lower revision", {1, {9}}, false, GB_AUDIT_REFUSED_LOWER},
    {"already refused as invalid", {4, {1}}, false, NONE},
};

/* Guards against repeated reads of a document that is not accepted. */
static void
test_check_head(void)
{
    static const struct GbDocumentHead invalid = {4, {1}};

    for (size_t i = 0; i < G_N_ELEMENTS(head_cases); i++) {
        const struct HeadCase *row = &head_cases[i];
        struct GbDocument *document = GbSampleDocument_New(2, 5, 0, 0);
        struct Fixture fixture;
        uint64_t before;

        g_test_message("%s", row->name);
        open_fixture(&fixture);
        GbDocumentAcceptance_Offer(&fixture.acceptance, document,
                                   GB_SOURCE_PLATFORM);
        GbDocumentAcceptance_RefuseInvalid(&fixture.acceptance, &invalid,
                                           GB_SOURCE_PLATFORM);
        before = fixture.recorder.audit.total;
        g_assert_cmpint(GbDocumentAcceptance_CheckHead(&fixture.acceptance,
                                                       &row->head,
                                                       GB_SOURCE_PLATFORM),
                        ==, row->is_read_needed);
        if (row->audited == NONE) {
            g_assert_cmpuint(fixture.recorder.audit.total, ==, before);
        }
        else {
            g_assert_cmpint(
                GbAudit_At(&fixture.recorder.audit, (uint32_t)before)->event,
                ==, row->audited);
        }
        GbDocumentAcceptance_Finish(&fixture.acceptance);
        GbDocument_Unref(document);
    }
}

/* Guards against an audit trail that grows without bound or loses its newest
 * records. */
static void
test_audit_ring(void)
{
    static struct GbAudit audit;

    GbAudit_Init(&audit);
    for (uint64_t i = 1; i <= 3 * GB_AUDIT_RECORDS + 7; i++) {
        struct GbAuditRecord record = {.head = {.revision = i}};

        GbAudit_Add(&audit, &record);
        g_assert_cmpuint(GbAudit_Count(&audit), ==, MIN(i, GB_AUDIT_RECORDS));
        g_assert_cmpuint(
            GbAudit_At(&audit, GbAudit_Count(&audit) - 1)->head.revision, ==,
            i);
        g_assert_cmpuint(GbAudit_At(&audit, 0)->head.revision, ==,
                         i - GbAudit_Count(&audit) + 1);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/document-acceptance/order", test_order);
    g_test_add_func("/document-acceptance/audit-record", test_audit_record);
    g_test_add_func("/document-acceptance/check-head", test_check_head);
    g_test_add_func("/document-acceptance/audit-ring", test_audit_ring);
    return g_test_run();
}
