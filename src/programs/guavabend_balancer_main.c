#include <stddef.h>

#include "transport/balancer_task.h"
#include "transport/daemon.h"
#include "transport/process.h"

#define US_PER_MS 1000

struct Settings {
    struct GbDaemonSettings super;
    int64_t tasks;
    int64_t quiet_ms;
};

static const struct GbSetting settings_table[] = {
    {"tasks", GB_SETTING_NUMBER, offsetof(struct Settings, tasks), "2", 1,
     GB_DATA_TASKS_MAX, "tasks", "Number of data tasks."},
    {"quiet-ms", GB_SETTING_NUMBER, offsetof(struct Settings, quiet_ms),
     "2000", 0, 600000, "ms",
     "A stopping balancer exits once it has forwarded nothing for this "
     "time."},
    {"stop-limit-ms", GB_SETTING_NUMBER,
     offsetof(struct Settings, super.stop_limit_ms), "30000", 0, 3600000, "ms",
     "Time after which a stopping balancer exits in any case."},
};

static const struct GbDaemonProgram program = {
    .name = "guavabend-balancer",
    .role = GB_ROLE_BALANCER,
    .settings = settings_table,
    .setting_count = sizeof(settings_table) / sizeof(settings_table[0]),
};

struct Balancer {
    struct GbDaemon daemon;
    struct GbBalancerTask data_tasks[GB_DATA_TASKS_MAX];
};

static enum GbTransportStatus
open_tasks(struct Balancer *self, const struct Settings *settings)
{
    struct GbDataTaskConfig config = {.is_shared = true};
    enum GbTransportStatus status = GbDaemon_OpenControl(
        &self->daemon, settings->quiet_ms * US_PER_MS, &config.listen);

    config.control = &self->daemon.control.super;
    for (uint32_t i = 0; status == GB_TRANSPORT_OK && i < settings->tasks;
         i++) {
        config.index = i;
        GbBalancerTask_Init(&self->data_tasks[i], &config, &self->daemon.keys,
                            &self->daemon.clock.super);
        GbDaemon_AddTask(&self->daemon, &self->data_tasks[i].super.super,
                         true);
        status = GbDaemon_OpenTasks(&self->daemon);
        for (uint32_t j = 0; j < i; j++) {
            GbBalancerTask_ConnectPair(&self->data_tasks[j],
                                       &self->data_tasks[i]);
        }
    }
    return status;
}

int
main(int argc, char **argv)
{
    static struct Balancer balancer;
    struct Settings settings = {0};
    struct GbAddress listen;
    enum GbTransportStatus status =
        GbDaemon_Init(&balancer.daemon, &program, argc, argv, &settings);
    int code = GB_EXIT_FAILURE;

    if (status != GB_TRANSPORT_OK) {
        return GbDaemon_ExitCode(status);
    }
    if (open_tasks(&balancer, &settings) == GB_TRANSPORT_OK) {
        listen = GbUdp_Address(&balancer.data_tasks[0].super.udp);
        code = GbDaemon_Run(&balancer.daemon, &listen);
    }
    GbDaemon_Finish(&balancer.daemon);
    return code;
}
