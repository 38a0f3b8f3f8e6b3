#include <sodium.h>
#include <stddef.h>

#include "transport/agent_task.h"
#include "transport/daemon.h"
#include "transport/process.h"

struct Settings {
    struct GbDaemonSettings super;
    char service[GB_SETTING_TEXT_BYTES];
    struct GbAddress target;
};

static const struct GbSetting settings_table[] = {
    {"service", GB_SETTING_TEXT, offsetof(struct Settings, service), NULL, 0,
     0, "name", "Service of the target beside this agent."},
    {"target", GB_SETTING_ADDRESS, offsetof(struct Settings, target), NULL, 0,
     0, "ipv4:port", "HTTP address of the target."},
    {"stop-limit-ms", GB_SETTING_NUMBER,
     offsetof(struct Settings, super.stop_limit_ms), "600000", 0, 86400000,
     "ms", "Time after which a stopping agent exits in any case."},
};

static const struct GbDaemonProgram program = {
    .name = "guavabend-agent",
    .role = GB_ROLE_AGENT,
    .settings = settings_table,
    .setting_count = sizeof(settings_table) / sizeof(settings_table[0]),
};

struct Agent {
    struct GbDaemon daemon;
    struct GbTargetTask target_task;
    struct GbAgentTask data_task;
};

static enum GbTransportStatus
open_tasks(struct Agent *self, const struct Settings *settings)
{
    struct GbDaemon *daemon = &self->daemon;
    struct GbAgentTaskConfig config = {0};
    enum GbTransportStatus status =
        GbDaemon_OpenControl(daemon, 0, &config.data.listen);

    if (status != GB_TRANSPORT_OK) {
        return status;
    }
    GbTargetTask_Init(&self->target_task, &settings->target,
                      &self->data_task.super.super, &daemon->clock.super);
    config.keys = &daemon->keys;
    config.data.control = &daemon->control.super;
    config.target_task = &self->target_task;
    config.agent.instance_id = GbInstance_IdOfName(settings->super.instance);
    randombytes_buf(&config.agent.incarnation,
                    sizeof(config.agent.incarnation));
    g_strlcpy(config.agent.service, settings->service, GB_NAME_BYTES);
    config.agent.address = config.data.listen;
    GbAgentTask_Init(&self->data_task, &config, &daemon->clock.super);
    GbDaemon_AddTask(daemon, &self->target_task.super, false);
    GbDaemon_AddTask(daemon, &self->data_task.super.super, true);
    return GbDaemon_OpenTasks(daemon);
}

int
main(int argc, char **argv)
{
    static struct Agent agent;
    struct Settings settings = {0};
    struct GbAddress listen;
    enum GbTransportStatus status =
        GbDaemon_Init(&agent.daemon, &program, argc, argv, &settings);
    int code = GB_EXIT_FAILURE;

    if (status != GB_TRANSPORT_OK) {
        return GbDaemon_ExitCode(status);
    }
    if (open_tasks(&agent, &settings) == GB_TRANSPORT_OK) {
        listen = GbUdp_Address(&agent.data_task.super.udp);
        code = GbDaemon_Run(&agent.daemon, &listen);
    }
    GbDaemon_Finish(&agent.daemon);
    return code;
}
