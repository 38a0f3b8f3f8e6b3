#include "transport/log.h"

#include <ctype.h>
#include <inttypes.h>
#include <limits.h>
#include <log4c.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 1024
#define TIME_BYTES 32
#define INSTANCE_BYTES 64
#define US_PER_MS 1000

static const int priorities[] = {
    [GB_LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
    [GB_LOG_INFO] = LOG4C_PRIORITY_INFO,
    [GB_LOG_WARN] = LOG4C_PRIORITY_WARN,
    [GB_LOG_ERROR] = LOG4C_PRIORITY_ERROR,
};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

static log4c_category_t *category;
static char instance_name[INSTANCE_BYTES];

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    static _Thread_local char
        line[LINE_BYTES + 2 * TIME_BYTES + INSTANCE_BYTES];
    char time_text[TIME_BYTES];
    struct tm utc;

    (void)layout;
    gmtime_r(&event->evt_timestamp.tv_sec, &utc);
    strftime(time_text, sizeof(time_text), "%Y-%m-%dT%H:%M:%S", &utc);
    snprintf(line, sizeof(line), "time=%s.%03dZ level=%s program=%s%s%s %s\n",
             time_text, (int)(event->evt_timestamp.tv_usec / US_PER_MS),
             log4c_priority_to_string(event->evt_priority),
             event->evt_category, instance_name[0] != '\0' ? " instance=" : "",
             instance_name, event->evt_msg);
    return line;
}

static const log4c_layout_type_t line_layout = {"guavabend_line", format_line};

/* Lines dropped since the last line was written. */
static uint64_t lost_line_count;
/* Lines that wait to be written, with a final NUL. */
static char batch[PIPE_BUF + 1];
static size_t batch_bytes;
static uint32_t batch_line_count;
/* Guards the batch, and serializes writes: a pipe that polls as writable is
 * guaranteed to have space for PIPE_BUF bytes only. */
static pthread_mutex_t output_lock = PTHREAD_MUTEX_INITIALIZER;
static _Thread_local bool is_batching;

/* Returns false if nothing was written. A pipe that polls as writable accepts
 * PIPE_BUF bytes, so the write does not block. */
static bool
write_without_blocking(const char *lines, size_t size_bytes)
{
    struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};

    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
        return false;
    }
    return write(STDOUT_FILENO, lines, size_bytes) >= 0;
}

static void
report_lost_lines(void)
{
    char line[LINE_BYTES];

    snprintf(line, sizeof(line),
             "level=WARN event=lines_lost count=%" PRIu64 "\n",
             lost_line_count);
    if (write_without_blocking(line, strlen(line))) {
        lost_line_count = 0;
    }
}

static void
write_batch(void)
{
    if (batch_line_count == 0) {
        return;
    }
    if (lost_line_count > 0) {
        report_lost_lines();
    }
    if (lost_line_count > 0 || !write_without_blocking(batch, batch_bytes)) {
        lost_line_count += batch_line_count;
    }
    batch_bytes = 0;
    batch_line_count = 0;
}

/* Replaces the stream appenders of log4c, which prefix each line with the name
 * of the appender and block when the output is not read. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    const char *line = event->evt_rendered_msg;
    size_t size_bytes = strlen(line);

    (void)appender;
    pthread_mutex_lock(&output_lock);
    if (batch_bytes + size_bytes > PIPE_BUF) {
        write_batch();
    }
    memcpy(batch + batch_bytes, line, size_bytes + 1);
    batch_bytes += size_bytes;
    batch_line_count++;
    if (!is_batching) {
        write_batch();
    }
    pthread_mutex_unlock(&output_lock);
    return 0;
}

static const log4c_appender_type_t line_appender = {.name = "guavabend_line",
                                                    .append = append_line};

/* One event is one line, whatever the texts from outside in it contain. */
static void
replace_control_characters(char *line)
{
    for (; *line != '\0'; line++) {
        if (iscntrl((unsigned char)*line)) {
            *line = '?';
        }
    }
}

bool
GbLog_Init(const char *program, const char *level)
{
    size_t count = sizeof(level_names) / sizeof(level_names[0]);
    log4c_layout_t *layout;
    log4c_appender_t *appender;

    for (size_t i = 0; i < count; i++) {
        if (strcmp(level, level_names[i]) != 0) {
            continue;
        }
        log4c_init();
        log4c_layout_type_set(&line_layout);
        layout = log4c_layout_get("guavabend_line");
        log4c_layout_set_type(layout, &line_layout);
        log4c_appender_type_set(&line_appender);
        appender = log4c_appender_get("guavabend_stdout");
        log4c_appender_set_type(appender, &line_appender);
        log4c_appender_set_layout(appender, layout);
        category = log4c_category_get(program);
        log4c_category_set_appender(category, appender);
        log4c_category_set_additivity(category, 0);
        log4c_category_set_priority(category, priorities[i]);
        return true;
    }
    return false;
}

void
GbLog_SetInstance(const char *instance)
{
    snprintf(instance_name, sizeof(instance_name), "%s", instance);
}

void
GbLog_Finish(void)
{
    GbLog_Flush();
    category = NULL;
    log4c_fini();
}

void
GbLog_BatchLines(void)
{
    is_batching = true;
}

void
GbLog_Flush(void)
{
    pthread_mutex_lock(&output_lock);
    write_batch();
    pthread_mutex_unlock(&output_lock);
}

void
GbLog_Event(enum GbLogLevel level, const char *event, const char *format, ...)
{
    char line[LINE_BYTES];
    int used;
    va_list arguments;

    if (category == NULL ||
        !log4c_category_is_priority_enabled(category, priorities[level])) {
        return;
    }
    used = snprintf(line, sizeof(line), "event=%s ", event);
    va_start(arguments, format);
    vsnprintf(line + used, sizeof(line) - (size_t)used, format, arguments);
    va_end(arguments);
    replace_control_characters(line);
    log4c_category_log(category, priorities[level], "%s", line);
}
