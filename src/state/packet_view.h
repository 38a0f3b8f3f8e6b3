#ifndef GB_STATE_PACKET_VIEW_H
#define GB_STATE_PACKET_VIEW_H

#include "state/route_table.h"
#include "state/view.h"

/* Routes in force and instance list, joined, for the forwarding of packets.
 * Immutable once built; shared between tasks by reference count. */
struct GbPacketView {
    int32_t reference_count;
    struct GbRouteTable *routes;
    struct GbInstanceList *list;
    /* Agents of each service that take new flows, by service id. */
    struct GbCandidates *candidates;
    uint32_t candidates_count;
    /* All instances by address. */
    const struct GbInstance **by_ipv4;
};

/* Builds a view with one reference. It takes its own references of routes
 * and list. */
struct GbPacketView *GbPacketView_New(struct GbRouteTable *routes,
                                      struct GbInstanceList *list);

struct GbPacketView *GbPacketView_Ref(struct GbPacketView *self);

/* Drops a reference; the last one frees the view. self may be NULL. */
void GbPacketView_Unref(struct GbPacketView *self);

/* Agents that take new flows of a service; NULL if there is none. */
const struct GbCandidates *
GbPacketView_Candidates(const struct GbPacketView *self, uint32_t service_id);

/* First instance of the list at an address; NULL if there is none. */
const struct GbInstance *GbPacketView_FindIpv4(const struct GbPacketView *self,
                                               uint32_t ipv4);

#endif
