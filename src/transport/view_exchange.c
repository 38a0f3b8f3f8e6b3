#include "transport/view_exchange.h"

#include <inttypes.h>
#include <stddef.h>
#include <string.h>

#include "protocol/view_delta.h"
#include "transport/log.h"

/* A pull takes two round trips; a process that is gone does not answer. */
#define PULL_TIMEOUT_MS 300
#define US_PER_MS 1000

#define OF_MEMBER(pointer, member)                                            \
    ((struct GbViewExchange *)((char *)(pointer)-offsetof(                    \
        struct GbViewExchange, member)))

/* The head of a pull names the version that the peer has: its digest begins
 * with the version of the routes. That of an answer is higher if the answer
 * brings anything, and different for each version that it starts from, since
 * the server encodes an answer once for all pulls with the same head. */
static void
write_digest(uint8_t digest[GB_DIGEST_BYTES], uint64_t routes_version,
             uint64_t start)
{
    uint64_t parts[2] = {GUINT64_TO_BE(routes_version), GUINT64_TO_BE(start)};

    memcpy(digest, parts, GB_DIGEST_BYTES);
}

static struct GbViewVersion
read_version(const struct GbDocumentHead *head)
{
    struct GbViewVersion version = {.revision = head->revision};
    uint64_t routes_version;

    memcpy(&routes_version, head->digest, sizeof(routes_version));
    version.routes_version = GUINT64_FROM_BE(routes_version);
    return version;
}

static struct GbDocument *
highest(struct GbPeerHandler *handler, const struct GbDocumentHead *known)
{
    struct GbViewExchange *self = OF_MEMBER(handler, handler);
    struct GbViewVersion own = GbViewStore_Version(self->keeper);
    struct GbViewVersion since = read_version(known);
    GByteArray *bytes;

    GbDocument_Unref(self->answer);
    self->answer = NULL;
    if (!GbViewStore_IsComplete(self->keeper) ||
        !GbViewVersion_IsAhead(&own, &since)) {
        return NULL;
    }
    bytes = GbViewDelta_Write(self->keeper, &since);
    self->answer = GbDocument_New();
    self->answer->revision = MAX(own.revision, since.revision);
    write_digest(self->answer->digest,
                 MAX(own.routes_version, since.routes_version),
                 since.revision + since.routes_version + 1);
    self->answer->size_bytes = bytes->len;
    self->answer->bytes = g_byte_array_free(bytes, FALSE);
    return self->answer;
}

static void
end_pull(struct GbViewExchange *self)
{
    event_del(self->timeout);
    self->pulled_ipv4 = 0;
    GbViewGossip_FinishPull(self->spread);
}

static void
take(struct GbViewExchange *self, const struct GbFrame *frame)
{
    uint64_t before = self->keeper->revision;
    uint32_t peer_ipv4 = self->pulled_ipv4;
    struct GbAddress peer = {peer_ipv4, self->port};
    char text[GB_ADDRESS_TEXT_BYTES];

    if (GbViewDelta_Apply(self->keeper, frame->document.data,
                          frame->document.size_bytes) != GB_PROTOCOL_OK) {
        GbCounters_Add(self->counters, GB_COUNTER_FRAMES_MALFORMED, 1);
        GbLog_Event(GB_LOG_WARN, "view_malformed", "peer=%s",
                    GbAddress_Format(&peer, text));
        return;
    }
    GbLog_Event(GB_LOG_INFO, "view_pulled",
                "peer=%s revision=%" PRIu64 " before=%" PRIu64
                " routes=%" PRIu64,
                GbAddress_Format(&peer, text), self->keeper->revision, before,
                GbViewStore_Version(self->keeper).routes_version);
    self->listener->updated(self->listener, peer_ipv4);
}

static void
pulled(struct GbPeerReply *reply, const struct GbFrame *frame)
{
    struct GbViewExchange *self = OF_MEMBER(reply, reply);

    if (frame == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_PEER_PULL_FAILURES, 1);
    }
    else if (frame->kind == GB_FRAME_DOCUMENT) {
        take(self, frame);
    }
    end_pull(self);
}

static void
timed_out(evutil_socket_t fd, short events, void *context)
{
    struct GbViewExchange *self = context;

    (void)fd;
    (void)events;
    GbCounters_Add(self->counters, GB_COUNTER_PEER_PULL_FAILURES, 1);
    GbPeerClient_Stop(&self->client);
    end_pull(self);
}

enum GbTransportStatus
GbViewExchange_Open(struct GbViewExchange *self,
                    const struct GbAddress *address, struct event_base *base,
                    struct GbViewStore *keeper, struct GbViewGossip *spread,
                    struct GbViewExchangeListener *listener,
                    struct GbCounters *counters, struct GbLastMessage *last)
{
    memset(self, 0, sizeof(*self));
    self->handler.highest = highest;
    self->reply.done = pulled;
    self->keeper = keeper;
    self->spread = spread;
    self->listener = listener;
    self->counters = counters;
    self->port = address->port;
    self->timeout = event_new(base, -1, 0, timed_out, self);
    GbPeerClient_Init(&self->client, base, &self->keys, &self->reply,
                      counters);
    return GbPeerServer_Open(&self->server, address, base, &self->handler,
                             &self->keys, counters, last);
}

void
GbViewExchange_Close(struct GbViewExchange *self)
{
    GbPeerClient_Stop(&self->client);
    GbPeerServer_Close(&self->server);
    event_free(self->timeout);
    GbDocument_Unref(self->answer);
}

void
GbViewExchange_Pull(struct GbViewExchange *self, uint32_t peer_ipv4)
{
    static const struct timeval limit = {0, PULL_TIMEOUT_MS * US_PER_MS};
    struct GbAddress peer = {peer_ipv4, self->port};
    struct GbViewVersion own = GbViewStore_Version(self->keeper);
    struct GbDocumentHead known = {.revision = own.revision};

    GbCounters_Add(self->counters, GB_COUNTER_PEER_PULLS, 1);
    write_digest(known.digest, own.routes_version, 0);
    self->pulled_ipv4 = peer_ipv4;
    event_add(self->timeout, &limit);
    GbPeerClient_Pull(&self->client, &peer, &known);
}
