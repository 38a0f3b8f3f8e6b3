#include "support/sync_fixture.h"

#include <glib.h>
#include <stddef.h>
#include <string.h>

#include "support/sample_document.h"

#define US_PER_MS INT64_C(1000)
#define US_PER_SECOND INT64_C(1000000)
#define REPLY_DELAY_US (5 * US_PER_MS)
#define PEER_IPV4 0x7f000001
#define PEER_PORT 10000
#define SEED 20261204

#define CONTAINER_OF(pointer, member)                                         \
    ((struct SyncFixture *)((char *)(pointer)-offsetof(struct SyncFixture,    \
                                                       member)))

static int64_t
now_us(struct SyncFixture *self)
{
    return GbClock_MonotonicUs(&self->clock.super);
}

static struct SyncReply *
add_reply(struct SyncFixture *self, enum SyncCallKind kind, uint32_t call_id,
          int64_t delay_us)
{
    for (int i = 0; i < SYNC_REPLIES_MAX; i++) {
        struct SyncReply *reply = &self->replies[i];

        if (!reply->is_set) {
            memset(reply, 0, sizeof(*reply));
            reply->is_set = true;
            reply->kind = kind;
            reply->call_id = call_id;
            reply->due_us = now_us(self) + delay_us;
            return reply;
        }
    }
    g_assert_not_reached();
}

static int64_t
platform_delay_us(struct SyncFixture *self, bool is_unchanged,
                  uint32_t wait_ms)
{
    self->platform_calls++;
    switch (self->platform_mode) {
    case PLATFORM_UNRESPONSIVE:
        return INT64_MAX / 2;
    case PLATFORM_DOWN:
    case PLATFORM_NO_WAIT:
        return REPLY_DELAY_US;
    default:
        return is_unchanged ? wait_ms * US_PER_MS : REPLY_DELAY_US;
    }
}

static void
watch_head(struct GbDocumentSyncPort *port, uint32_t call_id,
           const struct GbDocumentHead *known, uint32_t wait_ms)
{
    struct SyncFixture *self = CONTAINER_OF(port, port);
    struct GbDocumentHead head = GbDocument_Head(self->platform_document);
    bool is_unchanged = GbDocumentHead_Compare(&head, known) == 0;
    struct SyncReply *reply =
        add_reply(self, CALL_HEAD, call_id,
                  platform_delay_us(self, is_unchanged, wait_ms));

    reply->known = *known;
}

static void
read_document(struct GbDocumentSyncPort *port, uint32_t call_id,
              const struct GbDocumentHead *head)
{
    struct SyncFixture *self = CONTAINER_OF(port, port);

    self->document_reads++;
    add_reply(self, CALL_DOCUMENT, call_id, platform_delay_us(self, false, 0))
        ->known = *head;
}

static void
watch_instances(struct GbDocumentSyncPort *port, uint32_t call_id,
                uint64_t version, uint32_t wait_ms)
{
    struct SyncFixture *self = CONTAINER_OF(port, port);
    bool is_unchanged = version == self->list_version;

    add_reply(self, CALL_INSTANCES, call_id,
              platform_delay_us(self, is_unchanged, wait_ms))
        ->known_version = version;
}

static void
pull(struct GbDocumentSyncPort *port, uint32_t call_id,
     const struct GbAddress *peer, const struct GbDocumentHead *known)
{
    struct SyncFixture *self = CONTAINER_OF(port, port);
    uint32_t index = peer->port - PEER_PORT;
    struct SyncReply *reply;

    g_assert_cmpuint(index, <, SYNC_PEERS_MAX);
    self->pulls++;
    self->active_pulls++;
    self->active_pulls_max = MAX(self->active_pulls_max, self->active_pulls);
    reply = add_reply(self, CALL_PULL, call_id,
                      self->peer_modes[index] == PEER_UNRESPONSIVE
                          ? INT64_MAX / 2
                          : REPLY_DELAY_US);
    reply->known = *known;
    reply->peer = index;
}

static void
cancel(struct GbDocumentSyncPort *port, uint32_t call_id)
{
    struct SyncFixture *self = CONTAINER_OF(port, port);

    for (int i = 0; i < SYNC_REPLIES_MAX; i++) {
        struct SyncReply *reply = &self->replies[i];

        if (reply->is_set && reply->call_id == call_id) {
            reply->is_set = false;
            self->active_pulls -= reply->kind == CALL_PULL;
        }
    }
}

