#include "protocol/view_delta_reader.h"

#include <string.h>

#include "protocol/msgpack_reader.h"
#include "protocol/route_codec.h"
#include "protocol/view_delta.h"
#include "protocol/view_record_codec.h"

#define US_PER_MS INT64_C(1000)

static void
skip(struct GbViewDeltaReader *self, size_t used_bytes)
{
    self->data += used_bytes;
    self->size_bytes -= used_bytes;
}

static bool
finish_header(struct GbViewDeltaReader *self, struct GbMsgpackReader *reader)
{
    size_t used_bytes;

    if (!GbMsgpackReader_FinishArray(reader, &used_bytes)) {
        return false;
    }
    skip(self, used_bytes);
    return true;
}

static int64_t
read_age(struct GbMsgpackReader *reader)
{
    return (int64_t)GbMsgpackReader_ReadUint(
               reader, GB_VIEW_DELTA_HISTORY_AGE_MAX_MS) *
           US_PER_MS;
}

/* Reads the base of a difference between versions of the routes. Its version
 * is 0 if the routes are whole. */
static bool
read_base(struct GbViewDeltaReader *self)
{
    struct GbMsgpackReader reader;
    size_t used_bytes;

    GbMsgpackReader_Init(&reader, self->data, self->size_bytes);
    self->removed_count =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_ROUTES_MAX);
    self->base_version = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    self->base_digest = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    self->routes_digest = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    if (!GbMsgpackReader_FinishArray(&reader, &used_bytes)) {
        return false;
    }
    skip(self, used_bytes);
    self->is_difference = self->base_version != 0;
    return self->is_difference || self->removed_count == 0;
}

/* A basic header has no format number and is told by its number of items. */
static bool
read_header(struct GbViewDeltaReader *self, uint32_t *idle_timeout_ms)
{
    struct GbMsgpackReader reader;

    GbMsgpackReader_Init(&reader, self->data, self->size_bytes);
    self->format = reader.items_left == GB_VIEW_DELTA_BASIC_HEADER_ITEM_COUNT
                       ? GB_VIEW_DELTA_FORMAT_BASIC
                       : GB_VIEW_DELTA_FORMAT;
    self->is_reduced = self->format == GB_VIEW_DELTA_FORMAT_BASIC;
    self->revision = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    self->is_full = GbMsgpackReader_ReadUint(&reader, 1) == 1;
    self->route_count =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_ROUTES_MAX);
    self->instance_count =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_INSTANCES_MAX);
    self->routes_version = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    *idle_timeout_ms = (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    self->has_routes = self->route_count > 0;
    if (self->format != GB_VIEW_DELTA_FORMAT_BASIC) {
        self->format =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_VIEW_DELTA_FORMAT);
        self->is_reduced = GbMsgpackReader_ReadUint(&reader, 1) == 1;
        self->has_routes = GbMsgpackReader_ReadUint(&reader, 1) == 1;
        self->service_count =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_SERVICES_MAX);
        self->evacuation_count =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, GB_DATA_CENTRES_MAX);
        self->former_count = (uint32_t)GbMsgpackReader_ReadUint(
            &reader, GB_FORMER_BACKENDS_MAX);
        self->history.complete_from_us = -read_age(&reader);
        return finish_header(self, &reader) &&
               self->format >= GB_VIEW_DELTA_FORMAT_WHOLE_ROUTES;
    }
    return finish_header(self, &reader);
}

static bool
read_entry(struct GbViewDeltaReader *self, struct GbViewEntry *entry)
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
read_evacuation(struct GbViewDeltaReader *self,
                struct GbEvacuation *evacuation)
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
read_service(struct GbViewDeltaReader *self,
             struct GbServiceSettings *settings)
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
read_former_backend(struct GbViewDeltaReader *self,
                    struct GbFormerBackend *former)
{
    size_t used_bytes;

    if (!GbViewRecordCodec_ReadFormerBackend(former, self->data,
                                             self->size_bytes, &used_bytes)) {
        return false;
    }
    skip(self, used_bytes);
    return true;
}

static bool
read_history(struct GbViewDeltaReader *self)
{
    while (self->history.count < self->former_count) {
        if (!read_former_backend(self,
                                 &self->history.former[self->history.count])) {
            return false;
        }
        self->history.count++;
    }
    return true;
}

static bool
read_services(struct GbViewDeltaReader *self)
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
read_evacuations(struct GbViewDeltaReader *self)
{
    for (uint32_t i = 0; i < self->evacuation_count; i++) {
        if (!read_evacuation(self, &self->evacuations[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_route(struct GbViewDeltaReader *self, struct GbRoute *route)
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
read_routes(struct GbViewDeltaReader *self, uint32_t idle_timeout_ms)
{
    struct GbRoute *routes = g_new(struct GbRoute, self->route_count);
    uint32_t read_count = 0;

    while (read_count < self->route_count &&
           read_route(self, &routes[read_count])) {
        read_count++;
    }
    if (read_count == self->route_count && self->has_routes) {
        self->routes = GbRouteTable_New(self->routes_version, idle_timeout_ms,
                                        routes, read_count);
    }
    g_free(routes);
    return read_count == self->route_count;
}

static bool
read_removed(struct GbViewDeltaReader *self)
{
    self->removed = g_new(struct GbAddress, self->removed_count);
    for (uint32_t i = 0; i < self->removed_count; i++) {
        size_t used_bytes;

        if (!GbRouteCodec_ReadAddress(&self->removed[i], self->data,
                                      self->size_bytes, &used_bytes) ||
            (i > 0 && GbAddress_Compare(&self->removed[i - 1],
                                        &self->removed[i]) >= 0)) {
            return false;
        }
        skip(self, used_bytes);
    }
    return true;
}

static bool
read_all(struct GbViewDeltaReader *self)
{
    uint32_t idle_timeout_ms;

    if (!read_header(self, &idle_timeout_ms) ||
        (self->has_routes && self->format == GB_VIEW_DELTA_FORMAT &&
         !read_base(self)) ||
        !read_routes(self, idle_timeout_ms) || !read_removed(self) ||
        !read_services(self) || !read_history(self) ||
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

bool
GbViewDeltaReader_Read(struct GbViewDeltaReader *self, const uint8_t *data,
                       size_t size_bytes)
{
    memset(self, 0, sizeof(*self));
    self->data = data;
    self->size_bytes = size_bytes;
    self->entries = g_array_new(FALSE, FALSE, sizeof(struct GbViewEntry));
    GbRouteHistory_Init(&self->history);
    return read_all(self);
}

void
GbViewDeltaReader_Finish(struct GbViewDeltaReader *self)
{
    GbRouteTable_Unref(self->routes);
    g_free(self->removed);
    g_array_free(self->entries, TRUE);
}
