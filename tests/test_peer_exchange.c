#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <sodium.h>
#include <string.h>

#include "support/sample_document.h"
#include "transport/peer_client.h"
#include "transport/peer_server.h"

#define LOOPBACK 0x7f000001
#define LIMIT_S 5
#define EXTRA_CONNECTIONS 8
#define HELD_BYTES (700 * 1024)

static const struct GbKeys fleet_keys = {.current = "0123456789abcde"};
static const struct GbKeys other_keys = {.current = "another fleet's"};

struct Bench {
    struct GbPeerDocumentSource handler;
    struct GbPeerReplyHandler reply;
    struct event_base *base;
    struct GbPeerServer server;
    struct GbPeerClient client;
    struct GbCounters server_counters;
    struct GbCounters client_counters;
    struct GbDocument *document;
    struct GbAddress address;
    bool is_done;
    bool is_answered;
    enum GbFrameKind kind;
    uint32_t document_bytes;
};

static struct GbDocument *
highest(struct GbPeerDocumentSource *handler,
        const struct GbDocumentHead *known)
{
    (void)known;
    return ((struct Bench *)handler)->document;
}

static void
done(struct GbPeerReplyHandler *reply, const struct GbFrame *frame)
{
    struct Bench *bench =
        (struct Bench *)((char *)reply - offsetof(struct Bench, reply));

    bench->is_done = true;
    bench->is_answered = frame != NULL;
    if (frame != NULL) {
        bench->kind = frame->kind;
        bench->document_bytes = frame->document.size_bytes;
    }
}

static void
open_bench(struct Bench *bench, uint64_t held_revision,
           const struct GbKeys *client_keys)
{
    static const struct GbAddress any = {LOOPBACK, 0};

    memset(bench, 0, sizeof(*bench));
    bench->handler.find_document = highest;
    bench->reply.done = done;
    bench->base = event_base_new();
    if (held_revision > 0) {
        bench->document = GbSampleDocument_New(held_revision, 1, 0, 0);
        bench->document->bytes = g_malloc0(HELD_BYTES);
        bench->document->size_bytes = HELD_BYTES;
    }
    g_assert_cmpint(GbPeerServer_Open(&bench->server, &any, bench->base,
                                      &bench->handler, &fleet_keys,
                                      &bench->server_counters, NULL),
                    ==, GB_TRANSPORT_OK);
    bench->address = any;
    bench->address.port = GbPeerServer_Port(&bench->server);
    GbPeerClient_Init(&bench->client, bench->base, client_keys, &bench->reply,
                      &bench->client_counters);
}

static void
close_bench(struct Bench *bench)
{
    GbPeerClient_CancelPull(&bench->client);
    GbPeerServer_Close(&bench->server);
    event_base_free(bench->base);
    GbDocument_Unref(bench->document);
}

/* Runs until flag is set, for a bounded time. */
static void
run_until(struct Bench *bench, const bool *flag)
{
    static const struct timeval limit = {LIMIT_S, 0};

    event_base_loopexit(bench->base, &limit);
    while (!*flag && !event_base_got_exit(bench->base)) {
        event_base_loop(bench->base, EVLOOP_ONCE);
    }
    g_assert_true(*flag);
}

struct PullCase {
    const char *name;
    uint64_t held;
    uint64_t known;
    const struct GbKeys *client_keys;
    bool is_answered;
    enum GbFrameKind kind;
    uint64_t forged;
};

static const struct PullCase pull_cases[] = {
    {"newer document", 5, 4, &fleet_keys, true, GB_FRAME_DOCUMENT, 0},
    {"first document", 5, 0, &fleet_keys, true, GB_FRAME_DOCUMENT, 0},
    {"nothing newer", 5, 6, &fleet_keys, true, GB_FRAME_NOTHING, 0},
    {"nothing at all", 0, 0, &fleet_keys, true, GB_FRAME_NOTHING, 0},
    {"wrong key", 5, 4, &other_keys, false, GB_FRAME_NOTHING, 1},
};

/* Guards against documents that get lost between two processes, and against
 * processes that answer strangers. */
static void
test_pull(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pull_cases); i++) {
        const struct PullCase *row = &pull_cases[i];
        struct GbDocumentHead known = {row->known, {0}};
        struct Bench bench;

        g_test_message("%s", row->name);
        open_bench(&bench, row->held, row->client_keys);
        GbPeerClient_Pull(&bench.client, &bench.address, &known);
        g_assert_false(bench.is_done);
        run_until(&bench, &bench.is_done);
        g_assert_cmpint(bench.is_answered, ==, row->is_answered);
        if (row->is_answered) {
            g_assert_cmpint(bench.kind, ==, row->kind);
            g_assert_cmpuint(bench.document_bytes, ==,
                             row->kind == GB_FRAME_DOCUMENT ? HELD_BYTES : 0);
        }
        g_assert_cmpuint(
            bench.server_counters.values[GB_COUNTER_FRAMES_FORGED], ==,
            row->forged);
        close_bench(&bench);
    }
}

/* Guards against a pull that never ends when nobody listens. */
static void
test_refused(void)
{
    struct GbDocumentHead known = {0};
    struct Bench bench;

    open_bench(&bench, 0, &fleet_keys);
    GbPeerServer_Close(&bench.server);
    GbPeerClient_Pull(&bench.client, &bench.address, &known);
    g_assert_false(bench.is_done);
    run_until(&bench, &bench.is_done);
    g_assert_false(bench.is_answered);
    close_bench(&bench);
}

