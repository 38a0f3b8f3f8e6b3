#ifndef GB_STATE_INSTANCE_LIST_H
#define GB_STATE_INSTANCE_LIST_H

#include <stdbool.h>
#include <stdint.h>

#include "state/document.h"

#define GB_INSTANCES_MAX 16384

enum GbRole { GB_ROLE_BALANCER, GB_ROLE_AGENT };

struct GbInstance {
    char name[GB_NAME_BYTES];
    /* XXH64 of the name. */
    uint64_t id;
    /* GbRouteTable_ServiceId of the service; only set in lists for packet
     * forwarding. */
    uint64_t service_id;
    enum GbRole role;
    /* Service of the agent's target; empty for a balancer. */
    char service[GB_NAME_BYTES];
    char data_centre[GB_NAME_BYTES];
    struct GbAddress address;
    uint32_t weight;
    /* Remaining time for which the target warms up and is slow. */
    uint32_t cold_ms;
    bool is_leaving;
    /* Unix time at which the target started; 0 if unknown. */
    uint64_t born_ms;
    /* Position of the store at which the entry was written; only set in lists
     * for packet forwarding. Not compared by GbInstance_Equal. */
    uint64_t revision;
    /* The same for the first time that the entry was written; 0 if unknown. */
    uint64_t created;
};

/* Instance list of the platform, decoded. Immutable once published; shared
 * between tasks by reference count. The list may be out of date: an instance
 * in it may be gone already, or a new one missing. */
struct GbInstanceList {
    int32_t reference_count;
    uint64_t version;
    struct GbInstance *instances;
    uint32_t count;
};

/* Returns the id of an instance with this name. */
uint64_t GbInstance_IdOfName(const char *name);

/* Returns true if all fields but the positions are equal. */
bool GbInstance_Equal(const struct GbInstance *a, const struct GbInstance *b);

/* Allocates an empty list with one reference. */
struct GbInstanceList *GbInstanceList_New(void);

struct GbInstanceList *GbInstanceList_Ref(struct GbInstanceList *self);

/* Drops a reference; the last one frees the list. self may be NULL. */
void GbInstanceList_Unref(struct GbInstanceList *self);

/* Returns the instance of this id; NULL if there is none. */
const struct GbInstance *GbInstanceList_Find(const struct GbInstanceList *self,
                                             uint64_t instance_id);

#endif
