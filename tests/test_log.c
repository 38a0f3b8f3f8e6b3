#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "transport/log.h"

/* More lines than a pipe can buffer. */
#define LINES 4000
#define READ_BYTES (1 << 20)

struct ReaderCase {
    const char *name;
    bool is_stopped;
};

static const struct ReaderCase reader_cases[] = {
    {"reader keeps up", false},
    {"reader has stopped", true},
};

static gsize
read_all(int fd, char *buffer)
{
    gsize size_bytes = 0;
    ssize_t read_bytes;

    while ((read_bytes =
                read(fd, buffer + size_bytes, READ_BYTES - size_bytes)) > 0) {
        size_bytes += (gsize)read_bytes;
    }
    buffer[size_bytes] = '\0';
    return size_bytes;
}

/* Guards against a process that blocks because its log is not read, and
 * against dropped lines that are not reported. */
static void
test_blocked_reader(void)
{
    char *buffer = g_malloc(READ_BYTES + 1);

    for (size_t i = 0; i < G_N_ELEMENTS(reader_cases); i++) {
        const struct ReaderCase *row = &reader_cases[i];
        int saved = dup(STDOUT_FILENO);
        int fds[2];

        g_test_message("%s", row->name);
        g_assert_cmpint(pipe(fds), ==, 0);
        fcntl(fds[0], F_SETFL, O_NONBLOCK);
        dup2(fds[1], STDOUT_FILENO);
        for (int line = 0; line < LINES; line++) {
            GbLog_Event(GB_LOG_INFO, "counted", "number=%d", line);
            if (!row->is_stopped) {
                read_all(fds[0], buffer);
            }
        }
        read_all(fds[0], buffer);
        GbLog_Event(GB_LOG_INFO, "after", "number=%d", LINES);
        dup2(saved, STDOUT_FILENO);
        read_all(fds[0], buffer);
        g_assert_nonnull(strstr(buffer, "event=after number=4000"));
        g_assert_true((strstr(buffer, "event=lines_lost count=") != NULL) ==
                      row->is_stopped);
        close(saved);
        close(fds[0]);
        close(fds[1]);
    }
    g_free(buffer);
}

int
main(int argc, char **argv)
{
    int result;

    g_test_init(&argc, &argv, NULL);
    g_assert_true(GbLog_Init("test", "info"));
    g_test_add_func("/log/blocked-reader", test_blocked_reader);
    result = g_test_run();
    GbLog_Finish();
    return result;
}
