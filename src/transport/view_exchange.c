#include "transport/view_exchange.h"

#include <inttypes.h>
#include <stddef.h>
#include <string.h>
#include <xxhash.h>

#include "protocol/view_delta.h"
#include "transport/log.h"

/* A pull takes two round trips. A process that has terminated does not
 * reply. */
#define PULL_TIMEOUT_MS 300
#define US_PER_MS 1000

/* Second half of the digest field of a pull: the latest format of the delta
 * that the process understands, whether its view is reduced, and whether it
 * needs the history of the routes. Processes without formats write 0. */
#define FORMAT_MASK 0xffU
#define IS_REDUCED_FLAG 0x100U
#define NEEDS_HISTORY_FLAG 0x200U
/* Distinguishes the second half of the digest field of a delta, which is a
 * hash, from that of a pull. */
#define IS_DELTA_FLAG (UINT64_C(1) << 63)

#define CONTAINER_OF(pointer, member)                                         \
    ((struct GbViewExchange *)((char *)(pointer)-offsetof(                    \
        struct GbViewExchange, member)))

/* A version is sent in the fields of a document head: the version of the
 * routes forms the first bytes of the digest. A pull contains the version that
 * the requesting process has. The head of a delta is higher than that, so that
 * the server sends the delta, and it is different for each request, because
 * the server caches the encoded frame by its head. */
static void
write_digest(uint8_t digest[GB_DIGEST_BYTES], uint64_t routes_version,
             uint64_t second_half)
{
    uint64_t parts[2] = {GUINT64_TO_BE(routes_version),
                         GUINT64_TO_BE(second_half)};

    memcpy(digest, parts, GB_DIGEST_BYTES);
}

static void
read_request(struct GbViewDeltaRequest *request,
             const struct GbDocumentHead *head)
{
    uint64_t parts[2];
    uint64_t second_half;

    memcpy(parts, head->digest, GB_DIGEST_BYTES);
    second_half = GUINT64_FROM_BE(parts[1]);
    request->since.revision = head->revision;
    request->since.routes_version = GUINT64_FROM_BE(parts[0]);
    request->format = (uint32_t)(second_half & FORMAT_MASK);
    request->is_reduced = (second_half & IS_REDUCED_FLAG) != 0;
    request->needs_history = (second_half & NEEDS_HISTORY_FLAG) != 0;
}

/* The history of the routes may change without a new version. */
static uint64_t
hash_request(const struct GbViewDeltaRequest *request,
             const struct GbRouteHistory *history)
{
    uint64_t parts[6] = {
        request->since.revision, request->since.routes_version,
        request->format,         request->is_reduced,
        request->needs_history,  GbRouteHistory_Hash(history)};

    return XXH64(parts, sizeof(parts), 0) | IS_DELTA_FLAG;
}

/* A process with a reduced view gets the rest of the same version, and one
 * that has started lately what peers know of the time before, even if they do
 * not know all of it. */
static bool
has_news(const struct GbViewStore *store,
         const struct GbViewDeltaRequest *request)
{
    struct GbViewVersion own = GbViewStore_Version(store);

    return GbViewVersion_IsAhead(&own, &request->since) ||
           (request->is_reduced && !store->is_reduced &&
            own.revision >= request->since.revision) ||
           (request->needs_history && store->routes != NULL &&
            own.routes_version >= request->since.routes_version);
}

static struct GbDocument *
build_delta(struct GbPeerDocumentSource *source,
            const struct GbDocumentHead *known)
{
    struct GbViewExchange *self = CONTAINER_OF(source, document_source);
    struct GbViewVersion own = GbViewStore_Version(self->view_store);
    struct GbViewDeltaRequest request;
    GByteArray *bytes;

    read_request(&request, known);
    GbDocument_Unref(self->delta);
    self->delta = NULL;
    /* Routes may be missing because none were written yet. Without a list, the
     * delta would be a full list without instances. */
    if (!self->view_store->has_list || !has_news(self->view_store, &request)) {
        return NULL;
    }
    bytes = GbViewDelta_Encode(self->view_store, &request);
    self->delta = GbDocument_New();
    self->delta->revision = MAX(own.revision, request.since.revision);
    write_digest(self->delta->digest,
                 MAX(own.routes_version, request.since.routes_version),
                 hash_request(&request, &self->view_store->history));
    self->delta->size_bytes = bytes->len;
    self->delta->bytes = g_byte_array_free(bytes, FALSE);
    return self->delta;
}

