#include <inttypes.h>
#include <sodium.h>
#include <stddef.h>
#include <string.h>

#include "transport/agent_task.h"
#include "transport/control_task.h"
#include "transport/log.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "guavabend-agent"
#define US_PER_MS 1000

struct Settings {
    char instance[GB_SETTING_TEXT_BYTES];
    char data_centre[GB_SETTING_TEXT_BYTES];
    char service[GB_SETTING_TEXT_BYTES];
    struct GbAddress listen;
    struct GbAddress http_listen;
    struct GbAddress platform;
    struct GbAddress target;
    uint8_t key[GB_KEY_BYTES];
    uint8_t previous_key[GB_KEY_BYTES];
    int64_t stop_limit_ms;
    char log_level[GB_SETTING_TEXT_BYTES];
};

static const struct GbSetting settings_table[] = {
    {"instance", GB_SETTING_TEXT, offsetof(struct Settings, instance), NULL, 0,
     0, "name", "Name of this instance, as in the instance list."},
    {"data-centre", GB_SETTING_TEXT, offsetof(struct Settings, data_centre),
     NULL, 0, 0, "name", "Data centre of this instance."},
    {"service", GB_SETTING_TEXT, offsetof(struct Settings, service), NULL, 0,
     0, "name", "Service of the target beside this agent."},
    {"listen", GB_SETTING_ADDRESS, offsetof(struct Settings, listen),
     "127.0.0.1:0", 0, 0, "ipv4:port",
     "UDP address for balancers and other agents."},
    {"http-listen", GB_SETTING_ADDRESS, offsetof(struct Settings, http_listen),
     "127.0.0.1:0", 0, 0, "ipv4:port",
     "HTTP address for metrics, health and status."},
    {"platform", GB_SETTING_ADDRESS, offsetof(struct Settings, platform), NULL,
     0, 0, "ipv4:port", "Address of the platform."},
    {"target", GB_SETTING_ADDRESS, offsetof(struct Settings, target), NULL, 0,
     0, "ipv4:port", "HTTP address of the target."},
    {"key", GB_SETTING_KEY, offsetof(struct Settings, key), NULL, 0, 0,
     "32 hexadecimal digits", "Fleet key."},
    {"previous-key", GB_SETTING_KEY, offsetof(struct Settings, previous_key),
     "", 0, 0, "32 hexadecimal digits", "Fleet key that is still accepted."},
    {"stop-limit-ms", GB_SETTING_NUMBER,
     offsetof(struct Settings, stop_limit_ms), "600000", 0, 86400000, "ms",
     "A stopping agent ends after so long in any case."},
    {"log-level", GB_SETTING_TEXT, offsetof(struct Settings, log_level),
     "info", 0, 0, "debug, info, warn or error",
     "Least level that is logged."},
};

struct Agent {
    struct GbSystemClock clock;
    struct GbKeys keys;
    struct GbControlTask control;
    struct GbTargetTask target;
    struct GbAgentTask data;
    GAsyncQueue *done;
};

static void
init_control(struct Agent *self, const struct Settings *settings)
{
    struct GbControlTaskConfig control = {.role = GB_ROLE_AGENT};

    g_strlcpy(control.instance_name, settings->instance, GB_NAME_BYTES);
    control.platform = settings->platform;
    control.http_listen = settings->http_listen;
    control.done = self->done;
    GbControlTask_Init(&self->control, &control, &self->clock.super);
}

static void
init_data(struct Agent *self, const struct Settings *settings,
          const struct GbAddress *listen)
{
    struct GbAgentTaskConfig data = {0};

    GbTargetTask_Init(&self->target, &settings->target, &self->data.super,
                      &self->clock.super);
    data.listen = *listen;
    data.keys = &self->keys;
    data.control = &self->control.super;
    data.target = &self->target;
    data.agent.instance_id = GbInstance_IdOfName(settings->instance);
    randombytes_buf(&data.agent.incarnation, sizeof(data.agent.incarnation));
    g_strlcpy(data.agent.service, settings->service, GB_NAME_BYTES);
    data.agent.address = *listen;
    GbAgentTask_Init(&self->data, &data, &self->clock.super);
    GbControlTask_AddDataTask(&self->control, &self->data.super);
}

