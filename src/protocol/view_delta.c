#include "protocol/view_delta.h"

#include <string.h>

#include "protocol/msgpack_reader.h"
#include "protocol/msgpack_writer.h"
#include "protocol/route_codec.h"
#include "protocol/view_record_codec.h"
#include "state/store_position.h"

/* More than the largest record. */
#define RECORD_BYTES_MAX 512

/* Number of items of the header. */
#define BASIC_HEADER_ITEM_COUNT 6
#define HEADER_ITEM_COUNT 10

/* Part of the view that a delta contains, and its format. */
struct DeltaContent {
    uint32_t format;
    bool is_full;
    bool has_routes;
    uint64_t since_revision;
    uint32_t instance_count;
};

/* State of the decoding of one delta. */
struct DeltaReader {
    const uint8_t *data;
    size_t size_bytes;
    uint32_t format;
    uint64_t revision;
    bool is_full;
    bool is_reduced;
    uint32_t route_count;
    uint32_t instance_count;
    uint32_t service_count;
    uint32_t evacuation_count;
    struct GbRouteTable *routes;
    struct GbEvacuation evacuations[GB_DATA_CENTRES_MAX];
    /* Struct GbViewEntry. */
    GArray *entries;
};

static void
append_record(GByteArray *out, const struct GbMsgpackWriter *writer)
{
    g_byte_array_append(out, writer->data, GbMsgpackWriter_Size(writer));
}

static bool
is_included(const struct GbViewEntry *entry,
            const struct DeltaContent *content)
{
    return content->is_full ? !entry->is_removed
                            : entry->revision > content->since_revision;
}

static void
choose_content(struct DeltaContent *content, const struct GbViewStore *store,
               const struct GbViewDeltaRequest *request)
{
    const struct GbRouteTable *routes = store->routes;

    content->format = request->format >= GB_VIEW_DELTA_FORMAT
                          ? GB_VIEW_DELTA_FORMAT
                          : GB_VIEW_DELTA_FORMAT_BASIC;
    content->since_revision = request->since.revision;
    content->is_full =
        !GbViewStore_HasChangesSince(store, request->since.revision);
    content->has_routes =
        routes != NULL && (request->is_reduced ||
                           routes->version > request->since.routes_version);
    content->instance_count = 0;
    for (guint i = 0; i < store->entries->len; i++) {
        content->instance_count +=
            is_included(store->entries->pdata[i], content);
    }
}

static void
write_header(GByteArray *out, const struct GbViewStore *store,
             const struct DeltaContent *content)
{
    bool is_basic = content->format == GB_VIEW_DELTA_FORMAT_BASIC;
    const struct GbRouteTable *routes = store->routes;
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, sizeof(buffer));
    GbMsgpackWriter_WriteArrayHeader(
        &writer, is_basic ? BASIC_HEADER_ITEM_COUNT : HEADER_ITEM_COUNT);
    GbMsgpackWriter_WriteUint(&writer, store->revision);
    GbMsgpackWriter_WriteUint(&writer, content->is_full);
    GbMsgpackWriter_WriteUint(&writer,
                              content->has_routes ? routes->count : 0);
    GbMsgpackWriter_WriteUint(&writer, content->instance_count);
    GbMsgpackWriter_WriteUint(&writer, routes != NULL ? routes->version : 0);
    GbMsgpackWriter_WriteUint(&writer,
                              routes != NULL ? routes->idle_timeout_ms : 0);
    if (!is_basic) {
        GbMsgpackWriter_WriteUint(&writer, content->format);
        GbMsgpackWriter_WriteUint(&writer, store->is_reduced);
        GbMsgpackWriter_WriteUint(
            &writer, content->has_routes ? routes->service_count : 0);
        GbMsgpackWriter_WriteUint(&writer, store->evacuations.count);
    }
    append_record(out, &writer);
}

static void
write_routes(GByteArray *out, const struct GbRouteTable *routes,
             uint32_t format)
{
    for (uint32_t i = 0; i < routes->count; i++) {
        GbRouteCodec_Write(out, &routes->routes[i], format);
    }
    if (format == GB_VIEW_DELTA_FORMAT_BASIC) {
        return;
    }
    for (uint32_t i = 0; i < routes->service_count; i++) {
        GbViewRecordCodec_WriteService(out, &routes->services[i]);
    }
}

static void
skip(struct DeltaReader *self, size_t used_bytes)
{
    self->data += used_bytes;
    self->size_bytes -= used_bytes;
}

static bool
finish_header(struct DeltaReader *self, struct GbMsgpackReader *reader)
{
    size_t used_bytes;

    if (!GbMsgpackReader_FinishArray(reader, &used_bytes)) {
        return false;
    }
    skip(self, used_bytes);
    return true;
}

