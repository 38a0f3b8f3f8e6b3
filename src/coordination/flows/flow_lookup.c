#include "coordination/flows/flow_lookup.h"

#include <glib.h>
#include <string.h>

#include "state/timer_queue.h"

static void
copy_packet(struct GbFlowLookup *self, const struct GbPacket *packet)
{
    self->packet = *packet;
    memcpy(self->bytes, packet->bytes, packet->size_bytes);
    self->packet.bytes = self->bytes;
}

static void
start(struct GbFlowLookup *self, const struct GbPacket *packet)
{
    copy_packet(self, packet);
    self->agent_count = 0;
    self->is_querying_other_services = false;
    self->is_awaiting_view = false;
    self->is_suspended = false;
}

static bool
has_denied(const struct GbFlowLookup *self, uint32_t ipv4)
{
    for (uint32_t i = 0; i < self->denial_count; i++) {
        if (self->denials[i] == ipv4) {
            return true;
        }
    }
    return false;
}

/* Returns agent_count if the agent was not added. */
static uint32_t
find_agent_index(const struct GbFlowLookup *self, uint32_t ipv4)
{
    uint32_t at = 0;

    while (at < self->agent_count && self->agents[at].ipv4 != ipv4) {
        at++;
    }
    return at;
}

static const struct GbFlowLookupAgent *
find_agent(const struct GbFlowLookup *self, uint32_t ipv4)
{
    uint32_t at = find_agent_index(self, ipv4);

    return at < self->agent_count ? &self->agents[at] : NULL;
}

/* Returns the suspended lookup that would end first, or NULL. */
static struct GbFlowLookup *
find_oldest_suspended(struct GbFlowLookups *self)
{
    struct GbFlowLookup *oldest = NULL;

    for (uint32_t i = 0; i < GB_FLOW_LOOKUPS_MAX; i++) {
        struct GbFlowLookup *lookup = &self->items[i];

        if (lookup->is_open && lookup->is_suspended &&
            (oldest == NULL || lookup->deadline_us < oldest->deadline_us)) {
            oldest = lookup;
        }
    }
    return oldest;
}

/* Returns an unused lookup; NULL if there is none. */
static struct GbFlowLookup *
take_unused(struct GbFlowLookups *self)
{
    struct GbFlowLookup *lookup;
    uint32_t at = 0;

    if (self->items == NULL) {
        self->items = g_new0(struct GbFlowLookup, GB_FLOW_LOOKUPS_MAX);
    }
    if (self->open_count == GB_FLOW_LOOKUPS_MAX) {
        lookup = find_oldest_suspended(self);
        if (lookup != NULL) {
            GbFlowLookups_Close(self, lookup);
        }
        return lookup;
    }
    while (self->items[at].is_open) {
        at++;
    }
    return &self->items[at];
}

void
GbFlowLookups_Init(struct GbFlowLookups *self)
{
    memset(self, 0, sizeof(*self));
    GbRouteHistory_Init(&self->learned);
}

void
GbFlowLookups_Finish(struct GbFlowLookups *self)
{
    g_free(self->items);
    self->items = NULL;
}

struct GbFlowLookup *
GbFlowLookups_Find(struct GbFlowLookups *self, const struct GbFlowKey *key)
{
    if (self->open_count == 0) {
        return NULL;
    }
    for (uint32_t i = 0; i < GB_FLOW_LOOKUPS_MAX; i++) {
        if (self->items[i].is_open &&
            GbFlowKey_Equal(&self->items[i].packet.key, key)) {
            return &self->items[i];
        }
    }
    return NULL;
}

struct GbFlowLookup *
GbFlowLookups_Open(struct GbFlowLookups *self, const struct GbPacket *packet,
                   int64_t deadline_us)
{
    struct GbFlowLookup *lookup;

    if (packet->size_bytes > GB_FLOW_LOOKUP_PACKET_BYTES) {
        return NULL;
    }
    lookup = take_unused(self);
    if (lookup == NULL) {
        return NULL;
    }
    start(lookup, packet);
    lookup->is_open = true;
    lookup->balancer_ipv4 = 0;
    lookup->denial_count = 0;
    lookup->deadline_us = deadline_us;
    self->open_count++;
    return lookup;
}

