#include "protocol/view_delta.h"

#include <string.h>

#include "protocol/reader.h"
#include "protocol/writer.h"

#define RECORD_BYTES_MAX 512

/* Items of each kind of record. */
#define HEAD_ITEMS 6
#define ROUTE_ITEMS 7
#define INSTANCE_ITEMS 10

/* A delta while it is read. */
struct Reading {
    const uint8_t *data;
    size_t size_bytes;
    uint64_t revision;
    bool is_whole;
    uint32_t route_count;
    uint32_t instance_count;
    struct GbRouteTable *routes;
    /* Struct GbViewEntry. */
    GArray *entries;
};

static void
append(GByteArray *out, const struct GbWriter *writer)
{
    g_byte_array_append(out, writer->data, GbWriter_Size(writer));
}

static void
put_text(struct GbWriter *writer, const char *text)
{
    GbWriter_PutBytes(writer, (const uint8_t *)text, (uint32_t)strlen(text));
}

static bool
is_included(const struct GbViewEntry *entry, uint64_t since, bool is_whole)
{
    return is_whole ? !entry->is_removed : entry->revision > since;
}

static void
write_head(GByteArray *out, const struct GbViewStore *keeper, bool is_whole,
           uint32_t route_count, uint32_t instance_count)
{
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbWriter writer;

    GbWriter_Init(&writer, buffer, sizeof(buffer));
    GbWriter_PutArray(&writer, HEAD_ITEMS);
    GbWriter_PutUint(&writer, keeper->revision);
    GbWriter_PutUint(&writer, is_whole);
    GbWriter_PutUint(&writer, route_count);
    GbWriter_PutUint(&writer, instance_count);
    GbWriter_PutUint(&writer,
                     keeper->routes != NULL ? keeper->routes->version : 0);
    GbWriter_PutUint(
        &writer, keeper->routes != NULL ? keeper->routes->idle_timeout_ms : 0);
    append(out, &writer);
}

static void
write_route(GByteArray *out, const struct GbRoute *route)
{
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbWriter writer;

    GbWriter_Init(&writer, buffer, sizeof(buffer));
    GbWriter_PutArray(&writer, ROUTE_ITEMS);
    GbWriter_PutUint(&writer, route->address.ipv4);
    GbWriter_PutUint(&writer, route->address.port);
    GbWriter_PutUint(&writer, route->service_id);
    GbWriter_PutUint(&writer, route->kind);
    GbWriter_PutUint(&writer, route->timeout_ms);
    GbWriter_PutUint(&writer, route->latency_goal_ms);
    GbWriter_PutUint(&writer, route->priority);
    append(out, &writer);
}

static void
write_entry(GByteArray *out, const struct GbViewEntry *entry)
{
    const struct GbInstance *instance = &entry->instance;
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbWriter writer;

    GbWriter_Init(&writer, buffer, sizeof(buffer));
    GbWriter_PutArray(&writer, INSTANCE_ITEMS);
    put_text(&writer, instance->name);
    put_text(&writer, instance->service);
    put_text(&writer, instance->data_centre);
    GbWriter_PutUint(&writer, instance->address.ipv4);
    GbWriter_PutUint(&writer, instance->address.port);
    GbWriter_PutUint(&writer, instance->weight);
    GbWriter_PutUint(&writer, instance->cold_ms);
    GbWriter_PutUint(&writer, instance->is_leaving);
    GbWriter_PutUint(&writer, entry->revision);
    GbWriter_PutUint(&writer, entry->is_removed);
    append(out, &writer);
}

static bool
end_record(struct Reading *self, struct GbReader *reader)
{
    size_t used_bytes;

    if (!GbReader_FinishPart(reader, &used_bytes)) {
        return false;
    }
    self->data += used_bytes;
    self->size_bytes -= used_bytes;
    return true;
}

static bool
read_head(struct Reading *self, uint64_t *version, uint32_t *idle_timeout_ms)
{
    struct GbReader reader;

    GbReader_Init(&reader, self->data, self->size_bytes);
    self->revision = GbReader_Uint(&reader, UINT64_MAX);
    self->is_whole = GbReader_Uint(&reader, 1) == 1;
    self->route_count = (uint32_t)GbReader_Uint(&reader, GB_ROUTES_MAX);
    self->instance_count = (uint32_t)GbReader_Uint(&reader, GB_INSTANCES_MAX);
    *version = GbReader_Uint(&reader, UINT64_MAX);
    *idle_timeout_ms = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    return end_record(self, &reader);
}

static bool
read_route(struct Reading *self, struct GbRoute *route)
{
    struct GbReader reader;

    memset(route, 0, sizeof(*route));
    GbReader_Init(&reader, self->data, self->size_bytes);
    route->address.ipv4 = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    route->address.port = (uint16_t)GbReader_Uint(&reader, UINT16_MAX);
    route->service_id = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    route->kind = (enum GbRouteKind)GbReader_Uint(&reader, GB_ROUTE_DOWNLOAD);
    route->timeout_ms = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    route->latency_goal_ms = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    route->priority = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    return end_record(self, &reader);
}

