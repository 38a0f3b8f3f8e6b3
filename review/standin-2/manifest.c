#include "manifest.h"

#include <stdio.h>
#include <string.h>

#include "client.h"
#include "store.h"

#define VALUE_BYTES 8192

static int
append_destination(char *value, int used, const struct ManifestRoute *route)
{
    size_t left = VALUE_BYTES - (size_t)used;

    if (route->second == NULL) {
        return used + snprintf(value + used, left, "\"service\":\"%s\",",
                               route->service);
    }
    return used + snprintf(value + used, left,
                           "\"backends\":[{\"service\":\"%s\",\"weight\":%d},"
                           "{\"service\":\"%s\",\"weight\":%d}],",
                           route->service, 100 - route->second_weight,
                           route->second, route->second_weight);
}

static int
append_services(char *value, int used, const struct ManifestRoute *routes,
                int count)
{
    for (int i = 0; i < count; i++) {
        used += snprintf(value + used, VALUE_BYTES - (size_t)used,
                         "%s{\"name\":\"%s\",\"healthPath\":\"/health\","
                         "\"maxConns\":2000,\"protocol\":\"h1\","
                         "\"tls\":false}",
                         i > 0 ? "," : "", routes[i].service);
    }
    return used;
}

void
Manifest_Put(int version, const struct ManifestRoute *routes, int count)
{
    char value[VALUE_BYTES];
    int used = snprintf(value, sizeof(value), "{\"version\":%d,\"routes\":[",
                        version);

    for (int i = 0; i < count; i++) {
        used += snprintf(value + used, sizeof(value) - (size_t)used,
                         "%s{\"name\":\"r-%d\",\"host\":\"" CLIENT_SERVICE_IP
                         "\",\"prefix\":\"/%u/\",\"kind\":\"%s\","
                         "\"timeoutMs\":%d,\"latencyGoalMs\":%d,"
                         "\"priority\":1,",
                         i > 0 ? "," : "", i, routes[i].port, routes[i].kind,
                         routes[i].timeout_ms, routes[i].latency_goal_ms);
        used = append_destination(value, used, &routes[i]);
        used += snprintf(value + used, sizeof(value) - (size_t)used,
                         "\"maxAttempts\":2}");
    }
    used += snprintf(value + used, sizeof(value) - (size_t)used,
                     "],\"services\":[");
    used = append_services(value, used, routes, count);
    snprintf(value + used, sizeof(value) - (size_t)used,
             "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    Store_Put("op/config", value);
}
