#include "soak_process.h"

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#define SEEDS 3
#define PROBE_PERIOD_MS 250
#define PROBE_TIMEOUT_US 400000
#define FAILED_PROBES_MAX 2
/* Time from a stop signal within which a process must exit. */
#define STOP_TIMEOUT_MS 6000

static gchar *
format_settings(const struct SoakProcess *self)
{
    const struct SoakHarness *harness = self->harness;
    GString *text = g_string_new(NULL);

    g_string_printf(
        text,
        "{\"node\":\"%s\",\"zone\":\"zone-%u\",\"ip\":\"%s\",\"listen\":{"
        "\"datagramAddr\":\"%s:%u\",\"ready\":\"%s:%u\",\"control\":"
        "\"%s:%u\",\"outbound\":"
        "\"%s:%u\"},\"portRange\":[%u,%u],\"platform\":{\"address\":"
        "\"127.0.0.1:%u\"},\"seeds\":[",
        self->name, self->ipv4 % 2, self->ip, self->ip, harness->packet_port,
        self->ip, harness->readiness_port, self->ip, harness->control_port,
        self->ip, harness->outbound_port, harness->peer_port,
        harness->peer_port + 1, self->proxy.port);
    for (uint32_t i = 0; i < MIN(SOAK_BALANCERS, SEEDS); i++) {
        bool is_stale = harness->seeds == SOAK_SEEDS_STALE ||
                        (harness->seeds == SOAK_SEEDS_ONE_STALE && i == 0);
        char ip[SOAK_IP_BYTES];

        SoakHarness_FormatIp(is_stale ? SOAK_STALE_IPS : 0, i, ip);
        g_string_append_printf(text, "%s\"%s:%u\"", i > 0 ? "," : "", ip,
                               harness->control_port);
    }
    g_string_append_c(text, ']');
    if (self->is_agent) {
        g_string_append_printf(text,
                               ",\"app\":\"%s:%u\",\"service\":\"service-%u\"",
                               self->ip, harness->target_port, self->service);
    }
    g_string_append_c(text, '}');
    return g_string_free(text, FALSE);
}

static void
report_unexpected_exit(struct SoakProcess *self)
{
    char *output = GbChildProcess_ReadOutput(self->process);

    SoakInvariants_ReportViolation(
        &self->harness->invariants,
        "%s exited unexpectedly with wait status %d; end of its output: %s",
        self->name, self->process->wait_status,
        output + MAX((gssize)strlen(output) - 1500, 0));
    g_free(output);
}

/* Returns true if SIGTERM ended the process before the program installed its
 * signal handler, in which case it has written no output. */
static bool
is_terminated_before_start(const struct SoakProcess *self)
{
    char *output = GbChildProcess_ReadOutput(self->process);
    bool has_no_output = output[0] == '\0';

    g_free(output);
    return has_no_output && WIFSIGNALED(self->process->wait_status) &&
           WTERMSIG(self->process->wait_status) == SIGTERM;
}

static void
handle_exit(struct SoakProcess *self)
{
    bool is_requested = self->stop_requested_ms != 0;
    bool is_clean = GbChildProcess_ExitCode(self->process) == 0 ||
                    is_terminated_before_start(self);

    if (!self->is_killed && (!is_requested || !is_clean)) {
        report_unexpected_exit(self);
    }
    self->process = NULL;
    self->stop_requested_ms = 0;
    self->is_in_rotation = false;
}

static void
handle_probe_result(struct evhttp_request *request, void *context)
{
    struct SoakProcess *self = context;

    if (request != NULL &&
        evhttp_request_get_response_code(request) == HTTP_OK) {
        self->failed_probes = 0;
        self->is_in_rotation = true;
        return;
    }
    if (++self->failed_probes >= FAILED_PROBES_MAX) {
        self->is_in_rotation = false;
    }
}

static void
send_probe(struct SoakProcess *self)
{
    static const struct timeval limit = {0, PROBE_TIMEOUT_US};

    if (self->probe_connection != NULL) {
        evhttp_connection_free(self->probe_connection);
    }
    self->probe_connection = evhttp_connection_base_new(
        self->harness->base, NULL, self->ip, self->harness->readiness_port);
    evhttp_connection_set_timeout_tv(self->probe_connection, &limit);
    evhttp_make_request(self->probe_connection,
                        evhttp_request_new(handle_probe_result, self),
                        EVHTTP_REQ_GET, "/-/readiness");
}

