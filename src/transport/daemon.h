#ifndef GB_TRANSPORT_DAEMON_H
#define GB_TRANSPORT_DAEMON_H

#include "protocol/keys.h"
#include "transport/control_task.h"
#include "transport/settings.h"

/* Settings that balancers and agents share. Must be the first member of the
 * settings of each program. */
struct GbDaemonSettings {
    char instance[GB_SETTING_TEXT_BYTES];
    char data_centre[GB_SETTING_TEXT_BYTES];
    struct GbAddress listen;
    struct GbAddress http_listen;
    struct GbAddress platform;
    uint8_t key[GB_KEY_BYTES];
    uint8_t previous_key[GB_KEY_BYTES];
    /* Set by the settings table of each program, because the defaults
     * differ. */
    int64_t stop_limit_ms;
    char log_level[GB_SETTING_TEXT_BYTES];
};

/* The part that differs between programs. */
struct GbDaemonProgram {
    const char *name;
    enum GbRole role;
    const struct GbSetting *settings;
    size_t setting_count;
};

/* Common part of balancers and agents: settings, keys, log, signals, the
 * control task, and starting and stopping all tasks. */
struct GbDaemon {
    const struct GbDaemonProgram *program;
    const struct GbDaemonSettings *settings;
    struct GbSystemClock clock;
    struct GbKeys keys;
    struct GbControlTask control;
    /* Opened and started in this order, stopped in reverse. */
    struct GbTask *tasks[GB_DATA_TASKS_MAX + 2];
    uint32_t task_count;
    /* Number of tasks opened so far. */
    uint32_t open_count;
    GAsyncQueue *drained_queue;
};

/* Reads the settings into values, whose first member is a struct
 * GbDaemonSettings, and starts logging and signal handling.
 *
 * Errors: GB_TRANSPORT_HELP_SHOWN after printing help or version;
 * GB_TRANSPORT_INVALID_SETTING after printing a line for each invalid
 * setting; GB_TRANSPORT_SYSTEM_ERROR if libsodium cannot be initialised. */
enum GbTransportStatus GbDaemon_Init(struct GbDaemon *self,
                                     const struct GbDaemonProgram *program,
                                     int argc, char **argv, void *values);

/* Prepares and opens the control task, which becomes the first task, and binds
 * the TCP socket for documents. quiet_us is used by balancers only. *listen is
 * set to the address that the UDP sockets must be bound to.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR, which is logged. */
enum GbTransportStatus GbDaemon_OpenControl(struct GbDaemon *self,
                                            int64_t quiet_us,
                                            struct GbAddress *listen);

/* Adds a task. The control task sends views to data tasks and receives their
 * reports. */
void GbDaemon_AddTask(struct GbDaemon *self, struct GbTask *task,
                      bool is_data_task);

/* Opens the tasks that were added since the last call.
 *
 * Errors: GB_TRANSPORT_SYSTEM_ERROR, which is logged. */
enum GbTransportStatus GbDaemon_OpenTasks(struct GbDaemon *self);

/* Starts the tasks, waits for a stop signal and drains the process. listen is
 * the address that was bound; it is logged. Returns the exit code. */
int GbDaemon_Run(struct GbDaemon *self, const struct GbAddress *listen);

/* Stops and closes all tasks that were opened. Must also be called after an
 * error, unless it came from GbDaemon_Init. */
void GbDaemon_Finish(struct GbDaemon *self);

/* Returns the exit code for a status of GbDaemon_Init. */
int GbDaemon_ExitCode(enum GbTransportStatus status);

#endif
