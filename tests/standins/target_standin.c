#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "standins/target_jobs.h"
#include "state/address.h"
#include "support/standin_server.h"
#include "transport/event_base.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "target-standin"
#define US_PER_MS 1000
#define BODY_BYTES_MAX 4096
/* /health and /load can report a state that is up to LAG_MS_MAX old. */
#define SAMPLE_MS 50
#define SAMPLES 256
#define LAG_MS_MAX (SAMPLE_MS * (SAMPLES - 1))
#define PERCENT 100
#define AUTOMATIC "auto"

/* State of the target at one time, for /health and /load. */
struct Sample {
    bool is_cold;
    uint32_t running;
};

/* Stand-in for a target. Its behaviour is set by flags and changed by GET
 * /mode?SETTING=VALUE. An operation whose name begins with "pack" has a large
 * response. */
struct Target {
    struct GbAddress listen;
    struct GbTargetMode mode;
    char health[GB_SETTING_TEXT_BYTES];
    int64_t health_lag_ms;
    int64_t load_percent;
    int64_t load_lag_ms;
    struct event_base *base;
    struct evhttp *http;
    struct GbSystemClock clock;
    struct GbTargetJobs jobs;
    struct Sample samples[SAMPLES];
    uint32_t sample_index;
};

#define NUMBER(name, member, default_value, min, max, unit, help)             \
    {                                                                         \
        name, GB_SETTING_NUMBER, offsetof(struct Target, member),             \
            default_value, min, max, unit, help                               \
    }

static const struct GbSetting settings_table[] = {
    {"listen", GB_SETTING_ADDRESS, offsetof(struct Target, listen),
     "127.0.0.1:0", 0, 0, "ipv4:port", "HTTP address."},
    NUMBER("slots", mode.slots, "2", 1, 1024, "jobs",
           "Maximum number of concurrent jobs."),
    NUMBER("queue", mode.queue, "64", 0, 65536, "jobs",
           "Maximum number of waiting jobs; further ones are shed."),
    NUMBER("work-ms", mode.work_ms, "20", 0, 600000, "ms",
           "Time until the response to a job starts."),
    NUMBER("cold-ms", mode.cold_ms, "0", 0, 600000, "ms",
           "Time after the start during which jobs are slow."),
    NUMBER("cold-factor", mode.cold_factor, "5", 1, 1000, "times",
           "Factor by which jobs take longer on a cold target."),
    NUMBER("pack-bytes", mode.pack_bytes, "2000000", 1, 1 << 30, "bytes",
           "Size of the response to a pack operation."),
    NUMBER("chunk-bytes", mode.chunk_bytes, "65536", 1, 1 << 20, "bytes",
           "Size of the chunks that a response is written in."),
    NUMBER("chunk-ms", mode.chunk_ms, "0", 0, 60000, "ms",
           "Pause between chunks."),
    NUMBER("chunked", mode.chunked, "0", 0, 1, "0 or 1",
           "Chunked responses instead of a Content-Length."),
    NUMBER("shed", mode.shed, "0", 0, 1, "0 or 1", "Shed every job."),
    {"health", GB_SETTING_TEXT, offsetof(struct Target, health), AUTOMATIC, 0,
     0, "auto or a state",
     "State that /health reports; auto is starting while cold, then ok."},
    NUMBER("health-lag-ms", health_lag_ms, "0", 0, LAG_MS_MAX, "ms",
           "Age of the state that /health reports."),
    NUMBER("load-percent", load_percent, "100", 0, 10000, "percent",
           "Reported load as a percentage of the actual load."),
    NUMBER("load-lag-ms", load_lag_ms, "0", 0, LAG_MS_MAX, "ms",
           "Age of the load that /load reports."),
};

static const struct Sample *
past_sample(const struct Target *self, int64_t lag_ms)
{
    uint32_t age = (uint32_t)(lag_ms / SAMPLE_MS);

    return &self->samples[(self->sample_index + SAMPLES - age) % SAMPLES];
}

static void
take_sample(struct Target *self)
{
    struct Sample *sample = &self->samples[self->sample_index];

    sample->is_cold = GbTargetJobs_IsCold(&self->jobs);
    sample->running = self->jobs.running_count;
}

static void
handle_sample_timer(evutil_socket_t fd, short events, void *context)
{
    struct Target *self = context;

    (void)fd;
    (void)events;
    self->sample_index = (self->sample_index + 1) % SAMPLES;
    take_sample(self);
}

