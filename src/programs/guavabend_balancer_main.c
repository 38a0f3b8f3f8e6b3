#include <inttypes.h>
#include <sodium.h>
#include <stddef.h>
#include <string.h>

#include "transport/balancer_task.h"
#include "transport/control_task.h"
#include "transport/log.h"
#include "transport/process.h"
#include "transport/settings.h"

#define PROGRAM "guavabend-balancer"
#define US_PER_MS 1000

struct Settings {
    char instance[GB_SETTING_TEXT_BYTES];
    char data_centre[GB_SETTING_TEXT_BYTES];
    struct GbAddress listen;
    struct GbAddress http_listen;
    struct GbAddress platform;
    uint8_t key[GB_KEY_BYTES];
    uint8_t previous_key[GB_KEY_BYTES];
    int64_t tasks;
    int64_t quiet_ms;
    int64_t stop_limit_ms;
    char log_level[GB_SETTING_TEXT_BYTES];
};

static const struct GbSetting settings_table[] = {
    {"instance", GB_SETTING_TEXT, offsetof(struct Settings, instance), NULL, 0,
     0, "name", "Name of this instance, as in the instance list."},
    {"data-centre", GB_SETTING_TEXT, offsetof(struct Settings, data_centre),
     NULL, 0, 0, "name", "Data centre of this instance."},
    {"listen", GB_SETTING_ADDRESS, offsetof(struct Settings, listen),
     "127.0.0.1:0", 0, 0, "ipv4:port", "UDP address for callers and agents."},
    {"http-listen", GB_SETTING_ADDRESS, offsetof(struct Settings, http_listen),
     "127.0.0.1:0", 0, 0, "ipv4:port",
     "HTTP address for metrics, health and status."},
    {"platform", GB_SETTING_ADDRESS, offsetof(struct Settings, platform), NULL,
     0, 0, "ipv4:port", "Address of the platform."},
    {"key", GB_SETTING_KEY, offsetof(struct Settings, key), NULL, 0, 0,
     "32 hexadecimal digits", "Fleet key."},
    {"previous-key", GB_SETTING_KEY, offsetof(struct Settings, previous_key),
     "", 0, 0, "32 hexadecimal digits", "Fleet key that is still accepted."},
    {"tasks", GB_SETTING_NUMBER, offsetof(struct Settings, tasks), "2", 1,
     GB_DATA_TASKS_MAX, "tasks", "Data tasks."},
    {"quiet-ms", GB_SETTING_NUMBER, offsetof(struct Settings, quiet_ms),
     "2000", 0, 600000, "ms",
     "A stopping balancer ends when nothing has arrived for so long."},
    {"stop-limit-ms", GB_SETTING_NUMBER,
     offsetof(struct Settings, stop_limit_ms), "30000", 0, 3600000, "ms",
     "A stopping balancer ends after so long in any case."},
    {"log-level", GB_SETTING_TEXT, offsetof(struct Settings, log_level),
     "info", 0, 0, "debug, info, warn or error",
     "Least level that is logged."},
};

struct Balancer {
    struct GbSystemClock clock;
    struct GbKeys keys;
    struct GbControlTask control;
    struct GbBalancerTask data[GB_DATA_TASKS_MAX];
    GAsyncQueue *done;
};

static bool
is_zero(const uint8_t *bytes, size_t size_bytes)
{
    return sodium_is_zero(bytes, size_bytes) != 0;
}

static enum GbTransportStatus
open_data_tasks(struct Balancer *self, const struct Settings *settings,
                const struct GbAddress *listen, struct GbLastMessage *last)
{
    struct GbBalancerTaskConfig config = {0};

    config.listen = *listen;
    config.keys = &self->keys;
    config.control = &self->control.super;
    for (uint32_t i = 0; i < settings->tasks; i++) {
        enum GbTransportStatus status;

        config.index = i;
        GbBalancerTask_Init(&self->data[i], &config, &self->clock.super);
        status = GbTask_Open(&self->data[i].super, last);
        if (status != GB_TRANSPORT_OK) {
            return status;
        }
        GbControlTask_AddDataTask(&self->control, &self->data[i].super);
    }
    return GB_TRANSPORT_OK;
}

static enum GbTransportStatus
start(struct Balancer *self, const struct Settings *settings,
      struct GbLastMessage *last)
{
    struct GbControlTaskConfig config = {.role = GB_ROLE_BALANCER};
    struct GbAddress listen = settings->listen;
    enum GbTransportStatus status;

    g_strlcpy(config.instance_name, settings->instance, GB_NAME_BYTES);
    config.platform = settings->platform;
    config.http_listen = settings->http_listen;
    config.quiet_us = settings->quiet_ms * US_PER_MS;
    config.done = self->done;
    GbControlTask_Init(&self->control, &config, &self->clock.super);
    status = GbTask_Open(&self->control.super, last);
    if (status == GB_TRANSPORT_OK) {
        status =
            GbControlTask_Listen(&self->control, &listen, &self->keys, last);
    }
    if (status == GB_TRANSPORT_OK) {
        status = open_data_tasks(self, settings, &listen, last);
    }
    for (uint32_t i = 0;
         status == GB_TRANSPORT_OK && i < self->control.data_task_count; i++) {
        status = GbTask_Start(&self->data[i].super, last);
    }
    if (status == GB_TRANSPORT_OK) {
        status = GbTask_Start(&self->control.super, last);
    }
    return status;
}

static void
run(struct Balancer *self, const struct Settings *settings)
{
    struct GbAddress address = GbUdp_Address(&self->data[0].udp);
    char text[GB_ADDRESS_TEXT_BYTES];
    int number;

    GbLog_Event(GB_LOG_INFO, "started",
                "instance=%s data_centre=%s listen=%s http_port=%u",
                settings->instance, settings->data_centre,
                GbAddress_Format(&address, text),
                (unsigned)GbHttpServer_Port(&self->control.http));
    number = GbProcess_WaitForStop();
    GbLog_Event(GB_LOG_INFO, "stopping", "signal=%d", number);
    GbTask_Post(&self->control.super, GbDrainMail_New());
    g_async_queue_timeout_pop(self->done,
                              (guint64)settings->stop_limit_ms * US_PER_MS);
    for (uint32_t i = 0; i < self->control.data_task_count; i++) {
        GbTask_Stop(&self->data[i].super);
    }
    GbTask_Stop(&self->control.super);
    GbLog_Event(GB_LOG_INFO, "stopped", "instance=%s", settings->instance);
}

int
main(int argc, char **argv)
{
    static struct Balancer balancer;
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
    memcpy(balancer.keys.current, settings.key, GB_KEY_BYTES);
    memcpy(balancer.keys.previous, settings.previous_key, GB_KEY_BYTES);
    balancer.keys.has_previous = !is_zero(settings.previous_key, GB_KEY_BYTES);
    balancer.done = g_async_queue_new();
    GbSystemClock_Init(&balancer.clock);
    if (start(&balancer, &settings, &last) != GB_TRANSPORT_OK) {
        GbLog_Event(GB_LOG_ERROR, "start_failed", "reason=\"%s\"", last.text);
        return GB_EXIT_FAILED;
    }
    run(&balancer, &settings);
    g_async_queue_unref(balancer.done);
    GbLog_Finish();
    return GB_EXIT_DONE;
}
