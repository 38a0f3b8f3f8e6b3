#include "transport/daemon.h"

#include <sodium.h>
#include <stddef.h>
#include <string.h>

#include "transport/log.h"
#include "transport/process.h"
#include "transport/task_messages.h"

#define US_PER_MS 1000

#define FIELD(member) offsetof(struct GbDaemonSettings, member)

static const struct GbSetting common_settings[] = {
    {"instance", GB_SETTING_TEXT, FIELD(instance), NULL, 0, 0, "name",
     "Name of this instance, as in the instance list."},
    {"data-centre", GB_SETTING_TEXT, FIELD(data_centre), NULL, 0, 0, "name",
     "Data centre of this instance."},
    {"listen", GB_SETTING_ADDRESS, FIELD(listen), "127.0.0.1:0", 0, 0,
     "ipv4:port", "UDP address to listen on for other processes."},
    {"http-listen", GB_SETTING_ADDRESS, FIELD(http_listen), "127.0.0.1:0", 0,
     0, "ipv4:port", "HTTP address for metrics, health and status."},
    {"platform", GB_SETTING_ADDRESS, FIELD(platform), NULL, 0, 0, "ipv4:port",
     "Address of the platform."},
    {"key", GB_SETTING_KEY, FIELD(key), NULL, 0, 0, "32 hexadecimal digits",
     "Fleet key."},
    {"previous-key", GB_SETTING_KEY, FIELD(previous_key), "", 0, 0,
     "32 hexadecimal digits", "Previous fleet key, still accepted."},
    {"log-level", GB_SETTING_CHOICE, FIELD(log_level), "info", 0, 0,
     "debug, info, warn, error", "Lowest level that is logged."},
};

static enum GbTransportStatus
load_settings(struct GbDaemon *self, int argc, char **argv, void *values)
{
    GArray *table = g_array_new(FALSE, FALSE, sizeof(struct GbSetting));
    enum GbTransportStatus status;

    g_array_append_vals(table, common_settings, G_N_ELEMENTS(common_settings));
    g_array_append_vals(table, self->program->settings,
                        (guint)self->program->setting_count);
    status = GbSettings_Load((const struct GbSetting *)(void *)table->data,
                             table->len, self->program->name, argc, argv,
                             values, stderr);
    g_array_unref(table);
    return status;
}

enum GbTransportStatus
GbDaemon_Init(struct GbDaemon *self, const struct GbDaemonProgram *program,
              int argc, char **argv, void *values)
{
    enum GbTransportStatus status;

    memset(self, 0, sizeof(*self));
    self->program = program;
    self->settings = values;
    status = load_settings(self, argc, argv, values);
    if (status != GB_TRANSPORT_OK) {
        return status;
    }
    if (sodium_init() < 0) {
        fprintf(stderr, "%s: cannot initialise libsodium\n", program->name);
        return GB_TRANSPORT_SYSTEM_ERROR;
    }
    GbLog_Init(program->name, self->settings->log_level);
    GbProcess_BlockStopSignals();
    memcpy(self->keys.current, self->settings->key, GB_KEY_BYTES);
    memcpy(self->keys.previous, self->settings->previous_key, GB_KEY_BYTES);
    self->keys.has_previous =
        !sodium_is_zero(self->settings->previous_key, GB_KEY_BYTES);
    self->drained_queue = g_async_queue_new();
    GbSystemClock_Init(&self->clock);
    return GB_TRANSPORT_OK;
}

enum GbTransportStatus
GbDaemon_OpenControl(struct GbDaemon *self, int64_t quiet_us,
                     struct GbAddress *listen)
{
    struct GbControlTaskConfig config = {.role = self->program->role};
    struct GbErrorText error;
    enum GbTransportStatus status;

