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
#define TIMEOUT_S 5
#define EXTRA_CONNECTIONS 8
#define DOCUMENT_BYTES (700 * 1024)

static const struct GbKeys fleet_keys = {.current = "0123456789abcde"};
static const struct GbKeys other_keys = {.current = "another fleet's"};

struct Fixture {
    struct GbPeerDocumentSource source;
    struct GbPeerReplyHandler reply_handler;
    struct event_base *base;
    struct GbPeerServer server;
    struct GbPeerClient client;
    struct GbCounters server_counters;
    struct GbCounters client_counters;
    struct GbDocument *document;
    struct GbAddress address;
    bool is_done;
    bool has_reply;
    enum GbFrameKind kind;
    uint32_t document_bytes;
};

static struct GbDocument *
find_document(struct GbPeerDocumentSource *source,
              const struct GbDocumentHead *known)
{
    (void)known;
    return ((struct Fixture *)source)->document;
}

static void
complete_pull(struct GbPeerReplyHandler *handler, const struct GbFrame *frame)
{
    struct Fixture *fixture =
        (struct Fixture *)((char *)handler -
                           offsetof(struct Fixture, reply_handler));

    fixture->is_done = true;
    fixture->has_reply = frame != NULL;
    if (frame != NULL) {
        fixture->kind = frame->kind;
        fixture->document_bytes = frame->document.size_bytes;
    }
}

static void
open_fixture(struct Fixture *fixture, uint64_t served_revision,
             const struct GbKeys *client_keys)
{
    static const struct GbAddress any = {LOOPBACK, 0};

    memset(fixture, 0, sizeof(*fixture));
    fixture->source.find_document = find_document;
    fixture->reply_handler.completed = complete_pull;
    fixture->base = event_base_new();
    if (served_revision > 0) {
        fixture->document = GbSampleDocument_New(served_revision, 1, 0, 0);
        fixture->document->bytes = g_malloc0(DOCUMENT_BYTES);
        fixture->document->size_bytes = DOCUMENT_BYTES;
    }
    g_assert_cmpint(GbPeerServer_Open(&fixture->server, &any, fixture->base,
                                      &fixture->source, &fleet_keys,
                                      &fixture->server_counters, NULL),
                    ==, GB_TRANSPORT_OK);
    fixture->address = any;
    fixture->address.port = GbPeerServer_Port(&fixture->server);
    GbPeerClient_Init(&fixture->client, fixture->base, client_keys,
                      &fixture->reply_handler, &fixture->client_counters);
}

static void
close_fixture(struct Fixture *fixture)
{
    GbPeerClient_CancelPull(&fixture->client);
    GbPeerServer_Close(&fixture->server);
    event_base_free(fixture->base);
    GbDocument_Unref(fixture->document);
}

/* Runs the event loop until flag is set, for TIMEOUT_S at most. */
static void
run_until(struct Fixture *fixture, const bool *flag)
{
    static const struct timeval limit = {TIMEOUT_S, 0};

    event_base_loopexit(fixture->base, &limit);
    while (!*flag && !event_base_got_exit(fixture->base)) {
        event_base_loop(fixture->base, EVLOOP_ONCE);
    }
    g_assert_true(*flag);
}

struct PullCase {
    const char *name;
    uint64_t served;
    uint64_t known;
    const struct GbKeys *client_keys;
    bool has_reply;
    enum GbFrameKind kind;
    uint64_t forged;
};

static const struct PullCase pull_cases[] = {
    {"newer document", 5, 4, &fleet_keys, true, GB_FRAME_DOCUMENT, 0},
    {"first document", 5, 0, &fleet_keys, true, GB_FRAME_DOCUMENT, 0},
    {"no newer document", 5, 6, &fleet_keys, true, GB_FRAME_NO_DOCUMENT, 0},
    {"no document", 0, 0, &fleet_keys, true, GB_FRAME_NO_DOCUMENT, 0},
    {"wrong key", 5, 4, &other_keys, false, GB_FRAME_NO_DOCUMENT, 1},
};

/* Guards against pulls that do not deliver the document, and against replies
 * to clients with another key. */
static void
test_pull(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pull_cases); i++) {
        const struct PullCase *row = &pull_cases[i];
        struct GbDocumentHead known = {row->known, {0}};
        struct Fixture fixture;

        g_test_message("%s", row->name);
        open_fixture(&fixture, row->served, row->client_keys);
        GbPeerClient_Pull(&fixture.client, &fixture.address, &known);
        g_assert_false(fixture.is_done);
        run_until(&fixture, &fixture.is_done);
        g_assert_cmpint(fixture.has_reply, ==, row->has_reply);
        if (row->has_reply) {
            g_assert_cmpint(fixture.kind, ==, row->kind);
            g_assert_cmpuint(fixture.document_bytes, ==,
                             row->kind == GB_FRAME_DOCUMENT ? DOCUMENT_BYTES
                                                            : 0);
        }
        g_assert_cmpuint(
            fixture.server_counters.values[GB_COUNTER_FRAMES_FORGED], ==,
            row->forged);
        close_fixture(&fixture);
    }
}

/* Guards against a pull that never ends because the connection is refused. */
static void
test_connection_refused(void)
{
    struct GbDocumentHead known = {0};
    struct Fixture fixture;

    open_fixture(&fixture, 0, &fleet_keys);
    GbPeerServer_Close(&fixture.server);
    GbPeerClient_Pull(&fixture.client, &fixture.address, &known);
    g_assert_false(fixture.is_done);
    run_until(&fixture, &fixture.is_done);
    g_assert_false(fixture.has_reply);
    close_fixture(&fixture);
}

