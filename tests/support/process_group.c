#include "support/process_group.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define US_PER_MS 1000
#define POLL_MS 5
#define EXIT_CANNOT_RUN 127
#define NUMBER_BASE 10

static void
free_process(gpointer data)
{
    struct GbChildProcess *self = data;

    if (!self->has_exited) {
        GbChildProcess_Signal(self, SIGKILL);
        while (waitpid(self->pid, &self->wait_status, 0) < 0 &&
               errno == EINTR) {
        }
    }
    g_unlink(self->output_path);
    g_free(self->output_path);
    g_free(self->name);
    g_free(self);
}

/* Runs in the child process, so that it may only call functions that are safe
 * after fork. */
static void
run_program(const char *path, char *const *argv, int output, pid_t parent)
{
    sigset_t no_signals;

    sigemptyset(&no_signals);
    sigprocmask(SIG_SETMASK, &no_signals, NULL);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent || dup2(output, STDOUT_FILENO) < 0 ||
        dup2(output, STDERR_FILENO) < 0) {
        _exit(EXIT_CANNOT_RUN);
    }
    execv(path, argv);
    _exit(EXIT_CANNOT_RUN);
}

static bool
has_exited(struct GbChildProcess *self)
{
    if (!self->has_exited &&
        waitpid(self->pid, &self->wait_status, WNOHANG) == self->pid) {
        self->has_exited = true;
    }
    return self->has_exited;
}

void
GbProcessGroup_Init(struct GbProcessGroup *self, const char *build_dir)
{
    self->build_dir = g_strdup(build_dir);
    self->folder = g_dir_make_tmp("guavabend-XXXXXX", NULL);
    g_assert_nonnull(self->folder);
    self->processes = g_ptr_array_new_with_free_func(free_process);
}

void
GbProcessGroup_Finish(struct GbProcessGroup *self)
{
    GDir *folder;
    const char *name;

    g_ptr_array_unref(self->processes);
    folder = g_dir_open(self->folder, 0, NULL);
    while (folder != NULL && (name = g_dir_read_name(folder)) != NULL) {
        char *path = g_build_filename(self->folder, name, NULL);

        g_unlink(path);
        g_free(path);
    }
    if (folder != NULL) {
        g_dir_close(folder);
    }
    g_rmdir(self->folder);
    g_free(self->folder);
    g_free(self->build_dir);
}

struct GbChildProcess *
GbProcessGroup_Start(struct GbProcessGroup *self, const char *name,
                     const char *program, const char *const *arguments)
{
    struct GbChildProcess *process = g_new0(struct GbChildProcess, 1);
    GPtrArray *argv = g_ptr_array_new();
    char *path = g_build_filename(self->build_dir, program, NULL);
    char *file = g_strdup_printf("%u-%s", self->processes->len, name);
    pid_t parent = getpid();
    int output;

    process->name = g_strdup(name);
    process->output_path = GbProcessGroup_Path(self, file);
    g_ptr_array_add(argv, path);
    for (size_t i = 0; arguments[i] != NULL; i++) {
        g_ptr_array_add(argv, (gpointer)arguments[i]);
    }
    g_ptr_array_add(argv, NULL);
    output = open(process->output_path,
                  O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    g_assert_cmpint(output, >=, 0);
    process->pid = fork();
    g_assert_cmpint(process->pid, >=, 0);
    if (process->pid == 0) {
        run_program(path, (char *const *)argv->pdata, output, parent);
    }
    close(output);
    g_ptr_array_add(self->processes, process);
    g_ptr_array_unref(argv);
    g_free(path);
    g_free(file);
    return process;
}

char *
GbProcessGroup_Path(const struct GbProcessGroup *self, const char *name)
{
    return g_build_filename(self->folder, name, NULL);
}

void
GbChildProcess_Signal(struct GbChildProcess *self, int number)
{
    /* The id is not reused before waitpid has returned it. */
    if (!self->has_exited) {
        kill(self->pid, number);
    }
}

bool
GbChildProcess_WaitExit(struct GbChildProcess *self, uint32_t timeout_ms)
{
    for (uint32_t waited_ms = 0; !has_exited(self); waited_ms += POLL_MS) {
        if (waited_ms >= timeout_ms) {
            return false;
        }
        g_usleep(POLL_MS * US_PER_MS);
    }
    return true;
}

int
GbChildProcess_ExitCode(const struct GbChildProcess *self)
{
    return self->has_exited && WIFEXITED(self->wait_status)
               ? WEXITSTATUS(self->wait_status)
               : -1;
}

char *
GbChildProcess_ReadOutput(const struct GbChildProcess *self)
{
    gchar *text = NULL;

    return g_file_get_contents(self->output_path, &text, NULL, NULL)
               ? text
               : g_strdup("");
}

uint16_t
GbChildProcess_WaitPort(struct GbChildProcess *self, const char *marker,
                        uint32_t timeout_ms)
{
    for (uint32_t waited_ms = 0; waited_ms < timeout_ms;
         waited_ms += POLL_MS) {
        bool is_exited = has_exited(self);
        char *output = GbChildProcess_ReadOutput(self);
        const char *found = strstr(output, marker);
        uint16_t port = 0;

        /* The number may be incomplete before the end of the line. */
        if (found != NULL && strchr(found, '\n') != NULL) {
            port =
                (uint16_t)strtoul(found + strlen(marker), NULL, NUMBER_BASE);
        }
        g_free(output);
        if (port != 0 || is_exited) {
            return port;
        }
        g_usleep(POLL_MS * US_PER_MS);
    }
    return 0;
}
