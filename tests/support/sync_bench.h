#ifndef GB_TESTS_SYNC_BENCH_H
#define GB_TESTS_SYNC_BENCH_H

#include "coordination/documents/document_sync.h"

#define SYNC_PEERS_MAX 12
#define SYNC_REPLIES_MAX 8
#define SYNC_WALL_START_US INT64_C(1900000000000000)
#define SYNC_OWN_NAME "self"

enum PlatformMode {
    PLATFORM_NORMAL,
    /* Every call fails at once. */
    PLATFORM_DOWN,
    /* No call is ever answered. */
    PLATFORM_SLOW,
    /* Answers at once with what it has, whatever the caller knows. */
    PLATFORM_HASTY,
    /* Heads are answered; the document's bytes are another document's. */
    PLATFORM_GARBAGE,
    /* The document has the right digest and fails its checks. */
    PLATFORM_INVALID
};

enum PeerMode { PEER_NORMAL, PEER_REFUSES, PEER_SILENT };

enum SyncCallKind { CALL_HEAD, CALL_DOCUMENT, CALL_INSTANCES, CALL_PULL };

struct SyncReply {
    bool is_set;
    enum SyncCallKind kind;
    uint32_t call_id;
    int64_t due_us;
    struct GbDocumentHead known;
    uint64_t known_version;
    uint32_t peer;
};

/* Document exchange with a fake platform and fake peers on a manual clock. */
struct SyncBench {
    struct GbDocumentSyncPort port;
    struct GbDocumentAcceptancePort acceptance_port;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct GbAudit audit;
    struct GbDocumentAcceptance acceptance;
    struct GbDocumentSync sync;

    enum PlatformMode platform_mode;
    struct GbDocument *platform_document;
    uint64_t list_version;
    uint32_t list_peers;
    enum PeerMode peer_modes[SYNC_PEERS_MAX];
    struct GbDocument *peer_documents[SYNC_PEERS_MAX];

    struct SyncReply replies[SYNC_REPLIES_MAX];
    uint32_t platform_calls;
    uint32_t document_reads;
    uint32_t pulls;
    uint32_t active_pulls;
    uint32_t active_pulls_max;
    uint32_t announcements;
    uint32_t published;
    /* Time at which the process became ready; -1 before. */
    int64_t ready_us;
    /* Lowest revision published after a higher one; 0 if there was none. */
    uint64_t reverted_to;
    uint64_t published_revision;
};

void GbSyncBench_Open(struct SyncBench *self, uint32_t peers);
void GbSyncBench_Close(struct SyncBench *self);

/* The platform offers a document, in force in_force_s after the start of the
 * test. */
void GbSyncBench_Publish(struct SyncBench *self, uint64_t revision,
                         int64_t in_force_s);

#define SYNC_LIST_EMPTY UINT32_MAX

/* The platform offers a list of the process itself and so many peers, or an
 * empty one. */
void GbSyncBench_List(struct SyncBench *self, uint64_t version,
                      uint32_t peers);

/* A peer holds this revision. */
void GbSyncBench_Hold(struct SyncBench *self, uint32_t peer,
                      uint64_t revision);

/* A peer announces this revision. */
void GbSyncBench_Announce(struct SyncBench *self, uint32_t peer,
                          uint64_t revision);

struct GbAddress GbSyncBench_PeerAddress(uint32_t peer);

void GbSyncBench_RunUntil(struct SyncBench *self, int64_t time_us);

#endif
