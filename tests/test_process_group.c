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

enum Termination {
    TERMINATION_FINISH,
    TERMINATION_ASSERTION,
    TERMINATION_KILL,
    TERMINATION_EXIT
};

struct TerminationCase {
    const char *name;
    enum Termination termination;
    /* The started process is stopped by SIGSTOP, so that it cannot handle
     * SIGTERM. */
    bool is_paused;
};

static const struct TerminationCase termination_cases[] = {
    {"finish", TERMINATION_FINISH, false},
    {"finish with a paused process", TERMINATION_FINISH, true},
    {"failed assertion", TERMINATION_ASSERTION, false},
    {"failed assertion with a paused process", TERMINATION_ASSERTION, true},
    {"killed test", TERMINATION_KILL, false},
    {"exit without finish", TERMINATION_EXIT, false},
};

/* Starts a process, prints its id, and terminates in the way that the row
 * specifies. */
static void
run_test_program(const struct TerminationCase *row)
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
    switch (row->termination) {
    case TERMINATION_FINISH:
        GbProcessGroup_Finish(&group);
        break;
    case TERMINATION_ASSERTION:
        g_assert_not_reached();
    case TERMINATION_KILL:
        raise(SIGKILL);
        break;
    case TERMINATION_EXIT:
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

/* Guards against tests and demos that leave running processes behind when they
 * fail. */
static void
test_termination(gconstpointer context)
{
    const struct TerminationCase *row = context;
    int pipe_fds[2];
    uint32_t waited_ms = 0;
    pid_t test_pid;
    pid_t process_pid;

    g_assert_cmpint(pipe(pipe_fds), ==, 0);
    test_pid = fork();
    g_assert_cmpint(test_pid, >=, 0);
    if (test_pid == 0) {
        dup2(pipe_fds[1], STDOUT_FILENO);
        close(pipe_fds[0]);
        close(pipe_fds[1]);
        run_test_program(row);
    }
    close(pipe_fds[1]);
    process_pid = read_pid(pipe_fds[0]);
    g_assert_cmpint(process_pid, >, 0);
    while (kill(process_pid, 0) == 0 || errno != ESRCH) {
        /* An exited process remains as a zombie until it is reaped. */
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
    for (size_t i = 0; i < G_N_ELEMENTS(termination_cases); i++) {
        char *path = g_strdup_printf("/process-group/termination/%s",
                                     termination_cases[i].name);

        g_test_add_data_func(path, &termination_cases[i], test_termination);
        g_free(path);
    }
    return g_test_run();
}
