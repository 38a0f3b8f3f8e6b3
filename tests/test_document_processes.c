#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "state/address.h"

#define PROCESSES_MAX 8
#define BALANCERS 3
#define TEXT_BYTES 256
#define BODY_BYTES 65536
#define POLL_US 20000
#define WAIT_TIMEOUT_US INT64_C(10000000)
#define KEY "000102030405060708090a0b0c0d0e0f"
#define OTHER_KEY "ffffffffffffffffffffffffffffffff"

static gchar platform_program[] = GB_BUILD_DIR "/platform-standin";
static gchar balancer_program[] = GB_BUILD_DIR "/guavabend-balancer";

/* Stand-in of the platform and balancers as separate processes on loopback. */
struct Fleet {
    char folder[TEXT_BYTES];
    char document[TEXT_BYTES];
    char list[TEXT_BYTES];
    GPid pids[PROCESSES_MAX];
    uint32_t count;
    struct GbAddress platform;
    char udp[PROCESSES_MAX][GB_ADDRESS_TEXT_BYTES];
    struct GbAddress http[PROCESSES_MAX];
    uint32_t balancers;
};

static bool
http_get(const struct GbAddress *address, const char *path,
         char body[BODY_BYTES])
{
    struct sockaddr_in system = {.sin_family = AF_INET};
    struct timeval limit = {5, 0};
    char request[TEXT_BYTES];
    size_t used = 0;
    ssize_t got = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    system.sin_addr.s_addr = htonl(address->ipv4);
    system.sin_port = htons(address->port);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    g_snprintf(request, sizeof(request),
               "GET %s HTTP/1.0\r\nConnection: close\r\n\r\n", path);
    if (connect(fd, (struct sockaddr *)&system, sizeof(system)) == 0 &&
        write(fd, request, strlen(request)) == (ssize_t)strlen(request)) {
        while (got > 0 && used < BODY_BYTES - 1) {
            got = read(fd, body + used, BODY_BYTES - 1 - used);
            used += got > 0 ? (size_t)got : 0;
        }
    }
    close(fd);
    body[used] = '\0';
    return used > 0;
}

/* Returns the number after the first key in a text; -1 if it has no such
 * key. */
static int64_t
number_after(const char *text, const char *key)
{
    const char *found = strstr(text, key);

    return found != NULL ? g_ascii_strtoll(found + strlen(key), NULL, 10) : -1;
}

/* Makes the kernel kill the process when the test ends or fails. */
static void
kill_with_parent(gpointer context)
{
    (void)context;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Starts a process and returns its standard output. */
static int
spawn(struct Fleet *fleet, gchar **arguments)
{
    GError *error = NULL;
    int out = -1;

    g_spawn_async_with_pipes(
        NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD, kill_with_parent,
        NULL, &fleet->pids[fleet->count++], NULL, &out, NULL, &error);
    g_assert_no_error(error);
    return out;
}

/* Reads lines until one contains key. */
static void
read_line_with(int fd, const char *key, char line[TEXT_BYTES])
{
    FILE *stream = fdopen(fd, "r");

    do {
        g_assert_nonnull(fgets(line, TEXT_BYTES, stream));
    } while (strstr(line, key) == NULL);
    /* The stream stays open: closing it would break the process's output. */
}

static void
write_file(const char *path, const char *text)
{
    GError *error = NULL;

    /* Replaces the file atomically. */
    g_file_set_contents(path, text, -1, &error);
    g_assert_no_error(error);
}

static void
publish_document(struct Fleet *fleet, int revision)
{
    gchar *text = g_strdup_printf(
        "{\"revision\":%d,\"parent\":\"00000000000000000000000000000000\","
        "\"requested_by\":\"tester\",\"requested_at\":\"2026-01-01T00:00:00Z\""
        ",\"in_force_from\":\"2026-01-01T00:00:00Z\",\"services\":[{\"name\":"
        "\"hint\",\"id\":1,\"address\":\"192.0.2.1\",\"port\":7000,\"slots\":"
        "2,\"ramp_ms\":0,\"long_after_ms\":500,\"drain\":{\"flow_ms\":2000},"
        "\"limits\":{\"flows\":10,\"queue\":10,\"rate_per_s\":10,"
        "\"retry_budget_percent\":10},\"operations\":[{\"name\":\"reveal\","
        "\"id\":1,\"class\":\"short\",\"idempotent\":true,\"deadline_ms\":"
        "1000,\"max_answer_bytes\":100}]}]}",
        revision);

    write_file(fleet->document, text);
    g_free(text);
}

static void
publish_list(struct Fleet *fleet, int version)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text, "{\"version\":%d,\"instances\":[", version);
    for (uint32_t i = 0; i < fleet->balancers; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"b%u\",\"role\":\"balancer\",\"service\":\"\","
            "\"address\":\"%s\",\"data_centre\":\"dc\",\"state\":\"live\","
            "\"weight\":1}",
            i > 0 ? "," : "", i, fleet->udp[i]);
    }
    g_string_append(text, "]}");
    write_file(fleet->list, text->str);
    g_string_free(text, TRUE);
}

