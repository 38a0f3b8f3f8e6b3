#include <glib.h>

#include "support/sync_fixture.h"

#define US_PER_SECOND INT64_C(1000000)
#define EVENTS_MAX 8
#define ALL_PEERS (-1)
#define NEVER_READY UINT32_MAX

enum EventKind {
    EVENT_END,
    /* value: enum PlatformMode */
    EVENT_PLATFORM_MODE,
    /* value: revision; extra: in_force_from in seconds after the start */
    EVENT_PUBLISH,
    /* value: version; extra: number of peers */
    EVENT_INSTANCES,
    /* value: enum PeerMode; extra: peer or ALL_PEERS */
    EVENT_PEER_MODE,
    /* value: revision; extra: peer whose document it is */
    EVENT_PEER_DOCUMENT,
    /* value: revision; extra: peer that announces it */
    EVENT_ANNOUNCE,
    /* value: seconds */
    EVENT_STEP_WALL
};

struct Event {
    uint32_t at_s;
    enum EventKind kind;
    int64_t value;
    int64_t extra;
};

struct SyncCase {
    const char *name;
    uint64_t peers;
    struct Event events[EVENTS_MAX];
    uint32_t run_s;
    uint32_t in_force;
    /* Latest time at which the process must be ready. */
    uint32_t ready_ms;
    uint32_t pulls_min;
    uint32_t pulls_max;
    uint32_t reads_max;
    enum GbAuditEvent audited;
    uint32_t lists_refused;
};

