#include "support/fleet.h"

#include <glib.h>

#define LOOPBACK 0x7f000001
#define FIRST_PORT 10000

struct GbDocument *
fleet_document(const struct Fleet *fleet)
{
    struct GbDocument *document = GbDocument_New();

    document->revision = 1;
    document->services = g_new0(struct GbService, fleet->services);
    document->service_count = fleet->services;
    for (uint32_t i = 0; i < fleet->services; i++) {
        struct GbService *service = &document->services[i];

        service->id = i + 1;
        g_snprintf(service->name, sizeof(service->name), "service-%u", i + 1);
        service->slots = 2;
        service->limits.flows = 100000;
        service->limits.queue = 100;
        service->limits.rate_per_s = 100000;
        service->drain_flow_ms = 2000;
        service->operations = g_new0(struct GbOperation, 1);
        service->operation_count = 1;
        g_snprintf(service->operations[0].name,
                   sizeof(service->operations[0].name), "operation");
        service->operations[0].id = 1;
        service->operations[0].is_idempotent = true;
        service->operations[0].deadline_ms = 1000;
        service->operations[0].max_answer_bytes = 1 << 20;
    }
    return document;
}

struct GbInstanceList *
fleet_instance_list(const struct Fleet *fleet)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->instances = g_new0(struct GbInstance, fleet->instances);
    list->count = fleet->instances;
    for (uint32_t i = 0; i < fleet->instances; i++) {
        struct GbInstance *instance = &list->instances[i];

        g_snprintf(instance->name, sizeof(instance->name), "instance-%u", i);
        instance->id = GbInstance_IdOfName(instance->name);
        instance->role = GB_ROLE_AGENT;
        g_snprintf(instance->service, sizeof(instance->service), "service-%u",
                   i % fleet->services + 1);
        instance->address.ipv4 = LOOPBACK;
        instance->address.port =
            fleet->port != 0 ? fleet->port : (uint16_t)(FIRST_PORT + i);
        instance->weight = 1;
    }
    return list;
}

struct GbView *
fleet_view(const struct Fleet *fleet)
{
    struct GbDocument *document = fleet_document(fleet);
    struct GbInstanceList *list = fleet_instance_list(fleet);
    struct GbView *view = GbView_New(document, list);

    GbDocument_Unref(document);
    GbInstanceList_Unref(list);
    return view;
}