static void
start_platform(struct Fleet *fleet)
{
    gchar *arguments[] = {platform_program, "--document", fleet->document,
                          "--instances",    fleet->list,  NULL};
    char line[TEXT_BYTES];

    read_line_with(spawn(fleet, arguments), "port=", line);
    fleet->platform.ipv4 = INADDR_LOOPBACK;
    fleet->platform.port = (uint16_t)number_after(line, "port=");
}

static void
start_balancer(struct Fleet *fleet, gchar *key)
{
    uint32_t index = fleet->balancers++;
    char name[TEXT_BYTES];
    char platform[GB_ADDRESS_TEXT_BYTES];
    gchar *arguments[] = {balancer_program,
                          "--instance",
                          name,
                          "--data-centre",
                          "dc",
                          "--platform",
                          platform,
                          "--key",
                          key,
                          "--tasks",
                          "1",
                          "--quiet-ms",
                          "0",
                          NULL};
    char line[TEXT_BYTES];

    g_snprintf(name, sizeof(name), "b%u", index);
    GbAddress_Format(&fleet->platform, platform);
    read_line_with(spawn(fleet, arguments), "event=started", line);
    g_assert_cmpint(
        sscanf(strstr(line, "listen="), "listen=%23s", fleet->udp[index]), ==,
        1);
    fleet->http[index].ipv4 = INADDR_LOOPBACK;
    fleet->http[index].port = (uint16_t)number_after(line, "http_port=");
}

static void
open_fleet(struct Fleet *fleet)
{
    memset(fleet, 0, sizeof(*fleet));
    g_snprintf(fleet->folder, TEXT_BYTES, "%s/guavabend-XXXXXX",
               g_get_tmp_dir());
    g_assert_nonnull(g_mkdtemp(fleet->folder));
    g_snprintf(fleet->document, TEXT_BYTES, "%s/document", fleet->folder);
    g_snprintf(fleet->list, TEXT_BYTES, "%s/list", fleet->folder);
    publish_document(fleet, 1);
    publish_list(fleet, 1);
    start_platform(fleet);
    for (int i = 0; i < BALANCERS; i++) {
        start_balancer(fleet, KEY);
    }
    publish_list(fleet, 2);
}

static void
close_fleet(struct Fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->count; i++) {
        kill(fleet->pids[i], SIGTERM);
    }
    for (uint32_t i = 0; i < fleet->count; i++) {
        int status = -1;

        waitpid(fleet->pids[i], &status, 0);
        g_assert_true(WIFEXITED(status));
        g_assert_cmpint(WEXITSTATUS(status), ==, 0);
    }
    remove(fleet->document);
    remove(fleet->list);
    rmdir(fleet->folder);
}

static void
set_mode(struct Fleet *fleet, const char *mode)
{
    char path[TEXT_BYTES];
    char body[BODY_BYTES];

    g_snprintf(path, sizeof(path), "/control?mode=%s", mode);
    g_assert_true(http_get(&fleet->platform, path, body));
    g_assert_nonnull(strstr(body, "ok"));
}

/* Returns the value of a key in /status or /metrics of a balancer; -1 if there
 * is none. */
static int64_t
read_value(struct Fleet *fleet, uint32_t index, const char *path,
           const char *key)
{
    char body[BODY_BYTES];

    return http_get(&fleet->http[index], path, body) ? number_after(body, key)
                                                     : -1;
}

