#include "state/route_history.h"

#include <glib.h>
#include <xxhash.h>

/* The default age at which a flow may be discarded. It does not follow the
 * setting of that age. */
#define RETENTION_US INT64_C(60000000)

static bool
is_expired(const struct GbFormerBackend *former, int64_t now_us)
{
    return former->left_us <= now_us - RETENTION_US;
}

static struct GbFormerBackend *
find_former(struct GbRouteHistory *self, const struct GbAddress *address,
            uint64_t service_id)
{
    for (uint32_t i = 0; i < self->count; i++) {
        struct GbFormerBackend *former = &self->former[i];

        if (former->service_id == service_id &&
            GbAddress_Equal(&former->address, address)) {
            return former;
        }
    }
    return NULL;
}

static struct GbFormerBackend *
find_oldest(struct GbRouteHistory *self)
{
    struct GbFormerBackend *oldest = &self->former[0];

    for (uint32_t i = 1; i < self->count; i++) {
        if (self->former[i].left_us < oldest->left_us) {
            oldest = &self->former[i];
        }
    }
    return oldest;
}

/* Returns an entry to fill. Changes from before the one that it replaces are
 * no longer known. */
static struct GbFormerBackend *
take_entry(struct GbRouteHistory *self)
{
    struct GbFormerBackend *oldest;

    if (self->count < GB_FORMER_BACKENDS_MAX) {
        return &self->former[self->count++];
    }
    oldest = find_oldest(self);
    self->complete_from_us = MAX(self->complete_from_us, oldest->left_us + 1);
    return oldest;
}

static void
add_if_former(struct GbRouteHistory *self, const struct GbRoute *new_route,
              uint64_t service_id, int64_t now_us)
{
    if (!GbRoute_HasBackend(new_route, service_id)) {
        GbRouteHistory_AddFormer(self, &new_route->address, service_id,
                                 now_us);
    }
}

static void
replace_route(struct GbRouteHistory *self, const struct GbRoute *old_route,
              const struct GbRoute *new_route, int64_t now_us)
{
    add_if_former(self, new_route, old_route->service_id, now_us);
    for (uint32_t i = 0; i < old_route->backend_count; i++) {
        add_if_former(self, new_route, old_route->backends[i].service_id,
                      now_us);
    }
}

void
GbRouteHistory_Init(struct GbRouteHistory *self)
{
    self->count = 0;
    self->complete_from_us = INT64_MAX;
}

void
GbRouteHistory_Replace(struct GbRouteHistory *self,
                       const struct GbRouteTable *old_routes,
                       const struct GbRouteTable *new_routes, int64_t now_us)
{
    if (old_routes == NULL) {
        self->complete_from_us = MIN(self->complete_from_us, now_us);
        return;
    }
    GbRouteHistory_Expire(self, now_us);
    for (uint32_t i = 0; i < old_routes->count; i++) {
        const struct GbRoute *old_route = &old_routes->routes[i];
        const struct GbRoute *new_route =
            GbRouteTable_Find(new_routes, &old_route->address);

        if (new_route != NULL) {
            replace_route(self, old_route, new_route, now_us);
        }
    }
}

void
GbRouteHistory_AddFormer(struct GbRouteHistory *self,
                         const struct GbAddress *address, uint64_t service_id,
                         int64_t left_us)
{
    struct GbFormerBackend *former = find_former(self, address, service_id);

    if (former != NULL) {
        former->left_us = MAX(former->left_us, left_us);
        return;
    }
    *take_entry(self) =
        (struct GbFormerBackend){*address, service_id, left_us};
}

bool
GbRouteHistory_Merge(struct GbRouteHistory *self,
                     const struct GbRouteHistory *other, int64_t now_us)
{
    bool is_changed = other->complete_from_us < self->complete_from_us;

    GbRouteHistory_Expire(self, now_us);
    self->complete_from_us =
        MIN(self->complete_from_us, other->complete_from_us);
    for (uint32_t i = 0; i < other->count; i++) {
        const struct GbFormerBackend *former = &other->former[i];

        if (!is_expired(former, now_us) &&
            find_former(self, &former->address, former->service_id) == NULL) {
            is_changed = true;
            GbRouteHistory_AddFormer(self, &former->address,
                                     former->service_id, former->left_us);
        }
    }
    return is_changed;
}

bool
GbRouteHistory_HasFormer(const struct GbRouteHistory *self,
                         const struct GbAddress *address, uint64_t service_id,
                         int64_t now_us)
{
    for (uint32_t i = 0; i < self->count; i++) {
        const struct GbFormerBackend *former = &self->former[i];

        if (former->service_id == service_id &&
            GbAddress_Equal(&former->address, address)) {
            return !is_expired(former, now_us);
        }
    }
    return false;
}

bool
GbRouteHistory_HasService(const struct GbRouteHistory *self,
                          uint64_t service_id, int64_t now_us)
{
    for (uint32_t i = 0; i < self->count; i++) {
        if (self->former[i].service_id == service_id &&
            !is_expired(&self->former[i], now_us)) {
            return true;
        }
    }
    return false;
}

bool
GbRouteHistory_IsComplete(const struct GbRouteHistory *self, int64_t now_us)
{
    return self->complete_from_us <= now_us - RETENTION_US;
}

uint64_t
GbRouteHistory_Hash(const struct GbRouteHistory *self)
{
    uint64_t hash = (uint64_t)self->complete_from_us;

    for (uint32_t i = 0; i < self->count; i++) {
        const struct GbFormerBackend *former = &self->former[i];
        uint64_t parts[4] = {former->address.ipv4, former->address.port,
                             former->service_id, (uint64_t)former->left_us};

        hash = XXH64(parts, sizeof(parts), hash);
    }
    return hash;
}

void
GbRouteHistory_Expire(struct GbRouteHistory *self, int64_t now_us)
{
    for (uint32_t i = 0; i < self->count;) {
        if (is_expired(&self->former[i], now_us)) {
            self->former[i] = self->former[--self->count];
        }
        else {
            i++;
        }
    }
}
