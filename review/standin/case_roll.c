#include "world.h"

/* Machines are stopped and started one after the other, while clients keep
 * flows open and send a request on each several times a second. */

#define CLIENTS 12
#define FLOWS_PER_CLIENT 16
#define ROUTE_PORT 8443
#define HOSTS 3
#define OTHER_HOSTS 2
#define REQUEST_GAP_MS 250
#define WARM_UP_MS 1000
/* The flows stay younger than flowTtlS. */
#define ROUNDS 4
/* Pause between two machines of a round, and between rounds. */
#define GAP_MS 1000
#define ROUND_MS 6000
#define TURN_MS 5
#define OPEN_GAP_MS 3

static const struct Deployment deployment = {
    .balancers = {1, 1},
    .hosts = {HOSTS, OTHER_HOSTS},
};

static void
run_traffic(int64_t duration_ms)
{
    int64_t end_ms = now_ms() + duration_ms;

    while (now_ms() < end_ms) {
        for (unsigned i = 0; i < flow_count; i++) {
            struct ClientFlow *flow = &flows[i];

            if (flow->state == FLOW_OPEN && !flow->is_waiting &&
                now_ms() - flow->request_ms >= REQUEST_GAP_MS) {
                client_request(flow);
            }
        }
        loop_run_for(TURN_MS);
    }
}

static void
open_flows(void)
{
    for (unsigned i = 0; i < CLIENTS * FLOWS_PER_CLIENT; i++) {
        client_request(client_open(i % CLIENTS, ROUTE_PORT));
        loop_run_for(OPEN_GAP_MS);
    }
}

static struct Node *
find_node(bool is_agent, unsigned zone, unsigned index)
{
    for (unsigned i = 0; i < node_count; i++) {
        if (nodes[i].is_agent == is_agent && nodes[i].zone == zone &&
            index-- == 0) {
            return &nodes[i];
        }
    }
    cannot_run("no such process");
}

/* An agent of the other zone, then the balancer of the clients' zone. */
static void
roll(unsigned round)
{
    if (world.has_trouble) {
        node_terminate(find_node(true, 1, round % OTHER_HOSTS));
    }
    run_traffic(GAP_MS);
    if (world.has_trouble) {
        node_terminate(find_node(false, 0, 0));
    }
    run_traffic(ROUND_MS);
}

int
case_roll(bool is_variant)
{
    (void)is_variant;
    world.work_ms = 4;
    world.has_stale_seeds = true;
    start_deployment(&deployment);
    clients_init(CLIENTS, 0, 100);
    open_flows();
    run_traffic(WARM_UP_MS);
    for (unsigned i = 0; i < ROUNDS && foreign_resets == 0; i++) {
        roll(i);
    }
    record_line("resets that break FLOW %u, forged packets %u", foreign_resets,
                world.forged_packets);
    return foreign_resets > 0 || world.forged_packets > 0;
}
