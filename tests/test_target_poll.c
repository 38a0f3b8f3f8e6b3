#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>

#include "protocol/target_json.h"
#include "transport/target_poll.h"

#define TIMEOUT_MIN_US 400000
#define TIMEOUT_MAX_US 1500000

/* Target with configurable responses. A NULL body means that there is no
 * response. */
struct FakeTarget {
    const char *health;
    const char *load;
    int status;
    uint32_t requests;
};

struct RecordingListener {
    struct GbTargetPollListener super;
    struct event_base *base;
    enum GbTargetHealth health;
    uint32_t slots;
    uint32_t count;
};

static void
record_poll(struct GbTargetPollListener *listener, enum GbTargetHealth health,
            uint32_t slots)
{
    struct RecordingListener *self = (struct RecordingListener *)listener;

    self->health = health;
    self->slots = slots;
    self->count++;
    event_base_loopbreak(self->base);
}

static const struct GbTargetPollListenerClass listener_class = {
    .polled = record_poll,
};

static void
handle_request(struct evhttp_request *request, void *context)
{
    struct FakeTarget *self = context;
    const char *path = evhttp_request_get_uri(request);
    const char *text =
        strcmp(path, "/health") == 0 ? self->health : self->load;
    struct evbuffer *body;

    self->requests++;
    if (text == NULL) {
        /* Leaves the request open without a response. */
        return;
    }
    body = evbuffer_new();
    evbuffer_add_printf(body, "%s", text);
    evhttp_send_reply(request, self->status, "-", body);
    evbuffer_free(body);
}

static struct GbAddress
bound_address(struct evhttp_bound_socket *bound)
{
    struct sockaddr_in system = {0};
    socklen_t size_bytes = sizeof(system);
    struct GbAddress address = {INADDR_LOOPBACK, 0};

    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&system,
                &size_bytes);
    address.port = ntohs(system.sin_port);
    return address;
}

struct PollCase {
    const char *name;
    const char *health_body;
    const char *load_body;
    int status;
    bool is_listening;
    enum GbTargetHealth health;
    uint32_t slots;
};

static const struct PollCase poll_cases[] = {
    {"ok", "{\"state\":\"ok\"}", "{\"running\":1,\"slots\":5}", 200, true,
     GB_HEALTH_OK, 5},
    {"starting", "{\"state\":\"starting\"}", "{}", 200, true,
     GB_HEALTH_STARTING, 0},
    {"leaving", "{\"state\":\"leaving\"}", "[]", 200, true, GB_HEALTH_LEAVING,
     0},
    {"not JSON", "ok", "5", 200, true, GB_HEALTH_UNKNOWN, 0},
    {"unknown state", "{\"state\":\"well\"}", "{\"slots\":-1}", 200, true,
     GB_HEALTH_UNKNOWN, 0},
    {"slots too large", "{\"state\":\"ok\"}", "{\"slots\":4294967296}", 200,
     true, GB_HEALTH_OK, 0},
    {"not found", "{\"state\":\"leaving\"}", "{\"slots\":5}", 404, true,
     GB_HEALTH_UNKNOWN, 0},
    {"no response to load", "{\"state\":\"ok\"}", NULL, 200, true,
     GB_HEALTH_OK, 0},
    {"no response to health", NULL, "{\"slots\":3}", 200, true,
     GB_HEALTH_UNKNOWN, 3},
    {"connection refused", NULL, NULL, 200, false, GB_HEALTH_REFUSED, 0},
};

/* Guards against a poll that never ends, against an invalid response that is
 * taken for a health state, and against a slow endpoint that is taken for a
 * target that refuses connections. */
static void
test_poll(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(poll_cases); i++) {
        const struct PollCase *row = &poll_cases[i];
        struct event_base *base = event_base_new();
        struct evhttp *http = evhttp_new(base);
        struct evhttp_bound_socket *bound =
            evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
        struct GbAddress address = bound_address(bound);
        struct FakeTarget target = {row->health_body, row->load_body,
                                    row->status, 0};
        struct RecordingListener listener = {.super = {&listener_class},
                                             .base = base};
        struct GbSystemClock clock;
        struct GbSeededRandom random;
        struct GbTargetPoll poll;
        int64_t started_us;
        int64_t elapsed_us;

        g_test_message("%s", row->name);
        evhttp_set_gencb(http, handle_request, &target);
        if (!row->is_listening) {
            evhttp_del_accept_socket(http, bound);
        }
        GbSystemClock_Init(&clock);
        GbSeededRandom_Init(&random, 3);
        GbTargetPoll_Init(&poll, base, &address, &clock.super, &random.super,
                          &listener.super);
        started_us = GbClock_MonotonicUs(&clock.super);
        GbTargetPoll_Tick(&poll);
        /* A second tick must not start a second poll. */
        GbTargetPoll_Tick(&poll);
        event_base_dispatch(base);
        elapsed_us = GbClock_MonotonicUs(&clock.super) - started_us;
        g_assert_cmpuint(listener.count, ==, 1);
        g_assert_cmpint(listener.health, ==, row->health);
        g_assert_cmpuint(listener.slots, ==, row->slots);
        g_assert_cmpuint(target.requests, ==, row->is_listening ? 2 : 0);
        if (row->is_listening &&
            (row->health_body == NULL || row->load_body == NULL)) {
            g_assert_cmpint(elapsed_us, >, TIMEOUT_MIN_US);
            g_assert_cmpint(elapsed_us, <, TIMEOUT_MAX_US);
        }
        g_assert_cmpint(GbTargetPoll_NextTimerUs(&poll), >=,
                        started_us + 900000);
        g_assert_cmpint(GbTargetPoll_NextTimerUs(&poll), <=,
                        started_us + elapsed_us + 1100000);
        GbTargetPoll_Finish(&poll);
        evhttp_free(http);
        event_base_free(base);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/target-poll/poll", test_poll);
    return g_test_run();
}
