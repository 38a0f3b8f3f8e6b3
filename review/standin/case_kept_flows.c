#include "world.h"

/* Clients that keep flows open, with pauses, while processes of the system are
 * stopped and started in turn. */

#define CLIENTS 4
#define FLOWS_PER_CLIENT 4
#define ROUTE_PORT 8443
#define FIRST_ANSWERS_MS 4000
/* Pause of the flows, below the time without packets that the manifest
 * allows. */
#define PAUSE_MS 10000
#define LONG_PAUSE_MS 21000
#define IDLE_TIMEOUT_MS 15000
#define LONG_IDLE_TIMEOUT_MS 30000
#define REQUEST_GAP_MS 150
#define SETTLE_MS 6000
#define ROLL_GAP_MS 2000
/* The routers take a balancer out of rotation after two misses. */
#define BEFORE_REQUESTS_MS 700

/* In each zone one balancer, and two hosts with their agents. */
static const struct Deployment deployment = {
    .balancers = {1, 1},
    .hosts = {2, 2},
};

static bool
all_answered(void)
{
    for (unsigned i = 0; i < flow_count; i++) {
        if (flows[i].answer_count < flows[i].request_count) {
            return false;
        }
    }
    return true;
}

/* Opens the flows, with a request on each. */
static void
open_flows(void)
{
    for (unsigned i = 0; i < CLIENTS * FLOWS_PER_CLIENT; i++) {
        client_request(client_open(i % CLIENTS, ROUTE_PORT));
        loop_run_for(20);
    }
    if (!loop_run_until(all_answered, FIRST_ANSWERS_MS)) {
        cannot_run("the first requests were not answered");
    }
}

/* Returns the agent beside the host that has most of the flows. */
static struct Node *
find_busiest_agent(void)
{
    struct Node *busiest = NULL;
    unsigned most = 0;

    for (unsigned i = 0; i < host_count; i++) {
        struct HostFlow *flow;
        unsigned count = 0;

        for (unsigned at = 0; at < flow_count; at++) {
            count += host_of_flow(&flows[at].key, &flow) == &hosts[i];
        }
        record_line("host %s has %u of the flows", hosts[i].id, count);
        if (count > most) {
            most = count;
            busiest = node_at(hosts[i].ipv4);
        }
    }
    return busiest;
}

static struct Node *
balancer_of_zone(unsigned zone)
{
    for (unsigned i = 0; i < node_count; i++) {
        if (!nodes[i].is_agent && nodes[i].zone == zone) {
            return &nodes[i];
        }
    }
    cannot_run("no balancer");
}

static void
request_on_all(void)
{
    for (unsigned i = 0; i < flow_count; i++) {
        if (flows[i].state == FLOW_OPEN) {
            client_request(&flows[i]);
        }
        loop_run_for(REQUEST_GAP_MS);
    }
}

static unsigned
count_unanswered(void)
{
    unsigned count = 0;

    for (unsigned i = 0; i < flow_count; i++) {
        count += flows[i].answer_count < flows[i].request_count;
    }
    return count;
}

int
case_kept_flows(bool with_agent_restart)
{
    int64_t pause_ms = with_agent_restart ? PAUSE_MS : LONG_PAUSE_MS;
    int64_t pause_start_ms;
    struct Node *agent;

    world.idle_timeout_ms =
        with_agent_restart ? IDLE_TIMEOUT_MS : LONG_IDLE_TIMEOUT_MS;
    start_deployment(&deployment);
    clients_init(CLIENTS, 0, 100);
    open_flows();
    agent = find_busiest_agent();
    pause_start_ms = now_ms();
    record_line("the flows pause");
    if (with_agent_restart && world.has_trouble && agent != NULL) {
        node_terminate(agent);
    }
    loop_run_for(pause_start_ms + pause_ms - now_ms());
    if (world.has_trouble) {
        node_terminate(balancer_of_zone(0));
    }
    loop_run_for(BEFORE_REQUESTS_MS);
    record_line("the flows go on");
    request_on_all();
    loop_run_for(SETTLE_MS);
    record_line("flows %u, requests not answered %u, resets that break FLOW "
                "%u, forged packets %u",
                flow_count, count_unanswered(), foreign_resets,
                world.forged_packets);
    return foreign_resets > 0 || world.forged_packets > 0;
}
