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

/* GbDocumentSync has shorter timeouts of its own and cancels calls. This limit
 * ends calls that it failed to cancel. */
#define CALL_TIMEOUT_MS 60000
#define HEAD_BODY_BYTES_MAX 4096
#define PATH_BYTES 128
#define PORT_ATTEMPTS_MAX 16
#define HTTP_OK 200

#define CONTAINER_OF(pointer, member)                                         \
    ((struct GbControlSync *)((char *)(pointer)-offsetof(                     \
        struct GbControlSync, member)))

/* Documents refused as invalid or beyond the pending limit are errors because
 * an operator must act. */
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
    struct GbControlSync *self = CONTAINER_OF(port, acceptance_port);
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
start_platform_call(struct GbControlSync *self, struct GbControlSyncCall *call,
                    uint32_t call_id, const char *path, size_t max_bytes)
{
    call->call_id = call_id;
    GbPlatformClient_Get(&self->platform, path, CALL_TIMEOUT_MS, max_bytes,
                         &call->super);
}

static void
watch_head(struct GbDocumentSyncPort *port, uint32_t call_id,
           const struct GbDocumentHead *known, uint32_t wait_ms)
{
    struct GbControlSync *self = CONTAINER_OF(port, port);
    char digest[GB_DIGEST_TEXT_BYTES];
    char path[PATH_BYTES];

    g_snprintf(path, sizeof(path),
               "/v1/watch?revision=%" PRIu64 "&digest=%s&wait_ms=%" PRIu32,
               known->revision, GbDigestText_Format(known->digest, digest),
               wait_ms);
    start_platform_call(self, &self->head_call, call_id, path,
                        HEAD_BODY_BYTES_MAX);
}

static void
read_document(struct GbDocumentSyncPort *port, uint32_t call_id,
              const struct GbDocumentHead *head)
{
    struct GbControlSync *self = CONTAINER_OF(port, port);
    char digest[GB_DIGEST_TEXT_BYTES];
    char path[PATH_BYTES];

    self->document_head = *head;
    g_snprintf(path, sizeof(path), "/v1/document?digest=%s",
               GbDigestText_Format(head->digest, digest));
    start_platform_call(self, &self->document_call, call_id, path,
                        GB_DOCUMENT_BYTES_MAX);
}

static void
watch_instances(struct GbDocumentSyncPort *port, uint32_t call_id,
                uint64_t version, uint32_t wait_ms)
{
    struct GbControlSync *self = CONTAINER_OF(port, port);
    char path[PATH_BYTES];

    g_snprintf(path, sizeof(path),
               "/v1/instances?version=%" PRIu64 "&wait_ms=%" PRIu32, version,
               wait_ms);
    start_platform_call(self, &self->instances_call, call_id, path,
                        GB_PLATFORM_BODY_BYTES_MAX);
}

static void
pull(struct GbDocumentSyncPort *port, uint32_t call_id,
     const struct GbAddress *peer, const struct GbDocumentHead *known)
{
    struct GbControlSync *self = CONTAINER_OF(port, port);

    self->pull_call_id = call_id;
    GbPeerClient_Pull(&self->peer_client, peer, known);
}

static void
cancel_call(struct GbDocumentSyncPort *port, uint32_t call_id)
{
    struct GbControlSync *self = CONTAINER_OF(port, port);
    struct GbControlSyncCall *calls[] = {
        &self->head_call, &self->document_call, &self->instances_call};

    if (call_id == self->pull_call_id) {
        GbPeerClient_CancelPull(&self->peer_client);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        if (calls[i]->call_id == call_id) {
            GbPlatformClient_Cancel(&self->platform, &calls[i]->super);
        }
    }
}

static void
announce(struct GbDocumentSyncPort *port, const struct GbAddress *to,
         const struct GbRevision *revision)
{
    struct GbControlSync *self = CONTAINER_OF(port, port);

    self->listener->klass->announce(self->listener, to, revision);
}

static void
publish(struct GbDocumentSyncPort *port, struct GbDocument *document,
        struct GbInstanceList *list)
{
    struct GbControlSync *self = CONTAINER_OF(port, port);

    self->listener->klass->publish(self->listener, document, list);
}

static const struct GbDocumentSyncPortClass port_class = {
    .watch_head = watch_head,
    .read_document = read_document,
    .watch_instances = watch_instances,
    .pull = pull,
    .cancel = cancel_call,
    .announce = announce,
    .publish = publish,
};