static const struct SyncCase sync_cases[] = {
    {"without peers the process is ready at once",
     0,
     {{0, EVENT_PUBLISH, 1, 0}},
     5,
     1,
     50,
     0,
     0,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"pulls from three of many peers before it is ready",
     10,
     {{0, EVENT_PUBLISH, 1, 0}},
     5,
     1,
     100,
     3,
     3,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"pulls once from each of two peers before it is ready",
     2,
     {{0, EVENT_PUBLISH, 1, 0}},
     5,
     1,
     100,
     2,
     2,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"a peer has a newer document than a stale platform",
     3,
     {{0, EVENT_PUBLISH, 4, 0}, {0, EVENT_PEER_DOCUMENT, 6, 1}},
     5,
     6,
     100,
     3,
     3,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"failed pulls are retried at other peers",
     10,
     {{0, EVENT_PUBLISH, 1, 0}, {0, EVENT_PEER_MODE, PEER_FAILING, ALL_PEERS}},
     8,
     1,
     1000,
     6,
     6,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"unresponsive peers delay readiness for a limited time",
     10,
     {{0, EVENT_PUBLISH, 1, 0},
      {0, EVENT_PEER_MODE, PEER_UNRESPONSIVE, ALL_PEERS}},
     10,
     1,
     6100,
     3,
     3,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"never ready while the platform is down",
     0,
     {{0, EVENT_PLATFORM_MODE, PLATFORM_DOWN, 0}, {0, EVENT_PUBLISH, 1, 0}},
     60,
     0,
     NEVER_READY,
     0,
     0,
     0,
     GB_AUDIT_EVENT_END,
     0},
    {"a recovered platform is called within the longest backoff",
     0,
     {{0, EVENT_PLATFORM_MODE, PLATFORM_DOWN, 0},
      {0, EVENT_PUBLISH, 1, 0},
      {600, EVENT_PLATFORM_MODE, PLATFORM_NORMAL, 0}},
     700,
     1,
     665000,
     0,
     0,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"a change on the platform is in force within 9 s",
     0,
     {{0, EVENT_PUBLISH, 1, 0}, {60, EVENT_PUBLISH, 2, 0}},
     69,
     2,
     50,
     0,
     0,
     2,
     GB_AUDIT_IN_FORCE,
     0},
    {"a document is not in force before its in_force_from",
     0,
     {{0, EVENT_PUBLISH, 1, 0}, {60, EVENT_PUBLISH, 2, 120}},
     119,
     1,
     50,
     0,
     0,
     2,
     GB_AUDIT_ACCEPTED,
     0},
    {"a pending document comes into force at its in_force_from",
     0,
     {{0, EVENT_PUBLISH, 1, 0}, {60, EVENT_PUBLISH, 2, 120}},
     121,
     2,
     50,
     0,
     0,
     2,
     GB_AUDIT_IN_FORCE,
     0},
    {"a step back of the wall clock does not revert the document",
     0,
     {{0, EVENT_PUBLISH, 1, 0},
      {60, EVENT_PUBLISH, 2, 60},
      {80, EVENT_STEP_WALL, -7200, 0}},
     200,
     2,
     50,
     0,
     0,
     2,
     GB_AUDIT_IN_FORCE,
     0},
    {"an older head of the platform does not revert the document",
     0,
     {{0, EVENT_PUBLISH, 5, 0}, {60, EVENT_PUBLISH, 3, 0}},
     200,
     5,
     50,
     0,
     0,
     1,
     GB_AUDIT_REFUSED_LOWER,
     0},
    {"an announced document is pulled from the announcing peer",
     3,
     {{0, EVENT_PUBLISH, 1, 0},
      {30, EVENT_PLATFORM_MODE, PLATFORM_DOWN, 0},
      {60, EVENT_PEER_DOCUMENT, 2, 1},
      {60, EVENT_ANNOUNCE, 2, 1}},
     62,
     2,
     100,
     4,
     4,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"after a timed-out pull the next announcing peer is used",
     3,
     {{0, EVENT_PUBLISH, 1, 0},
      {60, EVENT_PEER_MODE, PEER_UNRESPONSIVE, ALL_PEERS},
      {60, EVENT_PEER_DOCUMENT, 2, 1},
      {60, EVENT_ANNOUNCE, 2, 0},
      {61, EVENT_PEER_MODE, PEER_NORMAL, ALL_PEERS},
      {61, EVENT_ANNOUNCE, 2, 1}},
     64,
     2,
     100,
     5,
     5,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"after a timed-out pull a random peer is used",
     3,
     {{0, EVENT_PUBLISH, 1, 0},
      {60, EVENT_PEER_DOCUMENT, 2, 1},
      {60, EVENT_PEER_DOCUMENT, 2, 2},
      {60, EVENT_PEER_MODE, PEER_UNRESPONSIVE, 0},
      {60, EVENT_ANNOUNCE, 2, 0}},
     68,
     2,
     100,
     5,
     6,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"false announcements cause at most one pull a second",
     3,
     {{0, EVENT_PUBLISH, 1, 0},
      {60, EVENT_ANNOUNCE, 9, 0},
      {61, EVENT_ANNOUNCE, 9, 1},
      {61, EVENT_ANNOUNCE, 9, 2}},
     62,
     1,
     100,
     4,
     5,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"an announcement from an unlisted address is ignored",
     3,
     {{0, EVENT_PUBLISH, 1, 0},
      {60, EVENT_PEER_DOCUMENT, 2, 9},
      {60, EVENT_ANNOUNCE, 2, 9}},
     70,
     1,
     100,
     3,
     3,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"an announcement of the accepted revision is ignored",
     3,
     {{0, EVENT_PUBLISH, 1, 0}, {60, EVENT_ANNOUNCE, 1, 0}},
     70,
     1,
     100,
     3,
     3,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"the bytes of another document are not accepted",
     0,
     {{0, EVENT_PUBLISH, 1, 0},
      {30, EVENT_PLATFORM_MODE, PLATFORM_WRONG_DOCUMENT, 0},
      {30, EVENT_PUBLISH, 2, 0}},
     90,
     1,
     50,
     0,
     0,
     10,
     GB_AUDIT_IN_FORCE,
     0},
    {"an invalid document is read once",
     0,
     {{0, EVENT_PUBLISH, 1, 0},
      {30, EVENT_PLATFORM_MODE, PLATFORM_INVALID, 0},
      {30, EVENT_PUBLISH, 2, 0}},
     600,
     1,
     50,
     0,
     0,
     2,
     GB_AUDIT_REFUSED_INVALID,
     0},
    {"an empty first instance list is accepted",
     0,
     {{0, EVENT_INSTANCES, 1, SYNC_LIST_EMPTY}, {0, EVENT_PUBLISH, 1, 0}},
     5,
     1,
     50,
     0,
     0,
     1,
     GB_AUDIT_IN_FORCE,
     0},
    {"an instance list of a lower version is refused",
     5,
     {{0, EVENT_INSTANCES, 7, 5},
      {0, EVENT_PUBLISH, 1, 0},
      {60, EVENT_INSTANCES, 6, 0}},
     120,
     1,
     100,
     3,
     3,
     1,
     GB_AUDIT_IN_FORCE,
     1},
    {"an empty instance list does not replace a non-empty one",
     5,
     {{0, EVENT_PUBLISH, 1, 0}, {60, EVENT_INSTANCES, 9, SYNC_LIST_EMPTY}},
     120,
     1,
     100,
     3,
     3,
     1,
     GB_AUDIT_IN_FORCE,
     1},
};