static void
signal_stop(struct SoakProcess *self, int signal_number, int64_t after_ms)
{
    int64_t now_ms = Soak_NowMs();

    if (self->process == NULL) {
        return;
    }
    SoakProcess_Resume(self);
    GbChildProcess_Signal(self->process, signal_number);
    if (self->stop_requested_ms == 0) {
        self->stop_requested_ms = now_ms;
    }
    self->restart_at_ms = after_ms < 0 ? 0 : now_ms + after_ms;
}

void
SoakProcess_Init(struct SoakProcess *self, struct SoakHarness *harness,
                 bool is_agent, uint32_t index)
{
    struct in_addr in;

    memset(self, 0, sizeof(*self));
    self->harness = harness;
    self->is_agent = is_agent;
    g_snprintf(self->name, sizeof(self->name), "%s-%u",
               is_agent ? "agent" : "balancer", index);
    SoakHarness_FormatIp(is_agent ? 1 : 0, index, self->ip);
    inet_pton(AF_INET, self->ip, &in);
    self->ipv4 = ntohl(in.s_addr);
    SoakProxy_Open(&self->proxy, harness->base, harness->store.port);
}

void
SoakProcess_Finish(struct SoakProcess *self)
{
    if (self->probe_connection != NULL) {
        evhttp_connection_free(self->probe_connection);
    }
    SoakProxy_Close(&self->proxy);
}

void
SoakProcess_Start(struct SoakProcess *self)
{
    const char *arguments[] = {self->is_agent ? "agent" : "balancer", NULL};
    gchar *path = GbProcessGroup_Path(&self->harness->group, self->name);
    gchar *text = format_settings(self);

    g_assert_null(self->process);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_setenv("GUAVABEND_NODE_FILE", path, TRUE);
    self->process = GbProcessGroup_Start(&self->harness->group, self->name,
                                         "guavabend-platform", arguments);
    self->restart_at_ms = 0;
    self->stop_requested_ms = 0;
    self->is_killed = false;
    self->is_paused = false;
    self->failed_probes = 0;
    self->followed_version = 0;
    g_free(text);
    g_free(path);
}

void
SoakProcess_Stop(struct SoakProcess *self, int64_t after_ms)
{
    signal_stop(self, SIGTERM, after_ms);
}

void
SoakProcess_Kill(struct SoakProcess *self, int64_t after_ms)
{
    signal_stop(self, SIGKILL, after_ms);
    self->is_killed = true;
}

void
SoakProcess_Pause(struct SoakProcess *self)
{
    if (self->process != NULL) {
        GbChildProcess_Signal(self->process, SIGSTOP);
        if (!self->is_paused) {
            self->is_paused = true;
            self->paused_at_ms = Soak_NowMs();
        }
    }
}

void
SoakProcess_Resume(struct SoakProcess *self)
{
    if (self->process != NULL && self->is_paused) {
        GbChildProcess_Signal(self->process, SIGCONT);
        self->is_paused = false;
        if (self->stop_requested_ms != 0) {
            /* It could not stop meanwhile. */
            self->stop_requested_ms += Soak_NowMs() - self->paused_at_ms;
        }
    }
}

bool
SoakProcess_IsUp(const struct SoakProcess *self)
{
    return self->process != NULL && self->stop_requested_ms == 0;
}

void
SoakProcess_Tick(struct SoakProcess *self)
{
    int64_t now_ms = Soak_NowMs();

    if (self->process != NULL && GbChildProcess_WaitExit(self->process, 0)) {
        handle_exit(self);
    }
    if (self->process != NULL && self->stop_requested_ms != 0 &&
        !self->is_killed && !self->is_paused &&
        now_ms - self->stop_requested_ms > STOP_TIMEOUT_MS) {
        SoakInvariants_ReportViolation(&self->harness->invariants,
                                       "%s did not exit after SIGTERM",
                                       self->name);
        SoakProcess_Kill(self, 0);
    }
    if (self->process == NULL && self->restart_at_ms != 0 &&
        now_ms >= self->restart_at_ms) {
        SoakProcess_Start(self);
    }
    if (!self->is_agent && now_ms >= self->next_probe_ms) {
        self->next_probe_ms = now_ms + PROBE_PERIOD_MS;
        send_probe(self);
    }
}

struct SoakProcess *
SoakBalancers_Select(struct SoakHarness *harness,
                     const struct SoakFlowKey *flow)
{
    struct SoakProcess *ready[SOAK_BALANCERS];
    uint32_t count = 0;

    for (uint32_t i = 0; i < SOAK_BALANCERS; i++) {
        if (harness->balancers[i].is_in_rotation) {
            ready[count++] = &harness->balancers[i];
        }
    }
    if (count == 0) {
        return &harness->balancers[SoakFlowKey_Hash(flow) % SOAK_BALANCERS];
    }
    return ready[SoakFlowKey_Hash(flow) % count];
}
