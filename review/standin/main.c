#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "world.h"

#define READY_LIMIT_MS 10000
/* Longer than stableWindowMs: all processes are in touch, and the agents have
 * been running for more than their first seconds. */
#define IN_TOUCH_MS 7000

struct Case {
    const char *name;
    int (*run)(bool is_variant);
    bool is_variant;
};

static const struct Case cases[] = {
    {"kept-flows-agent-restart", case_kept_flows, true},
    {"kept-flows-long-pause", case_kept_flows, false},
    {"drain-after-crash", case_drain, false},
    {"drain-odd-entry", case_drain, true},
    {"roll", case_roll, false},
};

static void
write_manifest(void)
{
    char value[VALUE_BYTES];
    char ip[INET_ADDRSTRLEN];

    ip_text(address_of(240), ip);
    snprintf(
        value, sizeof(value),
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
        "\"prefix\":\"/8443/\",\"kind\":\"idempotent\",\"timeoutMs\":5000,"
        "\"latencyGoalMs\":500,\"priority\":1,\"service\":\"desk\","
        "\"maxAttempts\":2}],\"services\":[{\"name\":\"desk\",\"healthPath\":"
        "\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":%u}}",
        ip, world.idle_timeout_ms);
    store_put("op/config", value);
}

static void
wait_until_in_touch(void)
{
    nodes_start();
    if (!loop_run_until(nodes_are_ready, READY_LIMIT_MS)) {
        cannot_run("the processes did not get ready");
    }
    loop_run_for(IN_TOUCH_MS);
}

void
start_deployment(const struct Deployment *deployment)
{
    char id[NAME_BYTES];
    unsigned balancers = 0;
    unsigned number = 0;

    store_init();
    write_manifest();
    for (unsigned zone = 0; zone < ZONES; zone++) {
        for (unsigned i = 0; i < deployment->balancers[zone]; i++) {
            node_add_balancer(zone, 1 + balancers++);
        }
    }
    for (unsigned zone = 0; zone < ZONES; zone++) {
        for (unsigned i = 0; i < deployment->hosts[zone]; i++) {
            snprintf(id, sizeof(id), "i-%u", number);
            node_add_agent(host_add(id, "desk", zone, 10 + number));
            number++;
        }
    }
    wait_until_in_touch();
}

static int
run_case(const struct Case *entry)
{
    int result = entry->run(entry->is_variant);

    for (unsigned i = 0; i < node_count; i++) {
        if (nodes[i].unexpected_ends > 0) {
            record_line("%s ended by itself %d times", nodes[i].name,
                        nodes[i].unexpected_ends);
        }
    }
    record_line(result == 0 ? "the rule held" : "the rule was broken");
    return result;
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    int result = 2;

    if (argc != 3 || access("target/guavabend-platform", X_OK) != 0) {
        fprintf(stderr, "usage: standin CASE FOLDER, after the build of the "
                        "deploy file\n");
        return 2;
    }
    world_init(argv[2], trouble == NULL || strcmp(trouble, "0") != 0);
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        if (strcmp(cases[i].name, argv[1]) == 0) {
            result = run_case(&cases[i]);
        }
    }
    nodes_kill_all();
    world_remove_directory();
    return result;
}
