#include "soak_fleet.h"

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#define PROBE_PERIOD_MS 250
#define PROBE_TIMEOUT_US 400000
#define MISSES_MAX 2
/* A process that is being stopped ends within this time. */
#define GRACE_MS 6000

static gchar *
settings_of(const struct SoakProcess *self)
{
    const struct SoakWorld *world = self->world;
    GString *text = g_string_new(NULL);

    g_string_printf(
        text,
        "{\"node\":\"%s\",\"zone\":\"zone-%u\",\"ip\":\"%s\",\"listen\":{"
        "\"datagramAddr\":\"%s:%u\",\"ready\":\"%s:%u\",\"control\":"
        "\"%s:%u\",\"outbound\":"
        "\"%s:%u\"},\"portRange\":[%u,%u],\"platform\":{\"address\":"
        "\"127.0.0.1:%u\"},\"seeds\":[",
        self->name, self->ipv4 % 2, self->ip, self->ip, world->packet_port,
        self->ip, world->readiness_port, self->ip, world->control_port,
        self->ip, world->outbound_port, world->peer_port, world->peer_port + 1,
        self->proxy.port);
    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        g_string_append_printf(text, "%s\"%s:%u\"", i > 0 ? "," : "",
                               world->balancers[i].ip, world->control_port);
    }
    g_string_append_c(text, ']');
    if (self->is_agent) {
        g_string_append_printf(text,
                               ",\"app\":\"%s:%u\",\"service\":\"service-%u\"",
                               self->ip, world->target_port, self->service);
    }
    g_string_append_c(text, '}');
    return g_string_free(text, FALSE);
}

static void
report_end(struct SoakProcess *self)
{
    char *output = GbChildProcess_ReadOutput(self->process);

    SoakPromises_Broken(&self->world->promises,
                        "%s ended by itself, wait status %d; its output ends "
                        "with: %s",
                        self->name, self->process->wait_status,
                        output + MAX((gssize)strlen(output) - 1500, 0));
    g_free(output);
}

/* Whether SIGTERM came before the program began: it has written nothing, and
 * nobody else was there to handle the signal. */
static bool
has_not_begun(const struct SoakProcess *self)
{
    char *output = GbChildProcess_ReadOutput(self->process);
    bool is_silent = output[0] == '\0';

    g_free(output);
    return is_silent && WIFSIGNALED(self->process->wait_status) &&
           WTERMSIG(self->process->wait_status) == SIGTERM;
}

static void
see_end(struct SoakProcess *self)
{
    bool is_asked = self->stopped_ms != 0;
    bool is_orderly =
        GbChildProcess_ExitCode(self->process) == 0 || has_not_begun(self);

    if (!self->is_killed && (!is_asked || !is_orderly)) {
        report_end(self);
    }
    self->process = NULL;
    self->stopped_ms = 0;
    self->is_in_rotation = false;
}

static void
probed(struct evhttp_request *request, void *context)
{
    struct SoakProcess *self = context;

    if (request != NULL &&
        evhttp_request_get_response_code(request) == HTTP_OK) {
        self->misses = 0;
        self->is_in_rotation = true;
        return;
    }
    if (++self->misses >= MISSES_MAX) {
        self->is_in_rotation = false;
    }
}

static void
probe(struct SoakProcess *self)
{
    static const struct timeval limit = {0, PROBE_TIMEOUT_US};

    if (self->probe != NULL) {
        evhttp_connection_free(self->probe);
    }
    self->probe = evhttp_connection_base_new(self->world->base, NULL, self->ip,
                                             self->world->readiness_port);
    evhttp_connection_set_timeout_tv(self->probe, &limit);
    evhttp_make_request(self->probe, evhttp_request_new(probed, self),
                        EVHTTP_REQ_GET, "/-/readiness");
}

static void
end(struct SoakProcess *self, int number, int64_t after_ms)
{
    int64_t now_ms = Soak_NowMs();

    if (self->process == NULL) {
        return;
    }
    SoakProcess_Resume(self);
    GbChildProcess_Signal(self->process, number);
    if (self->stopped_ms == 0) {
        self->stopped_ms = now_ms;
    }
    self->start_ms = after_ms < 0 ? 0 : now_ms + after_ms;
}

