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

/* The stand-in of the platform and balancers as separate processes on
 * loopback. */
struct BalancerCluster {
    char folder[TEXT_BYTES];
    char document_path[TEXT_BYTES];
    char list_path[TEXT_BYTES];
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
    size_t used_bytes = 0;
    ssize_t received_bytes = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    system.sin_addr.s_addr = htonl(address->ipv4);
    system.sin_port = htons(address->port);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    g_snprintf(request, sizeof(request),
               "GET %s HTTP/1.0\r\nConnection: close\r\n\r\n", path);
    if (connect(fd, (struct sockaddr *)&system, sizeof(system)) == 0 &&
        write(fd, request, strlen(request)) == (ssize_t)strlen(request)) {
        while (received_bytes > 0 && used_bytes < BODY_BYTES - 1) {
            received_bytes =
                read(fd, body + used_bytes, BODY_BYTES - 1 - used_bytes);
            used_bytes += received_bytes > 0 ? (size_t)received_bytes : 0;
        }
    }
    close(fd);
    body[used_bytes] = '\0';
    return used_bytes > 0;
}

/* Returns the number after the first key in a text; -1 if it has no such
 * key. */
static int64_t
parse_number_after(const char *text, const char *key)
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

/* Starts a process. Returns a file descriptor of its standard output. */
static int
spawn(struct BalancerCluster *cluster, gchar **arguments)
{
    GError *error = NULL;
    int output_fd = -1;

    g_spawn_async_with_pipes(NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                             kill_with_parent, NULL,
                             &cluster->pids[cluster->count++], NULL,
                             &output_fd, NULL, &error);
    g_assert_no_error(error);
    return output_fd;
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
publish_document(struct BalancerCluster *cluster, int revision)
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

    write_file(cluster->document_path, text);
    g_free(text);
}

static void
publish_list(struct BalancerCluster *cluster, int version)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text, "{\"version\":%d,\"instances\":[", version);
    for (uint32_t i = 0; i < cluster->balancers; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"b%u\",\"role\":\"balancer\",\"service\":\"\","
            "\"address\":\"%s\",\"data_centre\":\"dc\",\"state\":\"live\","
            "\"weight\":1}",
            i > 0 ? "," : "", i, cluster->udp[i]);
    }
    g_string_append(text, "]}");
    write_file(cluster->list_path, text->str);
    g_string_free(text, TRUE);
}

static void
start_platform(struct BalancerCluster *cluster)
{
    gchar *arguments[] = {platform_program,       "--document",
                          cluster->document_path, "--instances",
                          cluster->list_path,     NULL};
    char line[TEXT_BYTES];

    read_line_with(spawn(cluster, arguments), "port=", line);
    cluster->platform.ipv4 = INADDR_LOOPBACK;
    cluster->platform.port = (uint16_t)parse_number_after(line, "port=");
}

static void
start_balancer(struct BalancerCluster *cluster, gchar *key)
{
    uint32_t index = cluster->balancers++;
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
    GbAddress_Format(&cluster->platform, platform);
    read_line_with(spawn(cluster, arguments), "event=started", line);
    g_assert_cmpint(
        sscanf(strstr(line, "listen="), "listen=%23s", cluster->udp[index]),
        ==, 1);
    cluster->http[index].ipv4 = INADDR_LOOPBACK;
    cluster->http[index].port =
        (uint16_t)parse_number_after(line, "http_port=");
}

static void
start_cluster(struct BalancerCluster *cluster)
{
    memset(cluster, 0, sizeof(*cluster));
    g_snprintf(cluster->folder, TEXT_BYTES, "%s/guavabend-XXXXXX",
               g_get_tmp_dir());
    g_assert_nonnull(g_mkdtemp(cluster->folder));
    g_snprintf(cluster->document_path, TEXT_BYTES, "%s/document",
               cluster->folder);
    g_snprintf(cluster->list_path, TEXT_BYTES, "%s/list", cluster->folder);
    publish_document(cluster, 1);
    publish_list(cluster, 1);
    start_platform(cluster);
    for (int i = 0; i < BALANCERS; i++) {
        start_balancer(cluster, KEY);
    }
    publish_list(cluster, 2);
}

