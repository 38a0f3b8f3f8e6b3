#include "transport/control_sync.h"

#include <inttypes.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include "protocol/digest_text.h"
#include "protocol/document_json.h"
#include "protocol/instances_json.h"
#include "protocol/status_json.h"
#include "protocol/time_text.h"
#include "transport/log.h"
#include "transport/udp.h"

/* GbDocumentSync stops calls by itself; this ends what it has forgotten. */
#define CALL_LIMIT_MS 60000
#define HEAD_BYTES_MAX 4096
#define PATH_BYTES 128
#define PORT_TRIES 16
#define HTTP_OK 200

#define OF_MEMBER(pointer, member)                                            \
    ((struct GbControlSync *)((char *)(pointer)-offsetof(                     \
        struct GbControlSync, member)))

/* Refusals of what the platform offers need an operator. */
static const enum GbLogLevel event_levels[GB_AUDIT_EVENT_END] = {
    [GB_AUDIT_ACCEPTED] = GB_LOG_INFO,
    [GB_AUDIT_IN_FORCE] = GB_LOG_INFO,
    [GB_AUDIT_SUPERSEDED] = GB_LOG_INFO,
    [GB_AUDIT_CONFLICT] = GB_LOG_WARN,
    [GB_AUDIT_PARENT_MISMATCH] = GB_LOG_WARN,
    [GB_AUDIT_REFUSED_LOWER] = GB_LOG_WARN,
    [GB_AUDIT_REFUSED_INVALID] = GB_LOG_ERROR,
    [GB_AUDIT_REFUSED_PENDING_LIMIT] = GB_LOG_ERROR,
};

static void
record_audit(struct GbDocumentAcceptancePort *port,
             const struct GbAuditRecord *record)
{
    struct GbControlSync *self = OF_MEMBER(port, acceptance_port);
    char digest[GB_DIGEST_TEXT_BYTES];
    char accepted_at[GB_TIME_TEXT_BYTES];
    char in_force_at[GB_TIME_TEXT_BYTES];

    GbAudit_Add(&self->audit, record);
    GbLog_Event(event_levels[record->event], GbAudit_EventName(record->event),
                "revision=%" PRIu64 " digest=%s requested_by=%s source=%s "
                "accepted_at=%s in_force_at=%s",
                record->head.revision,
                GbDigestText_Format(record->head.digest, digest),
                record->requested_by, GbAudit_SourceName(record->source),
                GbTimeText_Format(record->accepted_at_us, accepted_at),
                GbTimeText_Format(record->in_force_at_us, in_force_at));
}

static const struct GbDocumentAcceptancePortClass acceptance_port_class = {
    .audit = record_audit,
};

static void
get(struct GbControlSync *self, struct GbControlSyncCall *call,
    uint32_t call_id, const char *path, size_t max_bytes)
{
    call->call_id = call_id;
    GbPlatformClient_Get(&self->platform, path, CALL_LIMIT_MS, max_bytes,
                         &call->super);
}

static void
watch_head(struct GbDocumentSyncPort *port, uint32_t call_id,
           const struct GbDocumentHead *known, uint32_t wait_ms)
{
    struct GbControlSync *self = OF_MEMBER(port, port);
    char digest[GB_DIGEST_TEXT_BYTES];
    char path[PATH_BYTES];

    g_snprintf(path, sizeof(path),
               "/v1/watch?revision=%" PRIu64 "&digest=%s&wait_ms=%" PRIu32,
               known->revision, GbDigestText_Format(known->digest, digest),
               wait_ms);
    get(self, &self->head_call, call_id, path, HEAD_BYTES_MAX);
}

static void
read_document(struct GbDocumentSyncPort *port, uint32_t call_id,
              const struct GbDocumentHead *head)
{
    struct GbControlSync *self = OF_MEMBER(port, port);
    char digest[GB_DIGEST_TEXT_BYTES];
    char path[PATH_BYTES];

    self->document_head = *head;
    g_snprintf(path, sizeof(path), "/v1/document?digest=%s",
               GbDigestText_Format(head->digest, digest));
    get(self, &self->document_call, call_id, path, GB_DOCUMENT_BYTES_MAX);
}

