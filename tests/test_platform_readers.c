#include <glib.h>
#include <string.h>

#include "support/sync_fixture.h"

#define US_PER_SECOND INT64_C(1000000)
#define INSTANCES_MAX 10
#define OWN_ID 50

struct ListedInstance {
    uint64_t id;
    const char *data_centre;
    bool is_leaving;
};

struct ReaderCase {
    const char *name;
    struct ListedInstance instances[INSTANCES_MAX];
    bool is_reader;
};

static const struct ReaderCase reader_cases[] = {
    {"not listed", {{1, "a", false}, {2, "a", false}}, true},
    {"alone", {{OWN_ID, "a", false}}, true},
    {"fourth of its data centre",
     {{OWN_ID, "a", false},
      {1, "a", false},
      {2, "a", false},
      {3, "a", false},
      {60, "a", false}},
     true},
    {"fifth of its data centre",
     {{OWN_ID, "a", false},
      {1, "a", false},
      {2, "a", false},
      {3, "a", false},
      {4, "a", false}},
     false},
    {"fifth of its data centre, one is leaving",
     {{OWN_ID, "a", false},
      {1, "a", true},
      {2, "a", false},
      {3, "a", false},
      {4, "a", false}},
     true},
    {"fifth across two data centres",
     {{OWN_ID, "a", false},
      {1, "b", false},
      {2, "a", false},
      {3, "a", false},
      {4, "a", false}},
     true},
};

/* Guards against a data centre in which no process, or every process, watches
 * the platform. */
static void
test_selection(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reader_cases); i++) {
        const struct ReaderCase *row = &reader_cases[i];
        struct GbInstance instances[INSTANCES_MAX];
        struct GbInstanceList list = {.instances = instances};
        struct GbPeerSelector selector;

        g_test_message("%s", row->name);
        memset(instances, 0, sizeof(instances));
        for (; row->instances[list.count].id != 0; list.count++) {
            const struct ListedInstance *listed = &row->instances[list.count];
            struct GbInstance *instance = &instances[list.count];

            instance->id = listed->id;
            instance->is_leaving = listed->is_leaving;
            g_strlcpy(instance->data_centre, listed->data_centre,
                      GB_NAME_BYTES);
        }
        GbPeerSelector_Init(&selector, OWN_ID);
        GbPeerSelector_SetList(&selector, &list);
        g_assert_true(selector.is_reader == row->is_reader);
        GbPeerSelector_Finish(&selector);
    }
}

struct CallsCase {
    const char *name;
    /* Number of other processes in the data centre, all with lower ids. */
    uint32_t peers;
    bool is_announced;
    /* Maximum number of calls to the platform in 10 minutes. */
    uint32_t calls_max;
    /* Maximum time from the publication of a document until the process has
     * it. */
    int64_t limit_s;
};

static const struct CallsCase calls_cases[] = {
    /* Two watches of 20 s each make 60 calls. */
    {"reader", 3, false, 70, 1},
    /* One such watch, and one poll of the document head per minute. */
    {"not a reader, no peer announces", 5, false, 45, 91},
    {"not a reader, a peer announces", 5, true, 45, 1},
};

/* Guards against a process that is not a reader and receives a document too
 * late, or calls the platform as often as a reader. */
static void
test_platform_calls(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(calls_cases); i++) {
        const struct CallsCase *row = &calls_cases[i];
        const int64_t published_us = 600 * US_PER_SECOND;
        struct SyncFixture fixture;

        g_test_message("%s", row->name);
        GbSyncFixture_Open(&fixture, row->peers);
        GbSyncFixture_PublishDocument(&fixture, 1, 0);
        GbSyncFixture_RunUntil(&fixture, published_us);
        g_assert_cmpuint(fixture.published_revision, ==, 1);
        g_assert_cmpuint(fixture.platform_calls, <=, row->calls_max);
        GbSyncFixture_PublishDocument(&fixture, 2, 0);
        if (row->is_announced) {
            GbSyncFixture_SetPeerDocument(&fixture, 1, 2);
            GbSyncFixture_AnnounceFromPeer(&fixture, 1, 2);
        }
        GbSyncFixture_RunUntil(&fixture,
                               published_us + row->limit_s * US_PER_SECOND);
        g_assert_cmpuint(fixture.published_revision, ==, 2);
        GbSyncFixture_Close(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform-readers/selection", test_selection);
    g_test_add_func("/platform-readers/platform-calls", test_platform_calls);
    return g_test_run();
}
