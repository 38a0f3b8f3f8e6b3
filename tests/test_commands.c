#include <arpa/inet.h>
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "protocol/document_json.h"
#include "protocol/status_json.h"
#include "transport/http_server.h"

#define ARGUMENTS_MAX 8
#define TEXT_BYTES 512
#define POLL_US 2000
#define RUN_TIMEOUT_US INT64_C(10000000)
#define EXAMPLES GB_TEST_DATA "/../examples/"
#define GUAVABEND GB_BUILD_DIR "/guavabend"

/* Process that answers /status and /audit with fixed documents. */
struct FakeProcess {
    struct GbHttpHandler handler;
    struct GbHttpServer server;
    struct GbProcessStatus status;
    /* Responds with text that is not a status. */
    bool is_broken;
    char address[GB_ADDRESS_TEXT_BYTES];
};

enum FakeName {
    FAKE_CURRENT,
    FAKE_BEHIND,
    FAKE_BROKEN,
    FAKE_PARENT,
    FAKE_END
};

static struct FakeProcess fakes[FAKE_END];
static struct event_base *base;
static char child_path[TEXT_BYTES];

static int
handle_request(struct GbHttpHandler *handler, const char *path, GString *body)
{
    struct FakeProcess *self = (struct FakeProcess *)handler;
    struct GbAuditRecord record = {.event = GB_AUDIT_IN_FORCE};

    if (self->is_broken) {
        g_string_append(body, "no status\n");
        return HTTP_OK;
    }
    if (strcmp(path, "/audit") == 0) {
        record.head = self->status.head;
        GbStatusJson_WriteAudit(body, &record);
        return HTTP_OK;
    }
    GbStatusJson_Write(body, &self->status);
    return HTTP_OK;
}

static void
start_fake(enum FakeName name, uint64_t revision,
           const uint8_t digest[GB_DIGEST_BYTES])
{
    static const struct GbAddress any = {INADDR_LOOPBACK, 0};
    struct FakeProcess *self = &fakes[name];
    struct GbAddress address = any;

    self->handler.handle = handle_request;
    g_snprintf(self->status.instance, GB_NAME_BYTES, "fake%d", name);
    self->status.head.revision = revision;
    memcpy(self->status.head.digest, digest, GB_DIGEST_BYTES);
    self->status.is_ready = true;
    g_assert_cmpint(
        GbHttpServer_Open(&self->server, &any, base, &self->handler, NULL), ==,
        GB_TRANSPORT_OK);
    address.port = GbHttpServer_Port(&self->server);
    GbAddress_Format(&address, self->address);
}

/* Writes a document whose parent is agency.json and starts the fake processes:
 * one that has the document in force, one with another document, one that does
 * not send a valid status, and one that has the parent in force. */
static void
start_fakes(void)
{
    static const uint8_t other[GB_DIGEST_BYTES] = {1};
    uint8_t digest[GB_DIGEST_BYTES];
    uint8_t parent[GB_DIGEST_BYTES];
    char parent_text[2 * GB_DIGEST_BYTES + 1];
    gchar *text;
    gchar **parts;
    gchar *child;
    gsize size_bytes;

    g_assert_true(
        g_file_get_contents(EXAMPLES "agency.json", &text, &size_bytes, NULL));
    GbDocumentJson_ComputeDigest((const uint8_t *)text, size_bytes, parent);
    sodium_bin2hex(parent_text, sizeof(parent_text), parent, GB_DIGEST_BYTES);
    parts = g_strsplit(text, "00000000000000000000000000000000", 2);
    g_free(text);
    text = g_strjoinv(parent_text, parts);
    g_strfreev(parts);
    parts = g_strsplit(text, "\"revision\": 1", 2);
    child = g_strjoinv("\"revision\": 2", parts);
    g_strfreev(parts);
    g_free(text);
    GbDocumentJson_ComputeDigest((const uint8_t *)child, strlen(child),
                                 digest);
    g_snprintf(child_path, sizeof(child_path), "%s/guavabend-child-%d.json",
               g_get_tmp_dir(), (int)getpid());
    g_assert_true(g_file_set_contents(child_path, child, -1, NULL));
    g_free(child);
    start_fake(FAKE_CURRENT, 2, digest);
    start_fake(FAKE_BEHIND, 1, other);
    start_fake(FAKE_BROKEN, 0, other);
    fakes[FAKE_BROKEN].is_broken = true;
    start_fake(FAKE_PARENT, 1, parent);
}