struct RawCase {
    const char *name;
    uint8_t data[160];
    uint32_t size_bytes;
    bool is_closed_by_client;
    uint64_t malformed;
    uint64_t timed_out;
};

static const struct RawCase raw_cases[] = {
    {"length beyond the limit", {1, 0, 0, 0}, 4, false, 1, 0},
    {"a hash that nobody made", {0, 0, 0, 1, 0x90}, 21, false, 0, 0},
    {"more than a request", {0, 0, 0, 1, 0x90}, 160, false, 1, 0},
    {"cut in the length", {0, 0}, 2, true, 1, 0},
    {"cut in the array", {0, 0, 0, 30, 0x94}, 10, true, 1, 0},
    {"half a frame and silence", {0, 0, 0, 30, 0x94}, 10, false, 0, 1},
    {"silence", {0}, 0, false, 0, 1},
};

static void
raw_ended(struct bufferevent *stream, short events, void *context)
{
    (void)stream;
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        *(bool *)context = true;
    }
}

static struct bufferevent *
connect_raw(struct Bench *bench, bool *is_ended)
{
    struct sockaddr_in system = {.sin_family = AF_INET};
    struct bufferevent *stream = bufferevent_socket_new(
        bench->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);

    system.sin_addr.s_addr = htonl(bench->address.ipv4);
    system.sin_port = htons(bench->address.port);
    bufferevent_setcb(stream, NULL, NULL, raw_ended, is_ended);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    bufferevent_socket_connect(stream, (struct sockaddr *)&system,
                               sizeof(system));
    return stream;
}

static uint64_t
faults(const struct Bench *bench)
{
    const uint64_t *counters = bench->server_counters.values;

    return counters[GB_COUNTER_FRAMES_MALFORMED] +
           counters[GB_COUNTER_FRAMES_TIMED_OUT] +
           counters[GB_COUNTER_FRAMES_FORGED];
}

static void
run_until_fault(struct Bench *bench)
{
    static const struct timeval limit = {LIMIT_S, 0};

    event_base_loopexit(bench->base, &limit);
    while (faults(bench) == 0 && !event_base_got_exit(bench->base)) {
        event_base_loop(bench->base, EVLOOP_ONCE);
    }
    g_assert_cmpuint(faults(bench), ==, 1);
}

/* Guards against connections that stay open, take memory or stop the task
 * because of what arrives on them. */
static void
test_raw(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(raw_cases); i++) {
        const struct RawCase *row = &raw_cases[i];
        struct Bench bench;
        bool is_ended = false;
        struct bufferevent *stream;
        const uint64_t *counters = bench.server_counters.values;

        g_test_message("%s", row->name);
        open_bench(&bench, 5, &fleet_keys);
        stream = connect_raw(&bench, &is_ended);
        bufferevent_write(stream, row->data, row->size_bytes);
        if (row->is_closed_by_client) {
            while (evbuffer_get_length(bufferevent_get_output(stream)) > 0) {
                event_base_loop(bench.base, EVLOOP_ONCE);
            }
            bufferevent_free(stream);
            run_until_fault(&bench);
        }
        else {
            run_until(&bench, &is_ended);
            bufferevent_free(stream);
        }
        g_assert_cmpuint(g_hash_table_size(bench.server.connections), ==, 0);
        g_assert_cmpuint(counters[GB_COUNTER_FRAMES_MALFORMED], ==,
                         row->malformed);
        g_assert_cmpuint(counters[GB_COUNTER_FRAMES_TIMED_OUT], ==,
                         row->timed_out);
        g_assert_cmpuint(counters[GB_COUNTER_FRAMES_FORGED], ==,
                         1 - row->malformed - row->timed_out);
        close_bench(&bench);
    }
}

/* Guards against a process that is taken out of memory by connections. */
static void
test_connection_limit(void)
{
    struct Bench bench;
    struct bufferevent *streams[GB_PEER_CONNECTIONS_MAX + EXTRA_CONNECTIONS];
    bool is_ended[G_N_ELEMENTS(streams)] = {false};
    const uint64_t *counters = bench.server_counters.values;

    open_bench(&bench, 5, &fleet_keys);
    for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
        streams[i] = connect_raw(&bench, &is_ended[i]);
    }
    while (counters[GB_COUNTER_PEER_CONNECTIONS] +
               counters[GB_COUNTER_PEER_CONNECTIONS_REFUSED] <
           G_N_ELEMENTS(streams)) {
        event_base_loop(bench.base, EVLOOP_ONCE);
    }
    g_assert_cmpuint(counters[GB_COUNTER_PEER_CONNECTIONS_REFUSED], ==,
                     EXTRA_CONNECTIONS);
    g_assert_cmpuint(g_hash_table_size(bench.server.connections), ==,
                     GB_PEER_CONNECTIONS_MAX);
    for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
        bufferevent_free(streams[i]);
    }
    close_bench(&bench);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    if (sodium_init() < 0) {
        return 1;
    }
    g_test_add_func("/peer-exchange/pull", test_pull);
    g_test_add_func("/peer-exchange/refused", test_refused);
    g_test_add_func("/peer-exchange/raw", test_raw);
    g_test_add_func("/peer-exchange/connection-limit", test_connection_limit);
    return g_test_run();
}
