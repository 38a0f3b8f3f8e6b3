#ifndef GB_TESTS_SUPPORT_HOST_ENTRIES_H
#define GB_TESTS_SUPPORT_HOST_ENTRIES_H

#include "support/watcher_fixture.h"

#define GOOD_KEY "servers/good"
#define ODD_KEY "servers/odd"

#define FIELD_SERVICE "\"service\":\"hints\""
#define FIELD_ADDRESS "\"address\":\"10.1.0.5:8080\""
#define FIELD_ZONE "\"zone\":\"a\""
#define FIELD_SLOTS "\"slots\":2"
#define FIELD_STATE "\"state\":\"ready\""
#define FIELD_COLD "\"coldLeftMs\":0"
#define FIELD_ORIGIN "\"version\":\"v1\",\"seqNo\":4"
#define HOST(service, address, zone, slots, state, cold)                      \
    HOST_FROM(FIELD_ORIGIN, service, address, zone, slots, state, cold)
#define HOST_FROM(origin, service, address, zone, slots, state, cold)         \
    "{" service "," address "," zone "," slots "," state "," cold "," origin  \
    "}"
#define GOOD_HOST                                                             \
    HOST(FIELD_SERVICE, FIELD_ADDRESS, FIELD_ZONE, FIELD_SLOTS, FIELD_STATE,  \
         FIELD_COLD)
/* Host at an address of its own, beside the entries that are judged. */
#define OTHER_HOST(state)                                                     \
    HOST(FIELD_SERVICE, "\"address\":\"10.1.0.6:8080\"", FIELD_ZONE,          \
         FIELD_SLOTS, state, FIELD_COLD)

/* Opens a store with one good host, at GOOD_KEY, and a configuration. */
void GbHostEntries_Open(struct GbWatcherFixture *fixture);

/* Returns how often the view has the host of this key. */
uint32_t GbHostEntries_CountInUse(struct GbWatcherFixture *fixture,
                                  const char *key);

#endif