static void
kill_with_parent(gpointer context)
{
    (void)context;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void
interrupt_loop(evutil_socket_t fd, short events, void *context)
{
    (void)fd;
    (void)events;
    (void)context;
}

/* Runs a command while the fake processes serve requests. Returns the exit
 * code of the command and sets *output to what it wrote, which the caller
 * frees with g_free. */
static int
run_command(gchar **arguments, gchar **output)
{
    char path[TEXT_BYTES];
    gchar *command_line;
    gchar *shell[] = {"/bin/sh", "-c", NULL, NULL};
    struct timeval pause = {0, POLL_US};
    struct event *timer =
        event_new(base, -1, EV_PERSIST, interrupt_loop, NULL);
    GString *line = g_string_new("exec");
    int64_t deadline_us = g_get_monotonic_time() + RUN_TIMEOUT_US;
    int status = -1;
    pid_t exited = 0;
    GPid pid;

    g_snprintf(path, sizeof(path), "%s/guavabend-output-%d", g_get_tmp_dir(),
               (int)getpid());
    for (gchar **argument = arguments; *argument != NULL; argument++) {
        gchar *quoted = g_shell_quote(*argument);

        g_string_append_printf(line, " %s", quoted);
        g_free(quoted);
    }
    g_string_append_printf(line, " >%s 2>&1", path);
    command_line = g_string_free(line, FALSE);
    shell[2] = command_line;
    g_assert_true(g_spawn_async(NULL, shell, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                kill_with_parent, NULL, &pid, NULL));
    event_add(timer, &pause);
    while (exited == 0 && g_get_monotonic_time() < deadline_us) {
        event_base_loop(base, EVLOOP_ONCE);
        exited = waitpid(pid, &status, WNOHANG);
    }
    event_free(timer);
    g_free(command_line);
    g_assert_cmpint(exited, ==, pid);
    g_assert_true(WIFEXITED(status));
    g_assert_true(g_file_get_contents(path, output, NULL, NULL));
    remove(path);
    return WEXITSTATUS(status);
}

/* In the arguments, "@N" stands for the address of the fake process N of
 * enum FakeName and "@child" for the document whose parent is agency.json. */
struct CommandCase {
    const char *name;
    const char *arguments[ARGUMENTS_MAX];
    int code;
    const char *output;
};

static const struct CommandCase command_cases[] = {
    {"agency.json is valid",
     {"check", EXAMPLES "agency.json"},
     0,
     "valid revision=1"},
    {"franchise.json is valid",
     {"check", EXAMPLES "franchise.json"},
     0,
     "valid revision=1"},
    {"empty document", {"check", "/dev/null"}, 1, "document.json: line 1"},
    {"missing file", {"check", "/nonexistent"}, 1, "cannot read document"},
    {"missing argument", {"check"}, 2, "setting document is required"},
    {"diff of one field",
     {"diff", EXAMPLES "agency.json", "@child"},
     0,
     "document.revision: 1 -> 2"},
    {"diff without changes",
     {"diff", EXAMPLES "agency.json", "@child"},
     0,
     "changes=0"},
    {"diff of other services",
     {"diff", EXAMPLES "agency.json", EXAMPLES "franchise.json"},
     0,
     "pack: removed"},
    {"status, all processes current",
     {"status", "--processes", "@0"},
     0,
     "processes=1 current=1 newest_revision=2"},
    {"status, one process behind",
     {"status", "--processes", "@0,@1"},
     1,
     "behind      fake1"},
    {"status, one process with an invalid status",
     {"status", "--processes", "@0,@2"},
     1,
     "unreachable"},
    {"status, one process unreachable",
     {"status", "--processes", "@0,127.0.0.1:1"},
     1,
     "127.0.0.1:1"},
    {"status without addresses", {"status"}, 2, "no process addresses given"},
    {"status with an invalid address",
     {"status", "--processes", "here"},
     2,
     "\"here\" must be ipv4:port"},
    {"audit",
     {"audit", "--processes", "@0"},
     0,
     "\"event\":\"document_in_force\""},
    {"audit of an unreachable process",
     {"audit", "--processes", "127.0.0.1:1"},
     1,
     "unreachable"},
    {"promote a document in force in trial",
     {"promote", "@child", "--trial", "@0", "--production", "@3"},
     0,
     "publish file="},
    {"promote with another document on one trial process",
     {"promote", "@child", "--trial", "@0,@1", "--production", "@3"},
     1,
     "refused: 1 of 2 processes in trial"},
    {"promote with an invalid status of one trial process",
     {"promote", "@child", "--trial", "@0,@2", "--production", "@3"},
     1,
     "refused: 1 of 2 processes in trial"},
    {"promote with another document on one production process",
     {"promote", "@child", "--trial", "@0", "--production", "@3,@1"},
     1,
     "refused: 1 of 2 processes in production"},
    {"promote without trial processes",
     {"promote", "@child", "--production", "@3"},
     1,
     "no process addresses given"},
    {"promote without production processes",
     {"promote", "@child", "--trial", "@0"},
     1,
     "no process addresses given"},
    {"promote an invalid document",
     {"promote", "/dev/null", "--trial", "@0", "--production", "@3"},
     1,
     "document.json"},
};

static gchar *
expand_argument(const char *argument)
{
    GString *text = g_string_new(NULL);

    if (strcmp(argument, "@child") == 0) {
        return g_string_free(g_string_assign(text, child_path), FALSE);
    }
    for (const char *c = argument; *c != '\0'; c++) {
        if (*c == '@') {
            g_string_append(text, fakes[*++c - '0'].address);
        }
        else {
            g_string_append_c(text, *c);
        }
    }
    return g_string_free(text, FALSE);
}

/* Guards against commands that accept an invalid document, and against wrong
 * exit codes, on which operators' scripts depend. */
static void
test_commands(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(command_cases); i++) {
        const struct CommandCase *row = &command_cases[i];
        gchar *arguments[ARGUMENTS_MAX + 2] = {g_strdup(GUAVABEND)};
        gchar *output;
        int code;

        g_test_message("%s", row->name);
        for (int a = 0; a < ARGUMENTS_MAX && row->arguments[a] != NULL; a++) {
            arguments[a + 1] = expand_argument(row->arguments[a]);
        }
        code = run_command(arguments, &output);
        if (code != row->code || strstr(output, row->output) == NULL) {
            g_test_message("%s", output);
        }
        g_assert_cmpint(code, ==, row->code);
        g_assert_nonnull(strstr(output, row->output));
        g_free(output);
        for (gchar **argument = arguments; *argument != NULL; argument++) {
            g_free(*argument);
        }
    }
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    if (sodium_init() < 0) {
        return 1;
    }
    base = event_base_new();
    start_fakes();
    g_test_add_func("/commands/cases", test_commands);
    code = g_test_run();
    for (int i = 0; i < FAKE_END; i++) {
        GbHttpServer_Close(&fakes[i].server);
    }
    event_base_free(base);
    remove(child_path);
    return code;
}