struct FrameCase {
    const char *name;
    uint8_t data[160];
    uint32_t size_bytes;
    bool is_closed_by_client;
    uint64_t malformed;
    uint64_t timed_out;
};

static const struct FrameCase frame_cases[] = {
    {"length beyond the limit", {1, 0, 0, 0}, 4, false, 1, 0},
    {"wrong authentication tag", {0, 0, 0, 1, 0x90}, 21, false, 0, 0},
    {"longer than a request", {0, 0, 0, 1, 0x90}, 160, false, 1, 0},
    {"closed within the length", {0, 0}, 2, true, 1, 0},
    {"closed within the array", {0, 0, 0, 30, 0x94}, 10, true, 1, 0},
    {"no data after half a frame", {0, 0, 0, 30, 0x94}, 10, false, 0, 1},
    {"no data", {0}, 0, false, 0, 1},
};

static void
handle_stream_end(struct bufferevent *stream, short events, void *context)
{
    (void)stream;
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        *(bool *)context = true;
    }
}

static struct bufferevent *
connect_raw(struct Fixture *fixture, bool *is_ended)
{
    struct sockaddr_in system = {.sin_family = AF_INET};
    struct bufferevent *stream = bufferevent_socket_new(
        fixture->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);

    system.sin_addr.s_addr = htonl(fixture->address.ipv4);
    system.sin_port = htons(fixture->address.port);
    bufferevent_setcb(stream, NULL, NULL, handle_stream_end, is_ended);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    bufferevent_socket_connect(stream, (struct sockaddr *)&system,
                               sizeof(system));
    return stream;
}

static uint64_t
count_faults(const struct Fixture *fixture)
{
    const uint64_t *counters = fixture->server_counters.values;

    return counters[GB_COUNTER_FRAMES_MALFORMED] +
           counters[GB_COUNTER_FRAMES_TIMED_OUT] +
           counters[GB_COUNTER_FRAMES_FORGED];
}

static void
run_until_fault(struct Fixture *fixture)
{
    static const struct timeval limit = {TIMEOUT_S, 0};

    event_base_loopexit(fixture->base, &limit);
    while (count_faults(fixture) == 0 && !event_base_got_exit(fixture->base)) {
        event_base_loop(fixture->base, EVLOOP_ONCE);
    }
    g_assert_cmpuint(count_faults(fixture), ==, 1);
}

/* Guards against invalid or incomplete frames that keep a connection open,
 * leak memory or block the task. */
static void
test_invalid_frames(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(frame_cases); i++) {
        const struct FrameCase *row = &frame_cases[i];
        struct Fixture fixture;
        bool is_ended = false;
        struct bufferevent *stream;
        const uint64_t *counters = fixture.server_counters.values;

        g_test_message("%s", row->name);
        open_fixture(&fixture, 5, &fleet_keys);
        stream = connect_raw(&fixture, &is_ended);
        bufferevent_write(stream, row->data, row->size_bytes);
        if (row->is_closed_by_client) {
            while (evbuffer_get_length(bufferevent_get_output(stream)) > 0) {
                event_base_loop(fixture.base, EVLOOP_ONCE);
            }
            bufferevent_free(stream);
            run_until_fault(&fixture);
        }
        else {
            run_until(&fixture, &is_ended);
            bufferevent_free(stream);
        }
        g_assert_cmpuint(g_hash_table_size(fixture.server.connections), ==, 0);
        g_assert_cmpuint(counters[GB_COUNTER_FRAMES_MALFORMED], ==,
                         row->malformed);
        g_assert_cmpuint(counters[GB_COUNTER_FRAMES_TIMED_OUT], ==,
                         row->timed_out);
        g_assert_cmpuint(counters[GB_COUNTER_FRAMES_FORGED], ==,
                         1 - row->malformed - row->timed_out);
        close_fixture(&fixture);
    }
}

/* Guards against running out of memory because of too many connections. */
static void
test_connection_limit(void)
{
    struct Fixture fixture;
    struct bufferevent *streams[GB_PEER_CONNECTIONS_MAX + EXTRA_CONNECTIONS];
    bool is_ended[G_N_ELEMENTS(streams)] = {false};
    const uint64_t *counters = fixture.server_counters.values;

    open_fixture(&fixture, 5, &fleet_keys);
    for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
        streams[i] = connect_raw(&fixture, &is_ended[i]);
    }
    while (counters[GB_COUNTER_PEER_CONNECTIONS] +
               counters[GB_COUNTER_PEER_CONNECTIONS_REFUSED] <
           G_N_ELEMENTS(streams)) {
        event_base_loop(fixture.base, EVLOOP_ONCE);
    }
    g_assert_cmpuint(counters[GB_COUNTER_PEER_CONNECTIONS_REFUSED], ==,
                     EXTRA_CONNECTIONS);
    g_assert_cmpuint(g_hash_table_size(fixture.server.connections), ==,
                     GB_PEER_CONNECTIONS_MAX);
    for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
        bufferevent_free(streams[i]);
    }
    close_fixture(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    if (sodium_init() < 0) {
        return 1;
    }
    g_test_add_func("/peer-exchange/pull", test_pull);
    g_test_add_func("/peer-exchange/connection-refused",
                    test_connection_refused);
    g_test_add_func("/peer-exchange/invalid-frames", test_invalid_frames);
    g_test_add_func("/peer-exchange/connection-limit", test_connection_limit);
    return g_test_run();
}
