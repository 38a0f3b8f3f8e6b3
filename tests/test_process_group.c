#include "support/process_group.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_TIMEOUT_MS 5000
#define END_TIMEOUT_MS 5000
#define POLL_MS 5
#define US_PER_MS 1000
#define NUMBER_BASE 10

enum Ending { ENDING_FINISH, ENDING_ASSERTION, ENDING_KILL, ENDING_EXIT };

struct EndingCase {
    const char *name;
    enum Ending ending;
    /* The started process cannot act on signals. */
    bool is_paused;
};

static const struct EndingCase ending_cases[] = {
    {"finish", ENDING_FINISH, false},
    {"finish with a paused process", ENDING_FINISH, true},
    {"failed assertion", ENDING_ASSERTION, false},
    {"failed assertion with a paused process", ENDING_ASSERTION, true},
    {"killed test", ENDING_KILL, false},
    {"exit without finish", ENDING_EXIT, false},
};

/* Starts a process, tells its id, and ends as the row says. */
static void
run_test_program(const struct EndingCase *row)
{
    static const char *const no_flags[] = {NULL};
    struct GbProcessGroup group;
    struct GbChildProcess *process;

    GbProcessGroup_Init(&group, GB_BUILD_DIR);
    process =
        GbProcessGroup_Start(&group, "target", "target-standin", no_flags);
    g_assert_cmpuint(
        GbChildProcess_WaitPort(process, "port=", START_TIMEOUT_MS), !=, 0);
    if (row->is_paused) {
        GbChildProcess_Signal(process, SIGSTOP);
    }
    printf("pid=%d\n", (int)process->pid);
    fflush(stdout);
    switch (row->ending) {
    case ENDING_FINISH:
        GbProcessGroup_Finish(&group);
        break;
    case ENDING_ASSERTION:
        g_assert_not_reached();
    case ENDING_KILL:
        raise(SIGKILL);
        break;
    case ENDING_EXIT:
        break;
    }
    _exit(0);
}

static pid_t
read_pid(int fd)
{
    FILE *stream = fdopen(fd, "r");
    char line[64] = "";
    pid_t pid = 0;

    while (pid == 0 && fgets(line, sizeof(line), stream) != NULL) {
        if (g_str_has_prefix(line, "pid=")) {
            pid = (pid_t)strtol(line + strlen("pid="), NULL, NUMBER_BASE);
        }
    }
    fclose(stream);
    return pid;
}

/* Guards against tests and demos that leave processes behind when they
 * fail. */
static void
test_endings(gconstpointer context)
{
    const struct EndingCase *row = context;
    int pipe_fds[2];
    uint32_t waited_ms = 0;
    pid_t program;
    pid_t started;

    g_assert_cmpint(pipe(pipe_fds), ==, 0);
    program = fork();
    g_assert_cmpint(program, >=, 0);
    if (program == 0) {
        dup2(pipe_fds[1], STDOUT_FILENO);
        close(pipe_fds[0]);
        close(pipe_fds[1]);
        run_test_program(row);
    }
    close(pipe_fds[1]);
    started = read_pid(pipe_fds[0]);
    g_assert_cmpint(started, >, 0);
    while (kill(started, 0) == 0 || errno != ESRCH) {
        /* What has ended is there until it is waited for. */
        waitpid(-1, NULL, WNOHANG);
        g_assert_cmpuint(waited_ms, <, END_TIMEOUT_MS);
        g_usleep(POLL_MS * US_PER_MS);
        waited_ms += POLL_MS;
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_assert_cmpint(prctl(PR_SET_CHILD_SUBREAPER, 1), ==, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(ending_cases); i++) {
        char *path =
            g_strdup_printf("/process_group/endings/%s", ending_cases[i].name);

        g_test_add_data_func(path, &ending_cases[i], test_endings);
        g_free(path);
    }
    return g_test_run();
}
