#include "protocol/view_delta.h"

#include <string.h>

#include "protocol/msgpack_writer.h"
#include "protocol/route_codec.h"
#include "protocol/view_delta_applier.h"
#include "protocol/view_delta_reader.h"
#include "protocol/view_record_codec.h"

/* More than the largest record. */
#define RECORD_BYTES_MAX 512

#define US_PER_MS INT64_C(1000)

/* Part of the view that a delta contains, and its format. */
struct DeltaContent {
    uint32_t format;
    bool is_full;
    bool has_routes;
    /* Routes that have changed since the version of the receiver, sorted, and
     * those that were removed; NULL if the routes are sent whole. */
    GPtrArray *changed_routes;
    GArray *removed_routes;
    uint64_t base_version;
    uint64_t base_digest;
    uint64_t since_revision;
    uint32_t instance_count;
    struct GbRouteHistory history;
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

static uint32_t
choose_format(const struct GbViewDeltaRequest *request)
{
    if (request->format >= GB_VIEW_DELTA_FORMAT) {
        return GB_VIEW_DELTA_FORMAT;
    }
    return request->format >= GB_VIEW_DELTA_FORMAT_WHOLE_ROUTES
               ? GB_VIEW_DELTA_FORMAT_WHOLE_ROUTES
               : GB_VIEW_DELTA_FORMAT_BASIC;
}

/* Collects what the receiver's version of the routes lacks, if it is known. A
 * reduced view may lack more. */
static void
choose_route_changes(struct DeltaContent *content,
                     const struct GbViewStore *store,
                     const struct GbViewDeltaRequest *request)
{
    GArray *addresses = NULL;

    content->changed_routes = NULL;
    content->removed_routes = NULL;
    content->base_version = 0;
    content->base_digest = 0;
    if (content->has_routes && content->format == GB_VIEW_DELTA_FORMAT &&
        !request->is_reduced && request->since.routes_version != 0) {
        addresses = GbRouteChanges_Since(&store->changes,
                                         request->since.routes_version,
                                         &content->base_digest);
    }
    if (addresses == NULL) {
        return;
    }
    content->base_version = request->since.routes_version;
    content->changed_routes = g_ptr_array_new();
    content->removed_routes =
        g_array_new(FALSE, FALSE, sizeof(struct GbAddress));
    for (guint i = 0; i < addresses->len; i++) {
        const struct GbAddress *address =
            &g_array_index(addresses, struct GbAddress, i);
        const struct GbRoute *route =
            GbRouteTable_Find(store->routes, address);

        if (route != NULL) {
            g_ptr_array_add(content->changed_routes, (gpointer)route);
        }
        else {
            g_array_append_val(content->removed_routes, *address);
        }
    }
    g_array_free(addresses, TRUE);
}

static void
finish_content(struct DeltaContent *content)
{
    if (content->changed_routes != NULL) {
        g_ptr_array_free(content->changed_routes, TRUE);
        g_array_free(content->removed_routes, TRUE);
    }
}

static void
choose_content(struct DeltaContent *content, const struct GbViewStore *store,
               const struct GbViewDeltaRequest *request)
{
    const struct GbRouteTable *routes = store->routes;

    content->format = choose_format(request);
    content->since_revision = request->since.revision;
    content->is_full =
        !GbViewStore_HasChangesSince(store, request->since.revision);
    content->has_routes =
        routes != NULL && (request->is_reduced ||
                           routes->version > request->since.routes_version);
    choose_route_changes(content, store, request);
    content->history = store->history;
    GbRouteHistory_Expire(&content->history,
                          GbClock_MonotonicUs(store->clock));
    content->instance_count = 0;
    for (guint i = 0; i < store->entries->len; i++) {
        content->instance_count +=
            is_included(store->entries->pdata[i], content);
    }
}

static uint32_t
age_ms(struct GbClock *clock, int64_t time_us)
{
    int64_t age = (GbClock_MonotonicUs(clock) - time_us) / US_PER_MS;

    return (uint32_t)CLAMP(age, 0, GB_VIEW_DELTA_HISTORY_AGE_MAX_MS);
}

static uint32_t
count_routes(const struct DeltaContent *content,
             const struct GbRouteTable *routes)
{
    if (!content->has_routes) {
        return 0;
    }
    return content->changed_routes != NULL ? content->changed_routes->len
                                           : routes->count;
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
        &writer, is_basic ? GB_VIEW_DELTA_BASIC_HEADER_ITEM_COUNT
                          : GB_VIEW_DELTA_HEADER_ITEM_COUNT);
    GbMsgpackWriter_WriteUint(&writer, store->revision);
    GbMsgpackWriter_WriteUint(&writer, content->is_full);
    GbMsgpackWriter_WriteUint(&writer, count_routes(content, routes));
    GbMsgpackWriter_WriteUint(&writer, content->instance_count);
    GbMsgpackWriter_WriteUint(&writer, routes != NULL ? routes->version : 0);
    GbMsgpackWriter_WriteUint(&writer,
                              routes != NULL ? routes->idle_timeout_ms : 0);
    if (!is_basic) {
        GbMsgpackWriter_WriteUint(&writer, content->format);
        GbMsgpackWriter_WriteUint(&writer, store->is_reduced);
        GbMsgpackWriter_WriteUint(&writer, content->has_routes);
        GbMsgpackWriter_WriteUint(
            &writer,
            routes != NULL && content->has_routes ? routes->service_count : 0);
        GbMsgpackWriter_WriteUint(&writer, store->evacuations.count);
        GbMsgpackWriter_WriteUint(&writer, content->history.count);
        GbMsgpackWriter_WriteUint(
            &writer, age_ms(store->clock, content->history.complete_from_us));
    }
    append_record(out, &writer);
}