    g_strlcpy(config.instance_name, self->settings->instance, GB_NAME_BYTES);
    config.platform = self->settings->platform;
    config.http_listen = self->settings->http_listen;
    config.quiet_us = quiet_us;
    config.drained_queue = self->drained_queue;
    GbControlTask_Init(&self->control, &config, &self->clock.super);
    GbDaemon_AddTask(self, &self->control.super, false);
    status = GbDaemon_OpenTasks(self);
    if (status != GB_TRANSPORT_OK) {
        return status;
    }
    *listen = self->settings->listen;
    status = GbControlTask_Listen(&self->control, listen, &self->keys, &error);
    if (status != GB_TRANSPORT_OK) {
        GbLog_Event(GB_LOG_ERROR, "start_failed", "reason=\"%s\"", error.text);
    }
    return status;
}

void
GbDaemon_AddTask(struct GbDaemon *self, struct GbTask *task, bool is_data_task)
{
    g_assert(self->task_count < G_N_ELEMENTS(self->tasks));
    self->tasks[self->task_count++] = task;
    if (is_data_task) {
        GbControlTask_AddDataTask(&self->control, task);
    }
}

enum GbTransportStatus
GbDaemon_OpenTasks(struct GbDaemon *self)
{
    struct GbErrorText error;

    while (self->open_count < self->task_count) {
        struct GbTask *task = self->tasks[self->open_count++];

        if (GbTask_Open(task, &error) != GB_TRANSPORT_OK) {
            GbLog_Event(GB_LOG_ERROR, "start_failed", "reason=\"%s\"",
                        error.text);
            return GB_TRANSPORT_SYSTEM_ERROR;
        }
    }
    return GB_TRANSPORT_OK;
}

int
GbDaemon_Run(struct GbDaemon *self, const struct GbAddress *listen)
{
    const struct GbDaemonSettings *settings = self->settings;
    char text[GB_ADDRESS_TEXT_BYTES];
    struct GbErrorText error;
    int signal_number;

    for (uint32_t i = 0; i < self->task_count; i++) {
        if (GbTask_Start(self->tasks[i], &error) != GB_TRANSPORT_OK) {
            GbLog_Event(GB_LOG_ERROR, "start_failed", "reason=\"%s\"",
                        error.text);
            return GB_EXIT_FAILURE;
        }
    }
    GbLog_Event(GB_LOG_INFO, "started",
                "instance=%s data_centre=%s listen=%s http_port=%u",
                settings->instance, settings->data_centre,
                GbAddress_Format(listen, text),
                (unsigned)GbHttpServer_Port(&self->control.http));
    signal_number = GbProcess_WaitForStopSignal();
    GbLog_Event(GB_LOG_INFO, "stopping", "signal=%d", signal_number);
    GbTask_Post(&self->control.super, GbDrainMessage_New());
    if (g_async_queue_timeout_pop(self->drained_queue,
                                  (guint64)settings->stop_limit_ms *
                                      US_PER_MS) == NULL) {
        GbLog_Event(GB_LOG_WARN, "stop_limit_reached", "stop_limit_ms=%d",
                    (int)settings->stop_limit_ms);
    }
    return GB_EXIT_SUCCESS;
}

void
GbDaemon_Finish(struct GbDaemon *self)
{
    /* Running tasks still post to the others, so no task is closed before all
     * threads have ended. */
    for (uint32_t i = 0; i < self->open_count; i++) {
        GbTask_StopThread(self->tasks[i]);
    }
    while (self->open_count > 0) {
        GbTask_Close(self->tasks[--self->open_count]);
    }
    g_async_queue_unref(self->drained_queue);
    GbLog_Event(GB_LOG_INFO, "stopped", "instance=%s",
                self->settings->instance);
    GbLog_Finish();
}

int
GbDaemon_ExitCode(enum GbTransportStatus status)
{
    switch (status) {
    case GB_TRANSPORT_OK:
    case GB_TRANSPORT_HELP_SHOWN:
        return GB_EXIT_SUCCESS;
    case GB_TRANSPORT_INVALID_SETTING:
        return GB_EXIT_USAGE;
    default:
        return GB_EXIT_FAILURE;
    }
}
