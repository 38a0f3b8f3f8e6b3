#include "support/host_entries.h"

#include "store_item.h"

#define CONFIG                                                                \
    "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"198.18.0.1\","     \
    "\"prefix\":\"/443/\",\"kind\":\"idempotent\",\"timeoutMs\":1000,"        \
    "\"latencyGoalMs\":100,\"priority\":2,\"service\":\"hints\"}],"           \
    "\"services\":[],\"limits\":{}}"

void
GbHostEntries_Open(struct GbWatcherFixture *fixture)
{
    fixture->store.host_key = GOOD_KEY;
    fixture->store.host_value = OTHER_HOST(FIELD_STATE);
    fixture->store.config_value = CONFIG;
    fixture->store.config_revision = 5;
    fixture->store.revision = 10;
    GbWatcherFixture_Open(fixture);
}

uint32_t
GbHostEntries_CountInUse(struct GbWatcherFixture *fixture, const char *key)
{
    struct GbRoutingView *view;
    uint32_t count = 0;

    fixture->view_store.is_changed = true;
    view = GbViewStore_TakeView(&fixture->view_store);
    g_assert_nonnull(view);
    for (uint32_t i = 0; i < view->list->count; i++) {
        if (view->list->instances[i].id == GbStoreItem_InstanceId(key)) {
            count++;
        }
    }
    GbRoutingView_Unref(view);
    return count;
}