static void
head_watch_completed(struct GbPlatformReplyHandler *handler, int status,
                     const uint8_t *data, size_t size_bytes)
{
    struct GbControlSyncCall *call = (struct GbControlSyncCall *)handler;
    struct GbDocumentHead head;
    bool is_valid =
        status == HTTP_OK &&
        GbStatusJson_ParseHead(&head, data, size_bytes) == GB_PROTOCOL_OK;

    GbDocumentSync_CompleteHeadWatch(&call->sync->sync, call->call_id,
                                     is_valid ? &head : NULL);
}

/* Parses a document after checking that its digest matches head. */
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
document_read_completed(struct GbPlatformReplyHandler *handler, int status,
                        const uint8_t *data, size_t size_bytes)
{
    struct GbControlSyncCall *call = (struct GbControlSyncCall *)handler;
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
instances_watch_completed(struct GbPlatformReplyHandler *handler, int status,
                          const uint8_t *data, size_t size_bytes)
{
    struct GbControlSyncCall *call = (struct GbControlSyncCall *)handler;
    struct GbInstanceList *list = NULL;

    if (status == HTTP_OK) {
        GbInstancesJson_Parse(&list, data, size_bytes, NULL);
    }
    GbDocumentSync_CompleteInstancesWatch(&call->sync->sync, call->call_id,
                                          list);
    GbInstanceList_Unref(list);
}

static void
pull_completed(struct GbPeerReplyHandler *handler, const struct GbFrame *frame)
{
    struct GbControlSync *self = CONTAINER_OF(handler, pull_reply_handler);
    struct GbDocument *document = NULL;
    enum GbReadOutcome outcome = GB_READ_FAILED;

    if (frame != NULL && frame->kind == GB_FRAME_NO_DOCUMENT) {
        outcome = GB_READ_NOT_NEWER;
    }
    else if (frame != NULL) {
        outcome = parse_document(&document, &frame->head, frame->document.data,
                                 frame->document.size_bytes);
    }
    GbDocumentSync_CompletePull(&self->sync, self->pull_call_id, outcome,
                                frame != NULL ? &frame->head : NULL, document);
    GbDocument_Unref(document);
}

static struct GbDocument *
find_document(struct GbPeerDocumentSource *source,
              const struct GbDocumentHead *known)
{
    struct GbControlSync *self = CONTAINER_OF(source, document_source);

    (void)known;
    return GbDocumentAcceptance_Highest(&self->acceptance);
}

static void
init_platform_call(struct GbControlSync *self, struct GbControlSyncCall *call,
                   void (*completed)(struct GbPlatformReplyHandler *, int,
                                     const uint8_t *, size_t))
{
    call->super.completed = completed;
    call->sync = self;
}

void
GbControlSync_Init(struct GbControlSync *self, const char *instance_name,
                   struct GbControlSyncListener *listener,
                   struct GbClock *clock, struct GbCounters *counters)
{
    memset(self, 0, sizeof(*self));
    self->port.klass = &port_class;
    self->acceptance_port.klass = &acceptance_port_class;
    self->document_source.find_document = find_document;
    self->pull_reply_handler.completed = pull_completed;
    init_platform_call(self, &self->head_call, head_watch_completed);
    init_platform_call(self, &self->document_call, document_read_completed);
    init_platform_call(self, &self->instances_call, instances_watch_completed);
    self->listener = listener;
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
                     const struct GbKeys *keys, struct GbErrorText *error)
{
    enum GbTransportStatus status = GB_TRANSPORT_SYSTEM_ERROR;

    GbPeerClient_Init(&self->peer_client, self->platform.base, keys,
                      &self->pull_reply_handler, self->counters);
    /* A port that is free for TCP may be in use for UDP. With port 0,
     * therefore, the system first chooses a free UDP port, which is reserved
     * while the server tries to bind the same TCP port. */
    for (int i = 0; i < PORT_ATTEMPTS_MAX && status != GB_TRANSPORT_OK; i++) {
        struct GbAddress chosen = *address;
        int reserved_fd = address->port == 0 ? GbUdp_ReservePort(&chosen) : -1;

        status = GbPeerServer_Open(&self->peer_server, &chosen,
                                   self->platform.base, &self->document_source,
                                   keys, self->counters, error);
        if (reserved_fd >= 0) {
            close(reserved_fd);
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
    GbPeerClient_CancelPull(&self->peer_client);
    GbPeerServer_Close(&self->peer_server);
    GbDocumentSync_Finish(&self->sync);
    GbDocumentAcceptance_Finish(&self->acceptance);
}