static void
announce(struct GbDocumentSyncPort *port, const struct GbAddress *to,
         const struct GbRevision *revision)
{
    (void)to;
    (void)revision;
    CONTAINER_OF(port, port)->announcements++;
}

static void
publish(struct GbDocumentSyncPort *port, struct GbDocument *document,
        struct GbInstanceList *list)
{
    struct SyncFixture *self = CONTAINER_OF(port, port);

    (void)list;
    self->published++;
    if (document->revision < self->published_revision) {
        self->reverted_to = document->revision;
    }
    self->published_revision = document->revision;
}

static const struct GbDocumentSyncPortClass port_class = {
    .watch_head = watch_head,
    .read_document = read_document,
    .watch_instances = watch_instances,
    .pull = pull,
    .cancel = cancel,
    .announce = announce,
    .publish = publish,
};

static void
record_audit(struct GbDocumentAcceptancePort *port,
             const struct GbAuditRecord *record)
{
    GbAudit_Add(&CONTAINER_OF(port, acceptance_port)->audit, record);
}

static const struct GbDocumentAcceptancePortClass acceptance_port_class = {
    .audit = record_audit,
};

static struct GbInstanceList *
make_list(const struct SyncFixture *self)
{
    struct GbInstanceList *list = GbInstanceList_New();

    list->version = self->list_version;
    list->count = self->list_peers + 1;
    list->instances = g_new0(struct GbInstance, list->count);
    if (list->count == 0) {
        return list;
    }
    list->instances[0].id = GbInstance_IdOfName(SYNC_OWN_NAME);
    for (uint32_t i = 0; i < self->list_peers; i++) {
        list->instances[i + 1].id = i + 1;
        list->instances[i + 1].address = GbSyncFixture_PeerAddress(i);
    }
    return list;
}

static void
reply_document(struct SyncFixture *self, const struct SyncReply *reply)
{
    struct GbDocument *document = self->platform_document;
    struct GbDocumentHead head = GbDocument_Head(document);

    if (self->platform_mode == PLATFORM_INVALID) {
        GbDocumentSync_CompleteDocumentRead(&self->sync, reply->call_id,
                                            GB_READ_INVALID, NULL);
    }
    else if (self->platform_mode == PLATFORM_WRONG_DOCUMENT ||
             self->platform_mode == PLATFORM_DOWN ||
             GbDocumentHead_Compare(&head, &reply->known) != 0) {
        GbDocumentSync_CompleteDocumentRead(&self->sync, reply->call_id,
                                            GB_READ_FAILED, NULL);
    }
    else {
        GbDocumentSync_CompleteDocumentRead(&self->sync, reply->call_id,
                                            GB_READ_DONE, document);
    }
}

static void
reply_pull(struct SyncFixture *self, const struct SyncReply *reply)
{
    struct GbDocument *document = self->peer_documents[reply->peer];
    struct GbDocumentHead head = GbDocument_Head(document);
    enum GbReadOutcome outcome =
        GbDocumentHead_Compare(&head, &reply->known) > 0 ? GB_READ_DONE
                                                         : GB_READ_NOT_NEWER;

    self->active_pulls--;
    if (self->peer_modes[reply->peer] == PEER_FAILING) {
        outcome = GB_READ_FAILED;
    }
    GbDocumentSync_CompletePull(&self->sync, reply->call_id, outcome, &head,
                                document);
}

static void
deliver_reply(struct SyncFixture *self, struct SyncReply *reply)
{
    struct GbDocumentHead head = GbDocument_Head(self->platform_document);
    bool is_down = self->platform_mode == PLATFORM_DOWN;
    struct GbInstanceList *list;

    reply->is_set = false;
    switch (reply->kind) {
    case CALL_HEAD:
        GbDocumentSync_CompleteHeadWatch(&self->sync, reply->call_id,
                                         is_down ? NULL : &head);
        break;
    case CALL_DOCUMENT:
        reply_document(self, reply);
        break;
    case CALL_INSTANCES:
        list = is_down ? NULL : make_list(self);
        GbDocumentSync_CompleteInstancesWatch(&self->sync, reply->call_id,
                                              list);
        GbInstanceList_Unref(list);
        break;
    case CALL_PULL:
        reply_pull(self, reply);
        break;
    }
}

static struct SyncReply *
next_reply(struct SyncFixture *self)
{
    struct SyncReply *next = NULL;

    for (int i = 0; i < SYNC_REPLIES_MAX; i++) {
        struct SyncReply *reply = &self->replies[i];

        if (reply->is_set && (next == NULL || reply->due_us < next->due_us)) {
            next = reply;
        }
    }
    return next;
}