static void
stop_cluster(struct BalancerCluster *cluster)
{
    for (uint32_t i = 0; i < cluster->count; i++) {
        kill(cluster->pids[i], SIGTERM);
    }
    for (uint32_t i = 0; i < cluster->count; i++) {
        int status = -1;

        waitpid(cluster->pids[i], &status, 0);
        g_assert_true(WIFEXITED(status));
        g_assert_cmpint(WEXITSTATUS(status), ==, 0);
    }
    remove(cluster->document_path);
    remove(cluster->list_path);
    rmdir(cluster->folder);
}

static void
set_mode(struct BalancerCluster *cluster, const char *mode)
{
    char path[TEXT_BYTES];
    char body[BODY_BYTES];

    g_snprintf(path, sizeof(path), "/control?mode=%s", mode);
    g_assert_true(http_get(&cluster->platform, path, body));
    g_assert_nonnull(strstr(body, "ok"));
}

/* Returns the value of a key in /status or /metrics of a balancer; -1 if there
 * is none. */
static int64_t
read_value(struct BalancerCluster *cluster, uint32_t index, const char *path,
           const char *key)
{
    char body[BODY_BYTES];

    return http_get(&cluster->http[index], path, body)
               ? parse_number_after(body, key)
               : -1;
}

/* Waits until a key has this value. Returns the time taken in ms. */
static int64_t
wait_for_value(struct BalancerCluster *cluster, uint32_t index,
               const char *path, const char *key, int64_t value)
{
    int64_t started_us = g_get_monotonic_time();
    int64_t current = -1;

    do {
        g_usleep(POLL_US);
        current = read_value(cluster, index, path, key);
    } while (current != value &&
             g_get_monotonic_time() - started_us < WAIT_TIMEOUT_US);
    g_assert_cmpint(current, ==, value);
    return (g_get_monotonic_time() - started_us) / 1000;
}

static void
wait_for_all(struct BalancerCluster *cluster, const char *path,
             const char *key, int64_t value)
{
    for (uint32_t i = 0; i < BALANCERS; i++) {
        wait_for_value(cluster, i, path, key, value);
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
        struct BalancerCluster cluster;
        char body[BODY_BYTES];

        g_test_message("%s", row->mode);
        start_cluster(&cluster);
        wait_for_all(&cluster, "/status", "\"revision\":", 1);
        set_mode(&cluster, row->mode);
        wait_for_value(&cluster, 0, "/metrics", row->counter, 1);
        g_assert_cmpint(read_value(&cluster, 0, "/status", "\"revision\":"),
                        ==, 1);
        g_assert_true(http_get(&cluster.http[0], "/readyz", body));
        g_assert_nonnull(strstr(body, "200"));
        g_assert_true(http_get(&cluster.platform, "/calls", body));
        stop_cluster(&cluster);
    }
}

/* Guards against a new process that starts with an older document from a stale
 * platform, and against running processes that revert to it. */
static void
test_new_process(void)
{
    struct BalancerCluster cluster;
    char body[BODY_BYTES];

    start_cluster(&cluster);
    wait_for_all(&cluster, "/status", "\"revision\":", 1);
    publish_document(&cluster, 2);
    wait_for_all(&cluster, "/status", "\"revision\":", 2);
    wait_for_all(&cluster, "/status", "\"instances_version\":", 2);
    set_mode(&cluster, "older");
    start_balancer(&cluster, KEY);
    wait_for_value(&cluster, BALANCERS, "/metrics", "\nguavabend_ready ", 1);
    g_assert_cmpint(
        read_value(&cluster, BALANCERS, "/status", "\"revision\":"), ==, 2);
    g_assert_true(http_get(&cluster.http[BALANCERS], "/audit", body));
    g_assert_nonnull(strstr(body, "\"source\":\"peer\""));
    /* Gives the other processes time to read the older head. */
    g_usleep(500000);
    wait_for_all(&cluster, "/status", "\"revision\":", 2);
    stop_cluster(&cluster);
}

/* Guards against exchanging documents with processes that use another key. */
static void
test_other_key(void)
{
    struct BalancerCluster cluster;

    start_cluster(&cluster);
    publish_document(&cluster, 2);
    wait_for_all(&cluster, "/status", "\"revision\":", 2);
    wait_for_all(&cluster, "/status", "\"instances_version\":", 2);
    set_mode(&cluster, "older");
    start_balancer(&cluster, OTHER_KEY);
    wait_for_value(&cluster, BALANCERS, "/status", "\"revision\":", 1);
    wait_for_value(&cluster, BALANCERS, "/metrics",
                   "\nguavabend_peer_pull_failures_total ", BALANCERS);
    stop_cluster(&cluster);
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