/* A basic header has no format number and is told by its number of items. */
static bool
read_header(struct DeltaReader *self, uint64_t *version,
            uint32_t *idle_timeout_ms)
{
    struct GbMsgpackReader reader;

    GbMsgpackReader_Init(&reader, self->data, self->size_bytes);
    self->format = reader.items_left == BASIC_HEADER_ITEM_COUNT
                       ? GB_VIEW_DELTA_FORMAT_BASIC
                       : GB_VIEW_DELTA_FORMAT;
    self->is_reduced = self->format == GB_VIEW_DELTA_FORMAT_BASIC;
    self->revision = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    self->is_full = GbMsgpackReader_ReadUint(&reader, 1) == 1;
    self->route_count =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_ROUTES_MAX);
    self->instance_count =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_INSTANCES_MAX);
    *version = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    *idle_timeout_ms = (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    if (self->format != GB_VIEW_DELTA_FORMAT_BASIC) {
        uint64_t format =
            GbMsgpackReader_ReadUint(&reader, GB_VIEW_DELTA_FORMAT);

        self->is_reduced = GbMsgpackReader_ReadUint(&reader, 1) == 1;
        self->service_count =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_SERVICES_MAX);
        self->evacuation_count =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_DATA_CENTRES_MAX);
        return finish_header(self, &reader) && format == GB_VIEW_DELTA_FORMAT;
    }
    return finish_header(self, &reader);
}

static bool
read_entry(struct DeltaReader *self, struct GbViewEntry *entry)
{
    size_t used_bytes;

    if (!GbViewRecordCodec_ReadEntry(entry, self->data, self->size_bytes,
                                     self->format, &used_bytes)) {
        return false;
    }
    skip(self, used_bytes);
    return true;
}

static bool
read_evacuation(struct DeltaReader *self, struct GbEvacuation *evacuation)
{
    size_t used_bytes;

    if (!GbViewRecordCodec_ReadEvacuation(evacuation, self->data,
                                          self->size_bytes, &used_bytes)) {
        return false;
    }
    skip(self, used_bytes);
    return true;
}

static bool
read_service(struct DeltaReader *self, struct GbServiceSettings *settings)
{
    size_t used_bytes;

    if (!GbViewRecordCodec_ReadService(settings, self->data, self->size_bytes,
                                       &used_bytes)) {
        return false;
    }
    skip(self, used_bytes);
    return true;
}

static bool
read_services(struct DeltaReader *self)
{
    struct GbServiceSettings *services =
        g_new(struct GbServiceSettings, self->service_count);
    uint32_t read_count = 0;

    while (read_count < self->service_count &&
           read_service(self, &services[read_count])) {
        read_count++;
    }
    if (self->routes != NULL && read_count > 0) {
        GbRouteTable_SetServices(self->routes, services, read_count);
    }
    g_free(services);
    return read_count == self->service_count;
}