/* Schedules the replies to the watches of this kind at once, as their value
 * has changed. */
static void
complete_watches(struct SyncFixture *self, enum SyncCallKind kind)
{
    for (int i = 0; i < SYNC_REPLIES_MAX; i++) {
        struct SyncReply *reply = &self->replies[i];

        if (reply->is_set && reply->kind == kind &&
            self->platform_mode != PLATFORM_UNRESPONSIVE) {
            reply->due_us = now_us(self) + REPLY_DELAY_US;
        }
    }
}

void
GbSyncFixture_Open(struct SyncFixture *self, uint32_t peers)
{
    memset(self, 0, sizeof(*self));
    self->port.klass = &port_class;
    self->acceptance_port.klass = &acceptance_port_class;
    self->ready_us = -1;
    self->list_version = 1;
    self->list_peers = peers;
    GbManualClock_Init(&self->clock, 0, SYNC_WALL_START_US);
    GbSeededRandom_Init(&self->random, SEED);
    GbCounters_Init(&self->counters);
    GbAudit_Init(&self->audit);
    GbDocumentAcceptance_Init(&self->acceptance, &self->acceptance_port,
                              &self->clock.super, &self->counters);
    GbDocumentSync_Init(&self->sync, GbInstance_IdOfName(SYNC_OWN_NAME),
                        &self->acceptance, &self->port, &self->clock.super,
                        &self->random.super, &self->counters);
}

void
GbSyncFixture_Close(struct SyncFixture *self)
{
    GbDocumentSync_Finish(&self->sync);
    GbDocumentAcceptance_Finish(&self->acceptance);
    GbDocument_Unref(self->platform_document);
    for (int i = 0; i < SYNC_PEERS_MAX; i++) {
        GbDocument_Unref(self->peer_documents[i]);
    }
}

void
GbSyncFixture_PublishDocument(struct SyncFixture *self, uint64_t revision,
                              int64_t in_force_s)
{
    GbDocument_Unref(self->platform_document);
    self->platform_document = GbSampleDocument_New(
        revision, (uint8_t)revision, (uint8_t)(revision - 1),
        SYNC_WALL_START_US + in_force_s * US_PER_SECOND);
    complete_watches(self, CALL_HEAD);
}

void
GbSyncFixture_PublishInstances(struct SyncFixture *self, uint64_t version,
                               uint32_t peers)
{
    self->list_version = version;
    self->list_peers = peers;
    complete_watches(self, CALL_INSTANCES);
}

void
GbSyncFixture_SetPeerDocument(struct SyncFixture *self, uint32_t peer,
                              uint64_t revision)
{
    GbDocument_Unref(self->peer_documents[peer]);
    self->peer_documents[peer] =
        GbSampleDocument_New(revision, (uint8_t)revision,
                             (uint8_t)(revision - 1), SYNC_WALL_START_US);
}

void
GbSyncFixture_AnnounceFromPeer(struct SyncFixture *self, uint32_t peer,
                               uint64_t revision)
{
    struct GbAddress from = GbSyncFixture_PeerAddress(peer);
    struct GbDocument *document = GbSampleDocument_New(
        revision, (uint8_t)revision, (uint8_t)(revision - 1), 0);
    struct GbRevision announced = GbDocument_Revision(document);

    GbDocumentSync_ReceiveAnnouncement(&self->sync, &from, &announced);
    GbDocument_Unref(document);
}

struct GbAddress
GbSyncFixture_PeerAddress(uint32_t peer)
{
    struct GbAddress address = {PEER_IPV4, (uint16_t)(PEER_PORT + peer)};

    return address;
}

void
GbSyncFixture_RunUntil(struct SyncFixture *self, int64_t time_us)
{
    while (now_us(self) < time_us) {
        struct SyncReply *reply = next_reply(self);
        int64_t next_us = MIN(GbDocumentSync_NextTimerUs(&self->sync),
                              reply != NULL ? reply->due_us : INT64_MAX);

        if (next_us > now_us(self)) {
            GbManualClock_Advance(&self->clock,
                                  MIN(next_us, time_us) - now_us(self));
        }
        if (reply != NULL && reply->due_us <= now_us(self)) {
            deliver_reply(self, reply);
        }
        GbDocumentSync_Tick(&self->sync);
        if (self->ready_us < 0 && GbDocumentSync_IsReady(&self->sync)) {
            self->ready_us = now_us(self);
        }
    }
}
