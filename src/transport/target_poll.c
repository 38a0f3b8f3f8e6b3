#include "transport/target_poll.h"

#include <event2/buffer.h>
#include <string.h>

#include "protocol/target_json.h"
#include "state/timer_queue.h"

/* The period is randomized so that the polls of many agents do not
 * synchronize. */
#define PERIOD_MIN_US 900000
#define PERIOD_JITTER_US 200000
#define STEP_TIMEOUT_US 500000
#define BODY_BYTES_MAX 4096

static void
close_connection(struct GbTargetPoll *self)
{
    if (self->connection != NULL) {
        evhttp_connection_free(self->connection);
        self->connection = NULL;
    }
}

static void
parse_response(struct GbTargetPoll *self, struct evhttp_request *request)
{
    struct evbuffer *body = evhttp_request_get_input_buffer(request);
    size_t size_bytes = evbuffer_get_length(body);
    const uint8_t *data = evbuffer_pullup(body, -1);

    if (evhttp_request_get_response_code(request) != HTTP_OK) {
        return;
    }
    if (self->step == GB_POLL_HEALTH) {
        self->health = GbTargetJson_ParseHealth(data, size_bytes);
    }
    else {
        self->slots = GbTargetJson_ParseSlots(data, size_bytes);
    }
}

static void
request_done(struct evhttp_request *request, void *context)
{
    struct GbTargetPoll *self = context;

    if (request != NULL) {
        /* evhttp passes a request with status 0 if the connection could not be
         * established, and NULL if it broke later. */
        if (evhttp_request_get_response_code(request) != 0) {
            parse_response(self, request);
        }
        else if (self->step == GB_POLL_HEALTH) {
            self->health = GB_HEALTH_REFUSED;
        }
    }
    event_active(self->step_end_event, 0, 0);
}

static void
send_request(struct GbTargetPoll *self, const char *path)
{
    static const struct timeval timeout = {0, STEP_TIMEOUT_US};
    struct evhttp_request *request = evhttp_request_new(request_done, self);
    char text[GB_ADDRESS_TEXT_BYTES];

    GbAddress_Format(&self->target, text);
    *strchr(text, ':') = '\0';
    self->connection =
        evhttp_connection_base_new(self->base, NULL, text, self->target.port);
    evhttp_connection_set_retries(self->connection, 0);
    evhttp_connection_set_max_body_size(self->connection, BODY_BYTES_MAX);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      "target");
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    /* This timeout covers the whole exchange. evhttp's own timeout restarts
     * with every byte that arrives. */
    event_add(self->step_end_event, &timeout);
    if (evhttp_make_request(self->connection, request, EVHTTP_REQ_GET, path) !=
        0) {
        event_active(self->step_end_event, 0, 0);
    }
}

static void
end_step(evutil_socket_t fd, short events, void *context)
{
    struct GbTargetPoll *self = context;

    (void)fd;
    (void)events;
    event_del(self->step_end_event);
    close_connection(self);
    if (self->step == GB_POLL_HEALTH && self->health != GB_HEALTH_REFUSED) {
        self->step = GB_POLL_LOAD;
        send_request(self, "/load");
        return;
    }
    self->step = GB_POLL_IDLE;
    self->next_poll_us = GbClock_MonotonicUs(self->clock) + PERIOD_MIN_US +
                         GbRandom_Below(self->random, PERIOD_JITTER_US + 1);
    self->listener->klass->polled(self->listener, self->health, self->slots);
}

void
GbTargetPoll_Init(struct GbTargetPoll *self, struct event_base *base,
                  const struct GbAddress *target, struct GbClock *clock,
                  struct GbRandom *random,
                  struct GbTargetPollListener *listener)
{
    memset(self, 0, sizeof(*self));
    self->base = base;
    self->target = *target;
    self->clock = clock;
    self->random = random;
    self->listener = listener;
    self->next_poll_us = GbClock_MonotonicUs(clock);
    self->step_end_event = event_new(base, -1, 0, end_step, self);
}

void
GbTargetPoll_Finish(struct GbTargetPoll *self)
{
    close_connection(self);
    event_free(self->step_end_event);
}

int64_t
GbTargetPoll_NextTimerUs(const struct GbTargetPoll *self)
{
    return self->step == GB_POLL_IDLE ? self->next_poll_us : GB_TIMER_NEVER;
}

void
GbTargetPoll_Tick(struct GbTargetPoll *self)
{
    if (self->step != GB_POLL_IDLE ||
        GbClock_MonotonicUs(self->clock) < self->next_poll_us) {
        return;
    }
    self->step = GB_POLL_HEALTH;
    self->health = GB_HEALTH_UNKNOWN;
    self->slots = 0;
    send_request(self, "/health");
}
