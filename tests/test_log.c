#include <fcntl.h>
#include <glib.h>
#include <stdint.h>
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

struct BatchCase {
    const char *name;
    uint32_t line_count;
    bool is_batched;
    /* Lines that are written before the flush; a batch that is full is written
     * at once. */
    bool is_any_written_before;
};

static const struct BatchCase batch_cases[] = {
    {"one line", 1, false, true},
    {"one line of a batch", 1, true, false},
    {"several lines of a batch", 5, true, false},
    {"more lines than a batch has space for", 200, true, true},
};

static gpointer
log_batch(gpointer context)
{
    const struct BatchCase *row = context;

    if (row->is_batched) {
        GbLog_BatchLines();
    }
    for (uint32_t i = 0; i < row->line_count; i++) {
        GbLog_Event(GB_LOG_INFO, "batched", "number=%u", (unsigned)i);
    }
    return NULL;
}

static uint32_t
count_lines(const char *buffer)
{
    uint32_t count = 0;

    for (; *buffer != '\0'; buffer++) {
        count += *buffer == '\n';
    }
    return count;
}

/* Guards against lines of a batch that are lost, and against a system call for
 * each of them. */
static void
test_batches(void)
{
    char *buffer = g_malloc(READ_BYTES + 1);

    for (size_t i = 0; i < G_N_ELEMENTS(batch_cases); i++) {
        const struct BatchCase *row = &batch_cases[i];
        int saved = dup(STDOUT_FILENO);
        uint32_t before;
        int fds[2];

        g_assert_cmpint(pipe(fds), ==, 0);
        fcntl(fds[0], F_SETFL, O_NONBLOCK);
        dup2(fds[1], STDOUT_FILENO);
        g_thread_join(g_thread_new("log", log_batch, (gpointer)row));
        read_all(fds[0], buffer);
        before = count_lines(buffer);
        GbLog_Flush();
        read_all(fds[0], buffer);
        dup2(saved, STDOUT_FILENO);
        g_assert_true((before > 0) == row->is_any_written_before);
        g_assert_cmpuint(before + count_lines(buffer), ==, row->line_count);
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
    g_test_add_func("/log/batches", test_batches);
    result = g_test_run();
    GbLog_Finish();
    return result;
}
