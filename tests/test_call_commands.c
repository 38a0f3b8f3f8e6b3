#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "support/cluster.h"
#include "support/pack_response.h"

#define ARGUMENTS_MAX 16
#define EXIT_TIMEOUT_MS 20000
#define BALANCERS 2
/* Equals the --pack-bytes flag of the targets below. */
#define PACK_BYTES 300000
#define BALANCERS_BYTES 64

static const char services_json[] =
    "[{\"name\":\"desk\",\"id\":7,\"address\":\"127.0.0.1\",\"port\":0,"
    "\"slots\":3,\"ramp_ms\":0,\"long_after_ms\":1000,"
    "\"limits\":{\"flows\":30000,\"queue\":192,\"rate_per_s\":30000,"
    "\"retry_budget_percent\":100},\"operations\":["
    "{\"name\":\"check\",\"id\":1,\"class\":\"short\",\"idempotent\":false,"
    "\"deadline_ms\":1500,\"max_answer_bytes\":4096},"
    "{\"name\":\"missing\",\"id\":2,\"class\":\"short\",\"idempotent\":true,"
    "\"deadline_ms\":1500,\"max_answer_bytes\":4},"
    "{\"name\":\"pack\",\"id\":3,\"class\":\"long\",\"idempotent\":true,"
    "\"deadline_ms\":15000,\"max_answer_bytes\":4000000}]}]";

static const struct GbClusterPoolConfig pools[] = {
    {"desk",
     2,
     {"--slots", "3", "--work-ms", "2", "--pack-bytes", "300000", NULL}},
};

static const struct GbTestClusterConfig cluster_config = {
    .build_dir = GB_BUILD_DIR,
    .services_json = services_json,
    .balancer_arguments = {NULL},
    .agent_arguments = {NULL},
    .balancers = BALANCERS,
    .pools = pools,
    .pool_count = G_N_ELEMENTS(pools),
};

/* The settings document and balancers are passed as environment variables. A
 * row may set other balancers. */
struct CommandCase {
    const char *name;
    const char *arguments[ARGUMENTS_MAX];
    const char *balancers;
    int expected_code;
    /* Texts that the output must contain. */
    const char *expected[4];
};

static const struct CommandCase command_cases[] = {
    {"call is answered",
     {"call", "--service", "desk", "--operation", "check", "--body", "one"},
     NULL,
     0,
     {"outcome=answered status=200 bytes=9", "check one"}},
    {"call is repeated in one session",
     {"call", "--service", "desk", "--operation", "check", "--repeat", "20",
      "--body", "two"},
     NULL,
     0,
     {"check twocheck twocheck two"}},
    {"answer cannot be written",
     {"call", "--service", "desk", "--operation", "check", "--output",
      "/no/such/folder/file"},
     NULL,
     1,
     {"setting output is \"/no/such/folder/file\": No such file"}},
    {"no balancer responds",
     {"call", "--service", "desk", "--operation", "check"},
     "127.0.0.1:9",
     1,
     {"outcome=not_run reason=NO_REPLY"}},
    {"answer is larger than allowed",
     {"call", "--service", "desk", "--operation", "missing", "--body", "big"},
     NULL,
     1,
     {"outcome=unknown reason=TARGET_FAILED"}},
    {"unknown service",
     {"call", "--service", "attic", "--operation", "check"},
     NULL,
     2,
     {"setting service is \"attic\", must be a service of the document"}},
    {"unknown operation",
     {"call", "--service", "desk", "--operation", "bogus"},
     NULL,
     2,
     {"there is no operation \"bogus\" of service desk"}},
    {"invalid balancer address",
     {"call", "--service", "desk", "--operation", "check"},
     "localhost:1",
     2,
     {"setting balancers is \"localhost:1\", must be ipv4:port,..."}},
    {"missing document",
     {"call", "--service", "desk", "--operation", "check", "--document",
      "/no/such/file"},
     NULL,
     1,
     {"cannot read document /no/such/file"}},
    {"load ends at its count",
     {"load", "--service", "desk", "--operations", "check:3,pack:1", "--count",
      "60", "--concurrency", "4", "--new-session-percent", "50"},
     NULL,
     0,
     {"calls=60 answered=60 not_run=0 unknown=0",
      "operation=check calls=", "operation=pack calls=", " p999_us="}},
    {"load ends after its duration",
     {"load", "--service", "desk", "--operations", "check", "--rate-per-s",
      "50", "--duration-ms", "1000"},
     NULL,
     0,
     {"calls=50 answered=50", "submissions_per_call="}},
    {"load without answers",
     {"load", "--service", "desk", "--operations", "check", "--count", "3"},
     "127.0.0.1:9",
     1,
     {"operation=check not_run=3 reason=NO_REPLY", "no call was answered"}},
    {"invalid operation weight",
     {"load", "--service", "desk", "--operations", "check:0"},
     NULL,
     2,
     {"setting operations has \"check:0\", must be name:weight"}},
    {"number out of range",
     {"load", "--service", "desk", "--operations", "check", "--concurrency",
      "0"},
     NULL,
     2,
     {"setting concurrency is \"0\", must be a whole number from 1"}},
    {"unknown command", {"fetch"}, NULL, 2, {"Usage: guavabend COMMAND"}},
};