static enum GbTransportStatus
start(struct Agent *self, const struct Settings *settings,
      struct GbLastMessage *last)
{
    struct GbTask *tasks[] = {&self->control.super, &self->target.super,
                              &self->data.super};
    struct GbAddress listen = settings->listen;
    enum GbTransportStatus status;

    init_control(self, settings);
    status = GbTask_Open(&self->control.super, last);
    if (status == GB_TRANSPORT_OK) {
        status =
            GbControlTask_Listen(&self->control, &listen, &self->keys, last);
    }
    init_data(self, settings, &listen);
    for (size_t i = 1; status == GB_TRANSPORT_OK && i < G_N_ELEMENTS(tasks);
         i++) {
        status = GbTask_Open(tasks[i], last);
    }
    for (size_t i = 0; status == GB_TRANSPORT_OK && i < G_N_ELEMENTS(tasks);
         i++) {
        status = GbTask_Start(tasks[i], last);
    }
    return status;
}

static void
run(struct Agent *self, const struct Settings *settings)
{
    struct GbAddress address = GbUdp_Address(&self->data.udp);
    char text[GB_ADDRESS_TEXT_BYTES];
    int number;

    GbLog_Event(GB_LOG_INFO, "started",
                "instance=%s data_centre=%s service=%s listen=%s "
                "http_port=%u",
                settings->instance, settings->data_centre, settings->service,
                GbAddress_Format(&address, text),
                (unsigned)GbHttpServer_Port(&self->control.http));
    number = GbProcess_WaitForStop();
    GbLog_Event(GB_LOG_INFO, "stopping", "signal=%d", number);
    GbTask_Post(&self->control.super, GbDrainMail_New());
    g_async_queue_timeout_pop(self->done,
                              (guint64)settings->stop_limit_ms * US_PER_MS);
    GbTask_Stop(&self->data.super);
    GbTask_Stop(&self->target.super);
    GbTask_Stop(&self->control.super);
    GbLog_Event(GB_LOG_INFO, "stopped", "instance=%s", settings->instance);
}

int
main(int argc, char **argv)
{
    static struct Agent agent;
    struct Settings settings = {0};
    struct GbLastMessage last;
    enum GbTransportStatus status =
        GbSettings_Load(settings_table, G_N_ELEMENTS(settings_table), PROGRAM,
                        argc, argv, &settings, stderr);

    if (status == GB_TRANSPORT_INFORMATION) {
        return GB_EXIT_DONE;
    }
    if (status != GB_TRANSPORT_OK || sodium_init() < 0) {
        return GB_EXIT_USAGE;
    }
    if (!GbLog_Init(PROGRAM, settings.log_level)) {
        fprintf(stderr,
                "%s: setting log-level must be debug, info, warn or "
                "error\n",
                PROGRAM);
        return GB_EXIT_USAGE;
    }
    GbProcess_BlockSignals();
    memcpy(agent.keys.current, settings.key, GB_KEY_BYTES);
    memcpy(agent.keys.previous, settings.previous_key, GB_KEY_BYTES);
    agent.keys.has_previous =
        !sodium_is_zero(settings.previous_key, GB_KEY_BYTES);
    agent.done = g_async_queue_new();
    GbSystemClock_Init(&agent.clock);
    if (start(&agent, &settings, &last) != GB_TRANSPORT_OK) {
        GbLog_Event(GB_LOG_ERROR, "start_failed", "reason=\"%s\"", last.text);
        return GB_EXIT_FAILED;
    }
    run(&agent, &settings);
    g_async_queue_unref(agent.done);
    GbLog_Finish();
    return GB_EXIT_DONE;
}
