#include <string.h>

#include "world.h"

/* Planned work takes a host out of service while clients open a flow for each
 * request. */

#define CLIENTS 16
#define ROUTE_PORT 8443
#define REQUEST_GAP_MS 20
#define WARM_UP_MS 3000
/* How long the crashed host is down, and how soon after its return the
 * planned work begins. */
#define DOWN_MS 500
#define BEFORE_DRAIN_MS 500
/* The host serves on for drainMs and a little longer. */
#define SERVES_ON_MS 10000

/* In each zone one balancer, and two hosts with their agents. */
static const struct Deployment deployment = {
    .balancers = {1, 1},
    .hosts = {2, 2},
};

static struct Host *drained;
static unsigned late_openings;

static void
run_traffic(int64_t duration_ms)
{
    int64_t end_ms = now_ms() + duration_ms;
    static unsigned next_client;

    while (now_ms() < end_ms) {
        struct ClientFlow *flow =
            client_open(next_client++ % CLIENTS, ROUTE_PORT);

        flow->closes_after_response = true;
        client_request(flow);
        loop_run_for(REQUEST_GAP_MS);
    }
}

static const struct ClientFlow *
find_client_flow(const struct FlowKey *key)
{
    for (unsigned i = flow_count; i > 0; i--) {
        if (key_equal(&flows[i - 1].key, key)) {
            return &flows[i - 1];
        }
    }
    return NULL;
}

/* The rule counts the opening packet that a host took: when the client sent
 * it, and when it arrived. */
static void
judge_opening(struct Host *host, struct HostFlow *flow)
{
    const struct ClientFlow *client = find_client_flow(&flow->key);

    if (host != drained || host->draining_acked_ms == 0 || client == NULL) {
        return;
    }
    if (client->syn_sent_ms - host->draining_acked_ms > DRAIN_MS) {
        late_openings++;
        record_line("DRAIN: %s takes a flow of client %u whose opening packet "
                    "was sent %d ms and arrived %d ms after the store had "
                    "accepted that it is draining",
                    host->id, client->client,
                    (int)(client->syn_sent_ms - host->draining_acked_ms),
                    (int)(flow->syn_taken_ms - host->draining_acked_ms));
    }
}

/* Another writer leaves a copy of the host's entry that lacks two fields. */
static void
write_odd_entry(const struct Host *host)
{
    char value[VALUE_BYTES];
    char ip[INET_ADDRSTRLEN];

    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"zone-%u\","
             "\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0}",
             host->service, ip_text(host->ipv4, ip), world.target_port,
             host->zone);
    store_put("servers/inventory-1", value);
}

static unsigned
count_failed(void)
{
    unsigned count = 0;

    for (unsigned i = 0; i < flow_count; i++) {
        count += flows[i].answer_count == 0;
    }
    return count;
}

int
case_drain(bool with_odd_entry)
{
    start_deployment(&deployment);
    clients_init(CLIENTS, 0, 100);
    drained = &hosts[0];
    host_took_opening = judge_opening;
    run_traffic(WARM_UP_MS);
    if (world.has_trouble && with_odd_entry) {
        write_odd_entry(drained);
        run_traffic(DOWN_MS + BEFORE_DRAIN_MS);
    }
    else if (world.has_trouble) {
        host_crash(drained);
        run_traffic(DOWN_MS);
        host_restart(drained, "i-0-second");
        run_traffic(BEFORE_DRAIN_MS);
    }
    else {
        run_traffic(DOWN_MS + BEFORE_DRAIN_MS);
    }
    host_drain(drained);
    run_traffic(SERVES_ON_MS);
    host_leave(drained);
    run_traffic(1000);
    loop_run_for(2000);
    record_line("flows %u, not answered %u, opening packets that break DRAIN "
                "%u, forged packets %u",
                flow_count, count_failed(), late_openings,
                world.forged_packets);
    return late_openings > 0 || world.forged_packets > 0;
}