static struct GbTestCluster cluster;

static void
set_variables(const struct CommandCase *row)
{
    char balancers[BALANCERS_BYTES];
    char first[GB_ADDRESS_TEXT_BYTES];
    char second[GB_ADDRESS_TEXT_BYTES];

    g_snprintf(balancers, sizeof(balancers), "%s,%s",
               GbAddress_Format(&cluster.balancers[0].address, first),
               GbAddress_Format(&cluster.balancers[1].address, second));
    g_setenv("GUAVABEND_DOCUMENT", cluster.document_path, TRUE);
    g_setenv("GUAVABEND_BALANCERS",
             row->balancers != NULL ? row->balancers : balancers, TRUE);
}

/* Guards against commands that hang, return a wrong exit code or print no
 * useful error. */
static void
test_command(gconstpointer context)
{
    const struct CommandCase *row = context;
    struct GbChildProcess *process;
    char *output;

    set_variables(row);
    process = GbProcessGroup_Start(&cluster.group, "command", "guavabend",
                                   row->arguments);
    g_assert_true(GbChildProcess_WaitExit(process, EXIT_TIMEOUT_MS));
    output = GbChildProcess_ReadOutput(process);
    g_test_message("%.500s", output);
    for (size_t i = 0; i < G_N_ELEMENTS(row->expected); i++) {
        if (row->expected[i] != NULL) {
            g_assert_nonnull(strstr(output, row->expected[i]));
        }
    }
    g_assert_cmpint(GbChildProcess_ExitCode(process), ==, row->expected_code);
    g_free(output);
}

/* Guards against a download that is truncated or corrupted when it is written
 * to the file. */
static void
test_output_file(void)
{
    char *path = GbProcessGroup_Path(&cluster.group, "pack");
    const char *arguments[] = {"call", "--service", "desk", "--operation",
                               "pack", "--body",    "file", "--output",
                               path,   NULL};
    struct GbChildProcess *process;
    uint8_t *expected = g_malloc(PACK_BYTES);
    gchar *data;
    gsize size_bytes;

    set_variables(&command_cases[0]);
    process = GbProcessGroup_Start(&cluster.group, "command", "guavabend",
                                   arguments);
    g_assert_true(GbChildProcess_WaitExit(process, EXIT_TIMEOUT_MS));
    g_assert_cmpint(GbChildProcess_ExitCode(process), ==, 0);
    g_assert_true(g_file_get_contents(path, &data, &size_bytes, NULL));
    GbPackResponse_Fill("file", 0, expected, PACK_BYTES);
    g_assert_cmpmem(data, size_bytes, expected, PACK_BYTES);
    g_free(data);
    g_free(expected);
    g_free(path);
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    g_assert_cmpint(sodium_init(), >=, 0);
    GbTestCluster_Start(&cluster, &cluster_config);
    for (size_t i = 0; i < G_N_ELEMENTS(command_cases); i++) {
        char *path =
            g_strdup_printf("/call-commands/%s", command_cases[i].name);

        g_test_add_data_func(path, &command_cases[i], test_command);
        g_free(path);
    }
    g_test_add_func("/call-commands/output file", test_output_file);
    code = g_test_run();
    GbTestCluster_Finish(&cluster);
    return code;
}