static bool
read_evacuations(struct DeltaReader *self)
{
    for (uint32_t i = 0; i < self->evacuation_count; i++) {
        if (!read_evacuation(self, &self->evacuations[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_route(struct DeltaReader *self, struct GbRoute *route)
{
    size_t used_bytes;

    if (!GbRouteCodec_Read(route, self->data, self->size_bytes, &used_bytes,
                           self->format)) {
        return false;
    }
    skip(self, used_bytes);
    return true;
}

static bool
read_routes(struct DeltaReader *self, uint64_t version,
            uint32_t idle_timeout_ms)
{
    struct GbRoute *routes = g_new(struct GbRoute, self->route_count);
    uint32_t read_count = 0;

    while (read_count < self->route_count &&
           read_route(self, &routes[read_count])) {
        read_count++;
    }
    if (read_count == self->route_count && read_count > 0) {
        self->routes =
            GbRouteTable_New(version, idle_timeout_ms, routes, read_count);
    }
    g_free(routes);
    return read_count == self->route_count;
}

static bool
read_delta(struct DeltaReader *self)
{
    uint64_t version;
    uint32_t idle_timeout_ms;

    if (!read_header(self, &version, &idle_timeout_ms) ||
        !read_routes(self, version, idle_timeout_ms) || !read_services(self) ||
        !read_evacuations(self)) {
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
apply_full(struct GbViewStore *store, const struct DeltaReader *delta)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->version = delta->revision;
    list->count = delta->entries->len;
    list->instances = g_new(struct GbInstance, list->count);
    for (uint32_t i = 0; i < list->count; i++) {
        const struct GbViewEntry *entry =
            &g_array_index(delta->entries, struct GbViewEntry, i);

        list->instances[i] = entry->instance;
        list->instances[i].revision = entry->revision;
    }
    GbViewStore_SetInstances(store, list);
    GbInstanceList_Unref(list);
}

static void
apply_changes(struct GbViewStore *store, const struct DeltaReader *delta)
{
    for (guint i = 0; i < delta->entries->len; i++) {
        const struct GbViewEntry *entry =
            &g_array_index(delta->entries, struct GbViewEntry, i);

        if (entry->is_removed) {
            GbViewStore_RemoveInstance(store, entry->instance.id,
                                       entry->revision);
        }
        else {
            GbViewStore_PutInstance(store, &entry->instance, entry->revision);
        }
    }
    GbViewStore_AdvanceRevision(store, delta->revision);
}

/* Withdraws what a process with a newer and whole view does not know: the
 * store has lost it, or it was withdrawn before that process read its list. */
static void
withdraw_unknown_evacuations(struct GbViewStore *store,
                             const struct DeltaReader *delta)
{
    struct GbDataCentreSet known;

    GbDataCentreSet_Init(&known);
    for (uint32_t i = 0; i < delta->evacuation_count; i++) {
        GbDataCentreSet_Add(&known, delta->evacuations[i].data_centre);
    }
    GbEvacuations_WithdrawUnlisted(&store->evacuations, &known,
                                   delta->revision);
}

static void
apply_evacuations(struct GbViewStore *store, const struct DeltaReader *delta)
{
    for (uint32_t i = 0; i < delta->evacuation_count; i++) {
        const struct GbEvacuation *evacuation = &delta->evacuations[i];

        if (evacuation->is_withdrawn) {
            GbEvacuations_Withdraw(
                &store->evacuations, evacuation->data_centre,
                evacuation->position, evacuation->use_until_us);
        }
        else {
            GbEvacuations_Order(&store->evacuations, evacuation->data_centre,
                                evacuation->position);
        }
    }
}

/* A reduced delta that advances the view may lack evacuations that the view
 * claims to include then. Only one that is as new as the view makes up for
 * that. */
static void
update_reduced(struct GbViewStore *store, const struct DeltaReader *delta,
               const struct GbViewVersion *before)
{
    struct GbViewVersion after = GbViewStore_Version(store);

    if (delta->is_reduced) {
        GbViewStore_SetReduced(
            store, store->is_reduced || GbViewVersion_IsAhead(&after, before));
    }
    else if (delta->revision >= before->revision &&
             (delta->routes != NULL || store->routes == NULL)) {
        GbViewStore_SetReduced(store, false);
    }
}

/* A view that is not reduced has all evacuations up to its revision, and may
 * have forgotten that one was withdrawn. */
static void
apply_positions(struct GbViewStore *store, const struct DeltaReader *delta,
                const struct GbViewVersion *before)
{
    bool is_newer = delta->revision > before->revision;
    bool completes = store->is_reduced && delta->revision == before->revision;

    if (store->is_reduced || is_newer) {
        apply_evacuations(store, delta);
    }
    if (!delta->is_reduced && (is_newer || completes)) {
        withdraw_unknown_evacuations(store, delta);
    }
    if (delta->is_full) {
        apply_full(store, delta);
    }
    else if (store->has_list) {
        apply_changes(store, delta);
    }
}

/* Routes of a reduced view may lack their backends, so that they do not
 * replace others of the same version. */
static bool
has_better_routes(const struct DeltaReader *delta,
                  const struct GbViewStore *store)
{
    return delta->routes != NULL &&
           (!delta->is_reduced || store->routes == NULL ||
            delta->routes->version > store->routes->version);
}

/* Instances and evacuations of an older era are of before the store was
 * restored. */
static void
apply_delta(struct GbViewStore *store, const struct DeltaReader *delta)
{
    struct GbViewVersion before = GbViewStore_Version(store);

    if (has_better_routes(delta, store)) {
        GbViewStore_SetRoutes(store, delta->routes);
    }
    if (GbStorePosition_Era(delta->revision) >=
        GbStorePosition_Era(before.revision)) {
        apply_positions(store, delta, &before);
    }
    update_reduced(store, delta, &before);
}

GByteArray *
GbViewDelta_Encode(const struct GbViewStore *store,
                   const struct GbViewDeltaRequest *request)
{
    GByteArray *out = g_byte_array_new();
    struct DeltaContent content;

    choose_content(&content, store, request);
    write_header(out, store, &content);
    if (content.has_routes) {
        write_routes(out, store->routes, content.format);
    }
    if (content.format != GB_VIEW_DELTA_FORMAT_BASIC) {
        for (uint32_t i = 0; i < store->evacuations.count; i++) {
            GbViewRecordCodec_WriteEvacuation(out, &store->evacuations,
                                              &store->evacuations.items[i]);
        }
    }
    for (guint i = 0; i < store->entries->len; i++) {
        const struct GbViewEntry *entry = store->entries->pdata[i];

        if (is_included(entry, &content)) {
            GbViewRecordCodec_WriteEntry(out, entry, content.format);
        }
    }
    return out;
}

enum GbProtocolStatus
GbViewDelta_Apply(struct GbViewStore *store, const uint8_t *data,
                  size_t size_bytes)
{
    struct DeltaReader delta = {.data = data, .size_bytes = size_bytes};
    enum GbProtocolStatus status = GB_PROTOCOL_MALFORMED;

    delta.entries = g_array_new(FALSE, FALSE, sizeof(struct GbViewEntry));
    if (read_delta(&delta)) {
        status = GB_PROTOCOL_OK;
        apply_delta(store, &delta);
    }
    GbRouteTable_Unref(delta.routes);
    g_array_free(delta.entries, TRUE);
    return status;
}