void
SoakProcess_Init(struct SoakProcess *self, struct SoakWorld *world,
                 bool is_agent, uint32_t index)
{
    struct in_addr in;

    memset(self, 0, sizeof(*self));
    self->world = world;
    self->is_agent = is_agent;
    g_snprintf(self->name, sizeof(self->name), "%s-%u",
               is_agent ? "agent" : "balancer", index);
    SoakWorld_Ip(is_agent ? 1 : 0, index, self->ip);
    inet_pton(AF_INET, self->ip, &in);
    self->ipv4 = ntohl(in.s_addr);
    SoakProxy_Open(&self->proxy, world->base, world->store.port);
}

void
SoakProcess_Finish(struct SoakProcess *self)
{
    if (self->probe != NULL) {
        evhttp_connection_free(self->probe);
    }
    SoakProxy_Close(&self->proxy);
}

void
SoakProcess_Start(struct SoakProcess *self)
{
    const char *arguments[] = {self->is_agent ? "agent" : "balancer", NULL};
    gchar *path = GbProcessGroup_Path(&self->world->group, self->name);
    gchar *text = settings_of(self);

    g_assert_null(self->process);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_setenv("GUAVABEND_NODE_FILE", path, TRUE);
    self->process = GbProcessGroup_Start(&self->world->group, self->name,
                                         "guavabend-platform", arguments);
    self->start_ms = 0;
    self->stopped_ms = 0;
    self->is_killed = false;
    self->is_paused = false;
    self->misses = 0;
    g_free(text);
    g_free(path);
}

void
SoakProcess_Stop(struct SoakProcess *self, int64_t after_ms)
{
    end(self, SIGTERM, after_ms);
}

void
SoakProcess_Kill(struct SoakProcess *self, int64_t after_ms)
{
    end(self, SIGKILL, after_ms);
    self->is_killed = true;
}

void
SoakProcess_Pause(struct SoakProcess *self)
{
    if (self->process != NULL) {
        GbChildProcess_Signal(self->process, SIGSTOP);
        self->is_paused = true;
    }
}

void
SoakProcess_Resume(struct SoakProcess *self)
{
    if (self->process != NULL && self->is_paused) {
        GbChildProcess_Signal(self->process, SIGCONT);
        self->is_paused = false;
    }
}

bool
SoakProcess_IsUp(const struct SoakProcess *self)
{
    return self->process != NULL && self->stopped_ms == 0;
}

void
SoakProcess_Tick(struct SoakProcess *self)
{
    int64_t now_ms = Soak_NowMs();

    if (self->process != NULL && GbChildProcess_WaitExit(self->process, 0)) {
        see_end(self);
    }
    if (self->process != NULL && self->stopped_ms != 0 && !self->is_killed &&
        now_ms - self->stopped_ms > GRACE_MS) {
        SoakPromises_Broken(&self->world->promises,
                            "%s does not end on SIGTERM", self->name);
        SoakProcess_Kill(self, 0);
    }
    if (self->process == NULL && self->start_ms != 0 &&
        now_ms >= self->start_ms) {
        SoakProcess_Start(self);
    }
    if (!self->is_agent && now_ms >= self->probe_ms) {
        self->probe_ms = now_ms + PROBE_PERIOD_MS;
        probe(self);
    }
}

struct SoakProcess *
SoakFleet_Balancer(struct SoakWorld *world, const struct SoakFlowName *flow)
{
    struct SoakProcess *ready[SOAK_BALANCERS];
    uint32_t count = 0;

    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        if (world->balancers[i].is_in_rotation) {
            ready[count++] = &world->balancers[i];
        }
    }
    if (count == 0) {
        return &world->balancers[SoakFlowName_Hash(flow) % SOAK_BALANCERS];
    }
    return ready[SoakFlowName_Hash(flow) % count];
}