static void
send_reply(struct evhttp_request *request, int status, const char *text)
{
    struct evbuffer *body = evbuffer_new();

    evbuffer_add(body, text, strlen(text));
    evhttp_send_reply(request, status, NULL, body);
    evbuffer_free(body);
}

static void
report_health(struct Target *self, struct evhttp_request *request)
{
    const char *state = self->health;
    gchar *text;

    take_sample(self);
    if (strcmp(state, AUTOMATIC) == 0) {
        state = past_sample(self, self->health_lag_ms)->is_cold ? "starting"
                                                                : "ok";
    }
    text = g_strdup_printf("{\"state\":\"%s\"}", state);
    send_reply(request, HTTP_OK, text);
    g_free(text);
}

static void
report_load(struct Target *self, struct evhttp_request *request)
{
    int64_t running;
    gchar *text;

    take_sample(self);
    running = past_sample(self, self->load_lag_ms)->running;
    text = g_strdup_printf("{\"running\":%d,\"slots\":%d}",
                           (int)(running * self->load_percent / PERCENT),
                           (int)self->mode.slots);
    send_reply(request, HTTP_OK, text);
    g_free(text);
}

static void
change_mode(struct Target *self, struct evhttp_request *request)
{
    const char *query =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    struct evkeyvalq fields = {0};
    const struct evkeyval *field;
    int status = HTTP_OK;

    TAILQ_INIT(&fields);
    if (query == NULL || evhttp_parse_query_str(query, &fields) != 0) {
        send_reply(request, HTTP_BADREQUEST, "no setting\n");
        return;
    }
    TAILQ_FOREACH(field, &fields, next)
    {
        if (!GbSettings_SetValue(settings_table, G_N_ELEMENTS(settings_table),
                                 PROGRAM, field->key, field->value, self,
                                 stderr)) {
            status = HTTP_BADREQUEST;
        }
    }
    evhttp_clear_headers(&fields);
    send_reply(request, status, status == HTTP_OK ? "ok\n" : "refused\n");
}

static void
handle_request(struct evhttp_request *request, void *context)
{
    static const char prefix[] = "/operation/";
    struct Target *self = context;
    const char *path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));

    if (path != NULL && strncmp(path, prefix, strlen(prefix)) == 0) {
        GbTargetJobs_Submit(&self->jobs, request, path + strlen(prefix));
    }
    else if (path != NULL && strcmp(path, "/health") == 0) {
        report_health(self, request);
    }
    else if (path != NULL && strcmp(path, "/load") == 0) {
        report_load(self, request);
    }
    else if (path != NULL && strcmp(path, "/mode") == 0) {
        change_mode(self, request);
    }
    else {
        evhttp_send_error(request, HTTP_NOTFOUND, NULL);
    }
}

static bool
open_http(struct Target *self)
{
    self->http = evhttp_new(self->base);
    evhttp_set_max_body_size(self->http, BODY_BYTES_MAX);
    evhttp_set_gencb(self->http, handle_request, self);
    return standin_server_listen(self->http, self->base, &self->listen,
                                 PROGRAM);
}

int
main(int argc, char **argv)
{
    static const struct timeval period = {0, SAMPLE_MS * US_PER_MS};
    /* Static, so that leak checkers can reach the open requests at exit, which
     * are not freed. */
    static struct Target target;
    enum GbTransportStatus status =
        GbSettings_Load(settings_table, G_N_ELEMENTS(settings_table), PROGRAM,
                        argc, argv, &target, stderr);
    struct event *term;
    struct event *sampler;

    if (status != GB_TRANSPORT_OK) {
        return status == GB_TRANSPORT_HELP_SHOWN ? GB_EXIT_SUCCESS
                                                 : GB_EXIT_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    target.base = GbEventBase_New();
    GbSystemClock_Init(&target.clock);
    GbTargetJobs_Init(&target.jobs, target.base, &target.clock.super,
                      &target.mode);
    if (!open_http(&target)) {
        return GB_EXIT_FAILURE;
    }
    term = standin_server_stop_on_term(target.base);
    sampler =
        event_new(target.base, -1, EV_PERSIST, handle_sample_timer, &target);
    event_add(sampler, &period);
    event_base_dispatch(target.base);
    event_free(term);
    event_free(sampler);
    return GB_EXIT_SUCCESS;
}