/* Waits until a key has this value. Returns the time taken in ms. */
static int64_t
wait_for_value(struct Fleet *fleet, uint32_t index, const char *path,
               const char *key, int64_t value)
{
    int64_t started_us = g_get_monotonic_time();
    int64_t got = -1;

    do {
        g_usleep(POLL_US);
        got = read_value(fleet, index, path, key);
    } while (got != value &&
             g_get_monotonic_time() - started_us < WAIT_TIMEOUT_US);
    g_assert_cmpint(got, ==, value);
    return (g_get_monotonic_time() - started_us) / 1000;
}

static void
wait_for_all(struct Fleet *fleet, const char *path, const char *key,
             int64_t value)
{
    for (uint32_t i = 0; i < BALANCERS; i++) {
        wait_for_value(fleet, i, path, key, value);
    }
}

struct ModeCase {
    const char *mode;
    const char *counter;
};

static const struct ModeCase mode_cases[] = {
    {"down", "\nguavabend_platform_failures_total "},
    {"garbage", "\nguavabend_platform_failures_total "},
    {"oversize", "\nguavabend_platform_failures_total "},
};

/* Guards against processes that lose their document when the platform replies
 * with errors, invalid bytes or too many bytes. */
static void
test_platform_modes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(mode_cases); i++) {
        const struct ModeCase *row = &mode_cases[i];
        struct Fleet fleet;
        char body[BODY_BYTES];

        g_test_message("%s", row->mode);
        open_fleet(&fleet);
        wait_for_all(&fleet, "/status", "\"revision\":", 1);
        set_mode(&fleet, row->mode);
        wait_for_value(&fleet, 0, "/metrics", row->counter, 1);
        g_assert_cmpint(read_value(&fleet, 0, "/status", "\"revision\":"), ==,
                        1);
        g_assert_true(http_get(&fleet.http[0], "/readyz", body));
        g_assert_nonnull(strstr(body, "200"));
        g_assert_true(http_get(&fleet.platform, "/calls", body));
        close_fleet(&fleet);
    }
}

/* Guards against a new process that starts with an older document from a stale
 * platform, and against running processes that revert to it. */
static void
test_new_process(void)
{
    struct Fleet fleet;
    char body[BODY_BYTES];

    open_fleet(&fleet);
    wait_for_all(&fleet, "/status", "\"revision\":", 1);
    publish_document(&fleet, 2);
    wait_for_all(&fleet, "/status", "\"revision\":", 2);
    wait_for_all(&fleet, "/status", "\"instances_version\":", 2);
    set_mode(&fleet, "older");
    start_balancer(&fleet, KEY);
    wait_for_value(&fleet, BALANCERS, "/metrics", "\nguavabend_ready ", 1);
    g_assert_cmpint(read_value(&fleet, BALANCERS, "/status", "\"revision\":"),
                    ==, 2);
    g_assert_true(http_get(&fleet.http[BALANCERS], "/audit", body));
    g_assert_nonnull(strstr(body, "\"source\":\"peer\""));
    /* Gives the other processes time to read the older head. */
    g_usleep(500000);
    wait_for_all(&fleet, "/status", "\"revision\":", 2);
    close_fleet(&fleet);
}

/* Guards against exchanging documents with processes that use another key. */
static void
test_other_key(void)
{
    struct Fleet fleet;

    open_fleet(&fleet);
    publish_document(&fleet, 2);
    wait_for_all(&fleet, "/status", "\"revision\":", 2);
    wait_for_all(&fleet, "/status", "\"instances_version\":", 2);
    set_mode(&fleet, "older");
    start_balancer(&fleet, OTHER_KEY);
    wait_for_value(&fleet, BALANCERS, "/status", "\"revision\":", 1);
    wait_for_value(&fleet, BALANCERS, "/metrics",
                   "\nguavabend_peer_pull_failures_total ", BALANCERS);
    close_fleet(&fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/document-processes/platform-modes", test_platform_modes);
    g_test_add_func("/document-processes/new-process", test_new_process);
    g_test_add_func("/document-processes/other-key", test_other_key);
    return g_test_run();
}