static void
apply_event(struct SyncFixture *fixture, const struct Event *event)
{
    switch (event->kind) {
    case EVENT_PLATFORM_MODE:
        fixture->platform_mode = (enum PlatformMode)event->value;
        break;
    case EVENT_PUBLISH:
        GbSyncFixture_PublishDocument(fixture, (uint64_t)event->value,
                                      event->extra);
        break;
    case EVENT_INSTANCES:
        GbSyncFixture_PublishInstances(fixture, (uint64_t)event->value,
                                       (uint32_t)event->extra);
        break;
    case EVENT_PEER_MODE:
        for (int i = 0; i < SYNC_PEERS_MAX; i++) {
            if (event->extra == ALL_PEERS || event->extra == i) {
                fixture->peer_modes[i] = (enum PeerMode)event->value;
            }
        }
        break;
    case EVENT_PEER_DOCUMENT:
        GbSyncFixture_SetPeerDocument(fixture, (uint32_t)event->extra,
                                      (uint64_t)event->value);
        break;
    case EVENT_ANNOUNCE:
        GbSyncFixture_AnnounceFromPeer(fixture, (uint32_t)event->extra,
                                       (uint64_t)event->value);
        break;
    default:
        GbManualClock_StepWall(&fixture->clock, event->value * US_PER_SECOND);
        break;
    }
}

static void
run_events(struct SyncFixture *fixture, const struct Event *events,
           uint32_t run_s)
{
    for (const struct Event *event = events;
         event < events + EVENTS_MAX && event->kind != EVENT_END; event++) {
        GbSyncFixture_RunUntil(fixture, event->at_s * US_PER_SECOND);
        apply_event(fixture, event);
    }
    GbSyncFixture_RunUntil(fixture, run_s * US_PER_SECOND);
}

static void
check_result(const struct SyncFixture *fixture, const struct SyncCase *row)
{
    const struct GbDocument *in_force = fixture->acceptance.in_force.document;

    g_assert_cmpuint(in_force != NULL ? in_force->revision : 0, ==,
                     row->in_force);
    g_assert_cmpuint(fixture->reverted_to, ==, 0);
    if (row->ready_ms == NEVER_READY) {
        g_assert_cmpint(fixture->ready_us, ==, -1);
        g_assert_cmpuint(fixture->published, ==, 0);
    }
    else {
        g_assert_cmpint(fixture->ready_us, >=, 0);
        g_assert_cmpint(fixture->ready_us / 1000, <=, row->ready_ms);
    }
    g_assert_cmpuint(fixture->pulls, >=, row->pulls_min);
    g_assert_cmpuint(fixture->pulls, <=, row->pulls_max);
    g_assert_cmpuint(fixture->active_pulls_max, <=, 1);
    g_assert_cmpuint(fixture->document_reads, <=, row->reads_max);
    g_assert_cmpuint(
        fixture->counters.values[GB_COUNTER_INSTANCE_LISTS_REFUSED], ==,
        row->lists_refused);
    if (row->audited != GB_AUDIT_EVENT_END) {
        const struct GbAuditRecord *record =
            GbAudit_At(&fixture->audit, GbAudit_Count(&fixture->audit) - 1);

        g_assert_cmpstr(GbAudit_EventName(record->event), ==,
                        GbAudit_EventName(row->audited));
    }
}

/* Guards against processes that start with an outdated document, that miss a
 * change while the platform or peers fail, or that revert to an older
 * document. */
static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sync_cases); i++) {
        const struct SyncCase *row = &sync_cases[i];
        struct SyncFixture fixture;

        g_test_message("%s", row->name);
        GbSyncFixture_Open(&fixture, (uint32_t)row->peers);
        run_events(&fixture, row->events, row->run_s);
        check_result(&fixture, row);
        GbSyncFixture_Close(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/document-sync/cases", test_cases);
    return g_test_run();
}