static void
finish_pull(struct GbViewExchange *self)
{
    event_del(self->pull_timeout);
    self->pull_peer_ipv4 = 0;
    GbViewGossip_FinishPull(self->gossip);
}

static void
apply_delta(struct GbViewExchange *self, const struct GbFrame *frame)
{
    uint64_t before = self->view_store->revision;
    uint32_t peer_ipv4 = self->pull_peer_ipv4;
    struct GbAddress peer = {peer_ipv4, self->port};
    char text[GB_ADDRESS_TEXT_BYTES];

    if (GbViewDelta_Apply(self->view_store, frame->document.data,
                          frame->document.size_bytes) != GB_PROTOCOL_OK) {
        GbCounters_Add(self->counters, GB_COUNTER_FRAMES_MALFORMED, 1);
        GbLog_Event(GB_LOG_WARN, "view_malformed", "peer=%s",
                    GbAddress_Format(&peer, text));
        return;
    }
    GbLog_Event(GB_LOG_INFO, "view_pulled",
                "peer=%s revision=%" PRIu64 " before=%" PRIu64
                " routes=%" PRIu64,
                GbAddress_Format(&peer, text), self->view_store->revision,
                before, GbViewStore_Version(self->view_store).routes_version);
    self->listener->view_updated(self->listener, peer_ipv4);
}

static void
pull_completed(struct GbPeerReplyHandler *handler, const struct GbFrame *frame)
{
    struct GbViewExchange *self = CONTAINER_OF(handler, pull_reply_handler);

    if (frame == NULL) {
        GbCounters_Add(self->counters, GB_COUNTER_PEER_PULL_FAILURES, 1);
    }
    else if (frame->kind == GB_FRAME_DOCUMENT) {
        apply_delta(self, frame);
    }
    finish_pull(self);
}

static void
pull_timed_out(evutil_socket_t fd, short events, void *context)
{
    struct GbViewExchange *self = context;

    (void)fd;
    (void)events;
    GbCounters_Add(self->counters, GB_COUNTER_PEER_PULL_FAILURES, 1);
    GbPeerClient_CancelPull(&self->peer_client);
    finish_pull(self);
}

enum GbTransportStatus
GbViewExchange_Open(struct GbViewExchange *self,
                    const struct GbAddress *address, struct event_base *base,
                    struct GbViewStore *view_store,
                    struct GbViewGossip *gossip,
                    struct GbViewExchangeListener *listener,
                    struct GbCounters *counters, struct GbErrorText *error)
{
    memset(self, 0, sizeof(*self));
    self->document_source.find_document = build_delta;
    self->pull_reply_handler.completed = pull_completed;
    self->view_store = view_store;
    self->gossip = gossip;
    self->listener = listener;
    self->counters = counters;
    self->port = address->port;
    self->pull_timeout = event_new(base, -1, 0, pull_timed_out, self);
    GbPeerClient_Init(&self->peer_client, base, &self->keys,
                      &self->pull_reply_handler, counters);
    return GbPeerServer_Open(&self->peer_server, address, base,
                             &self->document_source, &self->keys, counters,
                             error);
}

void
GbViewExchange_Close(struct GbViewExchange *self)
{
    GbPeerClient_CancelPull(&self->peer_client);
    GbPeerServer_Close(&self->peer_server);
    event_free(self->pull_timeout);
    GbDocument_Unref(self->delta);
}

void
GbViewExchange_Pull(struct GbViewExchange *self, uint32_t peer_ipv4)
{
    static const struct timeval limit = {0, PULL_TIMEOUT_MS * US_PER_MS};
    struct GbAddress peer = {peer_ipv4, self->port};
    struct GbViewVersion own = GbViewStore_Version(self->view_store);
    struct GbDocumentHead known = {.revision = own.revision};
    uint64_t flags =
        (self->view_store->is_reduced ? IS_REDUCED_FLAG : 0) |
        (GbViewStore_NeedsHistory(self->view_store) ? NEEDS_HISTORY_FLAG : 0);

    GbCounters_Add(self->counters, GB_COUNTER_PEER_PULLS, 1);
    write_digest(known.digest, own.routes_version,
                 (self->view_store->needs_whole_routes
                      ? GB_VIEW_DELTA_FORMAT_WHOLE_ROUTES
                      : GB_VIEW_DELTA_FORMAT) |
                     flags);
    self->pull_peer_ipv4 = peer_ipv4;
    event_add(self->pull_timeout, &limit);
    GbPeerClient_Pull(&self->peer_client, &peer, &known);
}