static void
read_text(struct GbReader *reader, char text[GB_NAME_BYTES])
{
    struct GbBytes bytes = GbReader_Bytes(reader, GB_NAME_BYTES - 1);

    if (bytes.size_bytes > 0) {
        memcpy(text, bytes.data, bytes.size_bytes);
    }
}

static bool
read_entry(struct Reading *self, struct GbViewEntry *entry)
{
    struct GbInstance *instance = &entry->instance;
    struct GbReader reader;

    memset(entry, 0, sizeof(*entry));
    GbReader_Init(&reader, self->data, self->size_bytes);
    read_text(&reader, instance->name);
    read_text(&reader, instance->service);
    read_text(&reader, instance->data_centre);
    instance->id = GbInstance_IdOfName(instance->name);
    instance->role = GB_ROLE_AGENT;
    instance->service_id = GbRouteTable_ServiceId(instance->service);
    instance->address.ipv4 = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    instance->address.port = (uint16_t)GbReader_Uint(&reader, UINT16_MAX);
    instance->weight = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    instance->cold_ms = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    instance->is_leaving = GbReader_Uint(&reader, 1) == 1;
    entry->revision = GbReader_Uint(&reader, UINT64_MAX);
    entry->is_removed = GbReader_Uint(&reader, 1) == 1;
    return end_record(self, &reader);
}

static bool
read_routes(struct Reading *self, uint64_t version, uint32_t idle_timeout_ms)
{
    struct GbRoute *routes = g_new(struct GbRoute, self->route_count);
    uint32_t at = 0;

    while (at < self->route_count && read_route(self, &routes[at])) {
        at++;
    }
    if (at == self->route_count && at > 0) {
        self->routes = GbRouteTable_New(version, idle_timeout_ms, routes, at);
    }
    g_free(routes);
    return at == self->route_count;
}

static bool
read_all(struct Reading *self)
{
    uint64_t version;
    uint32_t idle_timeout_ms;

    if (!read_head(self, &version, &idle_timeout_ms) ||
        !read_routes(self, version, idle_timeout_ms)) {
        return false;
    }
    for (uint32_t i = 0; i < self->instance_count; i++) {
        struct GbViewEntry entry;

        if (!read_entry(self, &entry)) {
            return false;
        }
        g_array_append_val(self->entries, entry);
    }
    return self->size_bytes == 0;
}

static void
apply_whole(struct GbViewStore *keeper, const struct Reading *reading)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->version = reading->revision;
    list->count = reading->entries->len;
    list->instances = g_new(struct GbInstance, list->count);
    for (uint32_t i = 0; i < list->count; i++) {
        list->instances[i] =
            g_array_index(reading->entries, struct GbViewEntry, i).instance;
    }
    GbViewStore_SetInstances(keeper, list);
    GbInstanceList_Unref(list);
}

static void
apply_changes(struct GbViewStore *keeper, const struct Reading *reading)
{
    for (guint i = 0; i < reading->entries->len; i++) {
        const struct GbViewEntry *entry =
            &g_array_index(reading->entries, struct GbViewEntry, i);

        if (entry->is_removed) {
            GbViewStore_RemoveInstance(keeper, entry->instance.id,
                                       entry->revision);
        }
        else {
            GbViewStore_PutInstance(keeper, &entry->instance, entry->revision);
        }
    }
    GbViewStore_AdvanceRevision(keeper, reading->revision);
}

GByteArray *
GbViewDelta_Write(const struct GbViewStore *keeper,
                  const struct GbViewVersion *since)
{
    bool is_whole = !GbViewStore_HasChangesSince(keeper, since->revision);
    const struct GbRouteTable *routes = keeper->routes;
    GByteArray *out = g_byte_array_new();
    uint32_t instance_count = 0;
    uint32_t route_count = 0;
    GHashTableIter entries;
    gpointer value;

    if (routes != NULL && routes->version > since->routes_version) {
        route_count = routes->count;
    }
    g_hash_table_iter_init(&entries, keeper->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        instance_count += is_included(value, since->revision, is_whole);
    }
    write_head(out, keeper, is_whole, route_count, instance_count);
    for (uint32_t i = 0; i < route_count; i++) {
        write_route(out, &routes->routes[i]);
    }
    g_hash_table_iter_init(&entries, keeper->entries);
    while (g_hash_table_iter_next(&entries, NULL, &value)) {
        if (is_included(value, since->revision, is_whole)) {
            write_entry(out, value);
        }
    }
    return out;
}

enum GbProtocolStatus
GbViewDelta_Apply(struct GbViewStore *keeper, const uint8_t *data,
                  size_t size_bytes)
{
    struct Reading reading = {.data = data, .size_bytes = size_bytes};
    enum GbProtocolStatus status = GB_PROTOCOL_MALFORMED;

    reading.entries = g_array_new(FALSE, FALSE, sizeof(struct GbViewEntry));
    if (read_all(&reading)) {
        status = GB_PROTOCOL_OK;
        if (reading.routes != NULL) {
            GbViewStore_SetRoutes(keeper, reading.routes);
        }
        if (reading.is_whole) {
            apply_whole(keeper, &reading);
        }
        else if (keeper->has_list) {
            apply_changes(keeper, &reading);
        }
    }
    GbRouteTable_Unref(reading.routes);
    g_array_free(reading.entries, TRUE);
    return status;
}