static void
watch_instances(struct GbDocumentSyncPort *port, uint32_t call_id,
                uint64_t version, uint32_t wait_ms)
{
    struct GbControlSync *self = OF_MEMBER(port, port);
    char path[PATH_BYTES];

    g_snprintf(path, sizeof(path),
               "/v1/instances?version=%" PRIu64 "&wait_ms=%" PRIu32, version,
               wait_ms);
    get(self, &self->instances_call, call_id, path,
        GB_PLATFORM_BODY_BYTES_MAX);
}

static void
pull(struct GbDocumentSyncPort *port, uint32_t call_id,
     const struct GbAddress *peer, const struct GbDocumentHead *known)
{
    struct GbControlSync *self = OF_MEMBER(port, port);

    self->pull_id = call_id;
    GbPeerClient_Pull(&self->client, peer, known);
}

static void
stop(struct GbDocumentSyncPort *port, uint32_t call_id)
{
    struct GbControlSync *self = OF_MEMBER(port, port);
    struct GbControlSyncCall *calls[] = {
        &self->head_call, &self->document_call, &self->instances_call};

    if (call_id == self->pull_id) {
        GbPeerClient_Stop(&self->client);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        if (calls[i]->call_id == call_id) {
            GbPlatformClient_Stop(&self->platform, &calls[i]->super);
        }
    }
}

static void
announce(struct GbDocumentSyncPort *port, const struct GbAddress *to,
         const struct GbRevision *revision)
{
    struct GbControlSync *self = OF_MEMBER(port, port);

    self->events->klass->announce(self->events, to, revision);
}

static void
publish(struct GbDocumentSyncPort *port, struct GbDocument *document,
        struct GbInstanceList *list)
{
    struct GbControlSync *self = OF_MEMBER(port, port);

    self->events->klass->publish(self->events, document, list);
}

static const struct GbDocumentSyncPortClass port_class = {
    .watch_head = watch_head,
    .read_document = read_document,
    .watch_instances = watch_instances,
    .pull = pull,
    .cancel = stop,
    .announce = announce,
    .publish = publish,
};

static void
head_read(struct GbPlatformReply *reply, int status, const uint8_t *data,
          size_t size_bytes)
{
    struct GbControlSyncCall *call = (struct GbControlSyncCall *)reply;
    struct GbDocumentHead head;
    bool is_valid =
        status == HTTP_OK &&
        GbStatusJson_ParseHead(&head, data, size_bytes) == GB_PROTOCOL_OK;

    GbDocumentSync_CompleteHeadWatch(&call->sync->sync, call->call_id,
                                     is_valid ? &head : NULL);
}

/* Parses bytes that should be the document of head. */
static enum GbReadOutcome
parse_document(struct GbDocument **document, const struct GbDocumentHead *head,
               const uint8_t *data, size_t size_bytes)
{
    uint8_t digest[GB_DIGEST_BYTES];

    *document = NULL;
    GbDocumentJson_ComputeDigest(data, size_bytes, digest);
    if (memcmp(digest, head->digest, GB_DIGEST_BYTES) != 0) {
        return GB_READ_FAILED;
    }
    return GbDocumentJson_Parse(document, data, size_bytes, NULL) ==
                   GB_PROTOCOL_OK
               ? GB_READ_DONE
               : GB_READ_INVALID;
}

static void
document_read(struct GbPlatformReply *reply, int status, const uint8_t *data,
              size_t size_bytes)
{
    struct GbControlSyncCall *call = (struct GbControlSyncCall *)reply;
    struct GbControlSync *self = call->sync;
    struct GbDocument *document = NULL;
    enum GbReadOutcome outcome = GB_READ_FAILED;

    if (status == HTTP_OK) {
        outcome =
            parse_document(&document, &self->document_head, data, size_bytes);
    }
    GbDocumentSync_CompleteDocumentRead(&self->sync, call->call_id, outcome,
                                        document);
    GbDocument_Unref(document);
}

