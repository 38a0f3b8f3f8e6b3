#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "support/process_group.h"

#define INSTANCE_IP "127.0.0.14"
#define SETTINGS                                                              \
    "{\"node\":\"edge-1\",\"zone\":\"a\",\"ip\":\"" INSTANCE_IP "\","         \
    "\"listen\":{\"datagramAddr\":\"" INSTANCE_IP ":0\","                     \
    "\"ready\":\"" INSTANCE_IP ":0\"},\"portRange\":[%u,%u],\"seeds\":[],"    \
    "\"platform\":{\"address\":\"127.0.0.1:1\"}}"
#define SETTINGS_BYTES 512
/* Longer than the 5 s that a drain takes at most. */
#define EXIT_WAIT_MS 10000

struct SignalCase {
    const char *name;
    int signal_number;
    /* Line that the process logs because of the signal. */
    const char *event;
};

static const struct SignalCase signal_cases[] = {
    {"reload", SIGHUP, "event=reloaded"},
    {"stop", SIGTERM, "event=stopping signal=15"},
};

static uint16_t
find_free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size_bytes = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_cmpint(inet_pton(AF_INET, INSTANCE_IP, &address.sin_addr), ==, 1);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size_bytes), ==, 0);
    g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &size_bytes),
                    ==, 0);
    close(fd);
    return ntohs(address.sin_port);
}

static void
check_signal(const struct SignalCase *row)
{
    const char *arguments[] = {"balancer", NULL};
    struct GbProcessGroup group;
    struct GbChildProcess *process;
    char settings[SETTINGS_BYTES];
    uint32_t port = find_free_port();
    char *path;
    char *next_path;
    char *output;
    int fd;

    GbProcessGroup_Init(&group, GB_BUILD_DIR);
    path = GbProcessGroup_Path(&group, "settings");
    next_path = GbProcessGroup_Path(&group, "next");
    snprintf(settings, sizeof(settings), SETTINGS, port, port + 1);
    g_assert_cmpint(mkfifo(path, 0600), ==, 0);
    g_assert_true(g_file_set_contents(next_path, settings, -1, NULL));
    g_setenv("GUAVABEND_NODE_FILE", path, TRUE);
    process = GbProcessGroup_Start(&group, "balancer", "guavabend-platform",
                                   arguments);
    /* Returns when the process reads its settings, for which it waits. */
    fd = open(path, O_WRONLY);
    g_assert_cmpint(fd, >=, 0);
    GbChildProcess_Signal(process, row->signal_number);
    /* A reload reads a plain file. */
    g_assert_cmpint(rename(next_path, path), ==, 0);
    g_assert_cmpint(write(fd, settings, strlen(settings)), ==,
                    (int)strlen(settings));
    close(fd);
    if (row->signal_number != SIGTERM) {
        g_usleep(G_USEC_PER_SEC / 2);
        GbChildProcess_Signal(process, SIGTERM);
    }
    g_assert_true(GbChildProcess_WaitExit(process, EXIT_WAIT_MS));
    output = GbChildProcess_ReadOutput(process);
    g_test_message("%s", output);
    g_assert_cmpint(GbChildProcess_ExitCode(process), ==, 0);
    g_assert_nonnull(strstr(output, row->event));
    g_free(output);
    g_free(next_path);
    g_free(path);
    GbProcessGroup_Finish(&group);
}

/* Fault pattern: a process gets a signal while it reads its settings. Guards
 * against a process that ends by itself because of a reload, or without the
 * log line of a stop. */
static void
test_signal_while_settings_are_read(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(signal_cases); i++) {
        g_test_message("%s", signal_cases[i].name);
        check_signal(&signal_cases[i]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/early-signals/signal-while-settings-are-read",
                    test_signal_while_settings_are_read);
    return g_test_run();
}