bool
GbFlowLookup_Resume(struct GbFlowLookup *self, const struct GbPacket *packet)
{
    if (packet->size_bytes > GB_FLOW_LOOKUP_PACKET_BYTES) {
        return false;
    }
    self->denial_count = 0;
    for (uint32_t i = 0; i < self->agent_count; i++) {
        if (self->agents[i].reply == GB_FLOW_LOOKUP_NOT_OWNER) {
            self->denials[self->denial_count++] = self->agents[i].ipv4;
        }
    }
    start(self, packet);
    return true;
}

struct GbFlowLookupAgent *
GbFlowLookup_AddAgent(struct GbFlowLookup *self, uint32_t ipv4,
                      bool is_other_service)
{
    struct GbFlowLookupAgent *agent;

    if (self->agent_count == GB_FLOW_LOOKUP_AGENTS_MAX) {
        return NULL;
    }
    agent = &self->agents[self->agent_count++];
    agent->ipv4 = ipv4;
    agent->reply = has_denied(self, ipv4) ? GB_FLOW_LOOKUP_NOT_OWNER
                                          : GB_FLOW_LOOKUP_NO_REPLY;
    agent->is_other_service = is_other_service;
    agent->is_probed = false;
    return agent;
}

bool
GbFlowLookup_IsQueried(const struct GbFlowLookup *self, uint32_t ipv4)
{
    return find_agent(self, ipv4) != NULL;
}

bool
GbFlowLookup_IsOtherService(const struct GbFlowLookup *self, uint32_t ipv4)
{
    const struct GbFlowLookupAgent *agent = find_agent(self, ipv4);

    return agent != NULL && agent->is_other_service;
}

bool
GbFlowLookup_IsAwaitingReply(const struct GbFlowLookup *self)
{
    for (uint32_t i = 0; i < self->agent_count; i++) {
        const struct GbFlowLookupAgent *agent = &self->agents[i];

        if (agent->reply == GB_FLOW_LOOKUP_NO_REPLY ||
            (agent->reply == GB_FLOW_LOOKUP_UNSURE && agent->is_probed)) {
            return true;
        }
    }
    return false;
}

bool
GbFlowLookup_IsDenied(const struct GbFlowLookup *self,
                      bool needs_other_services)
{
    for (uint32_t i = 0; i < self->agent_count; i++) {
        const struct GbFlowLookupAgent *agent = &self->agents[i];

        if (agent->reply != GB_FLOW_LOOKUP_NOT_OWNER &&
            (needs_other_services || !agent->is_other_service)) {
            return false;
        }
    }
    return self->agent_count < GB_FLOW_LOOKUP_AGENTS_MAX;
}

bool
GbFlowLookup_RecordReply(struct GbFlowLookup *self, uint32_t ipv4,
                         enum GbFlowLookupReply reply)
{
    uint32_t at = find_agent_index(self, ipv4);

    if (at == self->agent_count) {
        return false;
    }
    self->agents[at].reply = MAX(self->agents[at].reply, reply);
    return true;
}

void
GbFlowLookups_Close(struct GbFlowLookups *self, struct GbFlowLookup *lookup)
{
    lookup->is_open = false;
    self->open_count--;
}

struct GbFlowLookup *
GbFlowLookups_FindAwaitingView(struct GbFlowLookups *self)
{
    if (self->open_count == 0) {
        return NULL;
    }
    for (uint32_t i = 0; i < GB_FLOW_LOOKUPS_MAX; i++) {
        if (self->items[i].is_open && self->items[i].is_awaiting_view) {
            return &self->items[i];
        }
    }
    return NULL;
}

struct GbFlowLookup *
GbFlowLookups_FindExpired(struct GbFlowLookups *self, int64_t now_us)
{
    if (self->open_count == 0) {
        return NULL;
    }
    for (uint32_t i = 0; i < GB_FLOW_LOOKUPS_MAX; i++) {
        if (self->items[i].is_open && self->items[i].deadline_us <= now_us) {
            return &self->items[i];
        }
    }
    return NULL;
}

int64_t
GbFlowLookups_NextDeadlineUs(const struct GbFlowLookups *self)
{
    int64_t next_us = GB_TIMER_NEVER;

    if (self->open_count == 0) {
        return next_us;
    }
    for (uint32_t i = 0; i < GB_FLOW_LOOKUPS_MAX; i++) {
        if (self->items[i].is_open) {
            next_us = MIN(next_us, self->items[i].deadline_us);
        }
    }
    return next_us;
}