static void
instances_read(struct GbPlatformReply *reply, int status, const uint8_t *data,
               size_t size_bytes)
{
    struct GbControlSyncCall *call = (struct GbControlSyncCall *)reply;
    struct GbInstanceList *list = NULL;

    if (status == HTTP_OK) {
        GbInstancesJson_Parse(&list, data, size_bytes, NULL);
    }
    GbDocumentSync_CompleteInstancesWatch(&call->sync->sync, call->call_id,
                                          list);
    GbInstanceList_Unref(list);
}

static void
pull_ended(struct GbPeerReply *reply, const struct GbFrame *frame)
{
    struct GbControlSync *self = OF_MEMBER(reply, peer_reply);
    struct GbDocument *document = NULL;
    enum GbReadOutcome outcome = GB_READ_FAILED;

    if (frame != NULL && frame->kind == GB_FRAME_NO_DOCUMENT) {
        outcome = GB_READ_NOT_NEWER;
    }
    else if (frame != NULL) {
        outcome = parse_document(&document, &frame->head, frame->document.data,
                                 frame->document.size_bytes);
    }
    GbDocumentSync_CompletePull(&self->sync, self->pull_id, outcome,
                                frame != NULL ? &frame->head : NULL, document);
    GbDocument_Unref(document);
}

static struct GbDocument *
highest(struct GbPeerHandler *handler, const struct GbDocumentHead *known)
{
    struct GbControlSync *self = OF_MEMBER(handler, peer_handler);

    (void)known;
    return GbDocumentAcceptance_Highest(&self->acceptance);
}

static void
init_call(struct GbControlSync *self, struct GbControlSyncCall *call,
          void (*done)(struct GbPlatformReply *, int, const uint8_t *, size_t))
{
    call->super.done = done;
    call->sync = self;
}

void
GbControlSync_Init(struct GbControlSync *self, const char *instance_name,
                   struct GbControlSyncEvents *events, struct GbClock *clock,
                   struct GbCounters *counters)
{
    memset(self, 0, sizeof(*self));
    self->port.klass = &port_class;
    self->acceptance_port.klass = &acceptance_port_class;
    self->peer_handler.highest = highest;
    self->peer_reply.done = pull_ended;
    init_call(self, &self->head_call, head_read);
    init_call(self, &self->document_call, document_read);
    init_call(self, &self->instances_call, instances_read);
    self->events = events;
    self->counters = counters;
    GbSystemRandom_Init(&self->random);
    GbAudit_Init(&self->audit);
    GbDocumentAcceptance_Init(&self->acceptance, &self->acceptance_port, clock,
                              counters);
    GbDocumentSync_Init(&self->sync, GbInstance_IdOfName(instance_name),
                        &self->acceptance, &self->port, clock,
                        &self->random.super, counters);
}

void
GbControlSync_Open(struct GbControlSync *self, struct event_base *base,
                   const struct GbAddress *platform)
{
    GbPlatformClient_Init(&self->platform, base, platform);
}

enum GbTransportStatus
GbControlSync_Listen(struct GbControlSync *self,
                     const struct GbAddress *address,
                     const struct GbKeys *keys, struct GbErrorText *last)
{
    enum GbTransportStatus status = GB_TRANSPORT_SYSTEM;

    GbPeerClient_Init(&self->client, self->platform.base, keys,
                      &self->peer_reply, self->counters);
    /* A port that is free for TCP may be taken for UDP: with port 0 the
     * system chooses one for UDP, which is then tried for TCP. */
    for (int i = 0; i < PORT_TRIES && status != GB_TRANSPORT_OK; i++) {
        struct GbAddress chosen = *address;
        int held_fd = address->port == 0 ? GbUdp_HoldPort(&chosen) : -1;

        status =
            GbPeerServer_Open(&self->server, &chosen, self->platform.base,
                              &self->peer_handler, keys, self->counters, last);
        if (held_fd >= 0) {
            close(held_fd);
        }
        if (address->port != 0) {
            break;
        }
    }
    return status;
}

void
GbControlSync_Close(struct GbControlSync *self)
{
    GbPlatformClient_Finish(&self->platform);
    GbPeerClient_Stop(&self->client);
    GbPeerServer_Close(&self->server);
    GbDocumentSync_Finish(&self->sync);
    GbDocumentAcceptance_Finish(&self->acceptance);
}