/* Writes from which routes the receiver has to start. */
static void
write_base(GByteArray *out, const struct GbRouteTable *routes,
           const struct DeltaContent *content)
{
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, sizeof(buffer));
    GbMsgpackWriter_WriteArrayHeader(&writer, GB_VIEW_DELTA_BASE_ITEM_COUNT);
    GbMsgpackWriter_WriteUint(&writer, content->removed_routes != NULL
                                           ? content->removed_routes->len
                                           : 0);
    GbMsgpackWriter_WriteUint(&writer, content->base_version);
    GbMsgpackWriter_WriteUint(&writer, content->base_digest);
    GbMsgpackWriter_WriteUint(&writer, routes->digest);
    append_record(out, &writer);
}

static void
write_changed_routes(GByteArray *out, const struct DeltaContent *content)
{
    for (guint i = 0; i < content->changed_routes->len; i++) {
        GbRouteCodec_Write(out, content->changed_routes->pdata[i],
                           content->format);
    }
    for (guint i = 0; i < content->removed_routes->len; i++) {
        GbRouteCodec_WriteAddress(
            out, &g_array_index(content->removed_routes, struct GbAddress, i));
    }
}

static void
write_routes(GByteArray *out, const struct GbRouteTable *routes,
             const struct DeltaContent *content)
{
    if (content->format == GB_VIEW_DELTA_FORMAT) {
        write_base(out, routes, content);
    }
    if (content->changed_routes != NULL) {
        write_changed_routes(out, content);
    }
    else {
        for (uint32_t i = 0; i < routes->count; i++) {
            GbRouteCodec_Write(out, &routes->routes[i], content->format);
        }
    }
    if (content->format == GB_VIEW_DELTA_FORMAT_BASIC) {
        return;
    }
    for (uint32_t i = 0; i < routes->service_count; i++) {
        GbViewRecordCodec_WriteService(out, &routes->services[i]);
    }
}

static void
write_history(GByteArray *out, const struct GbViewStore *store,
              const struct GbRouteHistory *history)
{
    for (uint32_t i = 0; i < history->count; i++) {
        const struct GbFormerBackend *former = &history->former[i];

        GbViewRecordCodec_WriteFormerBackend(
            out, former, age_ms(store->clock, former->left_us));
    }
}

static void
write_evacuations(GByteArray *out, const struct GbViewStore *store)
{
    for (uint32_t i = 0; i < store->evacuations.count; i++) {
        GbViewRecordCodec_WriteEvacuation(out, &store->evacuations,
                                          &store->evacuations.items[i]);
    }
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
        write_routes(out, store->routes, &content);
    }
    if (content.format != GB_VIEW_DELTA_FORMAT_BASIC) {
        write_history(out, store, &content.history);
        write_evacuations(out, store);
    }
    for (guint i = 0; i < store->entries->len; i++) {
        const struct GbViewEntry *entry = store->entries->pdata[i];

        if (is_included(entry, &content)) {
            GbViewRecordCodec_WriteEntry(out, entry, content.format);
        }
    }
    finish_content(&content);
    return out;
}

enum GbProtocolStatus
GbViewDelta_Apply(struct GbViewStore *store, const uint8_t *data,
                  size_t size_bytes)
{
    struct GbViewDeltaReader delta;
    enum GbProtocolStatus status = GB_PROTOCOL_MALFORMED;

    if (GbViewDeltaReader_Read(&delta, data, size_bytes)) {
        status = GB_PROTOCOL_OK;
        GbViewDeltaApplier_Apply(store, &delta);
    }
    GbViewDeltaReader_Finish(&delta);
    return status;
}
