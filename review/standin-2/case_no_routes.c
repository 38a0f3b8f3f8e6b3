/* The operator drops routes: all of them, or, without the disruption, one of
 * two. Rule CONFIG: later than configApplyMs after the acknowledgement of a
 * version, no request may be run with a route that it has dropped. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "fleet.h"
#include "host.h"
#include "lab.h"
#include "manifest.h"
#include "store.h"

#define SERVICE "hints"
#define BALANCERS 5
#define SEEDS 3
#define HOSTS 3
#define CLIENTS 2
#define SLOTS 4
#define ROUTE_PORTS 2
#define FIRST_ROUTE_PORT 8443
#define WORK_MS 10
#define SEND_PERIOD_MS 100
#define STABLE_MS 4500
#define BEFORE_MS 2000
#define AFTER_MS 12000
#define CONFIG_APPLY_MS 3000
#define DRAIN_MS 3000

struct Case {
    struct Fleet fleet;
    struct Host hosts[HOSTS];
    struct Client clients[CLIENTS];
    bool is_disrupted;
    /* When the store acknowledged the version that drops routes; 0 before. */
    int64_t dropped_ms;
    int violations;
    int served_after;
    int64_t next_send_ms;
};

static struct Case state;

static const struct ManifestRoute routes[ROUTE_PORTS] = {
    {FIRST_ROUTE_PORT, SERVICE, NULL, 0, "idempotent", 2000, 200},
    {FIRST_ROUTE_PORT + 1, SERVICE, NULL, 0, "idempotent", 2000, 200},
};

/* Returns true if the last version has dropped the route. */
static bool
is_dropped(uint16_t port)
{
    return state.dropped_ms != 0 &&
           (state.is_disrupted || port != FIRST_ROUTE_PORT);
}

static const struct ClientFlow *
find_flow(const char *request_id)
{
    for (int i = 0; i < CLIENTS; i++) {
        const struct ClientFlow *flow =
            Client_Find(&state.clients[i], request_id);

        if (flow != NULL) {
            return flow;
        }
    }
    return NULL;
}

static void
on_run(const struct Host *host, const struct HostFlow *flow, void *context)
{
    const struct ClientFlow *sent = find_flow(flow->request_id);

    (void)context;
    if (sent == NULL) {
        Lab_Record("%s runs a request that nobody sent", host->id);
        return;
    }
    if (is_dropped(flow->service_port) &&
        sent->started_ms > state.dropped_ms + CONFIG_APPLY_MS) {
        state.violations++;
        Lab_Record("CONFIG: %s, sent %lld ms after the acknowledgement of the "
                   "version that dropped its route, is run through %s",
                   flow->request_id,
                   (long long)(sent->started_ms - state.dropped_ms),
                   sent->balancer->process.name);
    }
    else if (state.dropped_ms != 0 && !is_dropped(flow->service_port)) {
        state.served_after++;
    }
}

/* Sends requests through the routers, and to each ready balancer directly, on
 * both routes in turn. */
static void
send_requests(void)
{
    static int count;
    uint16_t port = (uint16_t)(FIRST_ROUTE_PORT + count % ROUTE_PORTS);

    if (Lab_NowMs() < state.next_send_ms) {
        return;
    }
    state.next_send_ms = Lab_NowMs() + SEND_PERIOD_MS;
    count++;
    for (int i = 0; i < CLIENTS; i++) {
        Client_Send(&state.clients[i], port, WORK_MS, NULL);
    }
    if (count % 5 < ROUTE_PORTS) {
        for (int i = 0; i < BALANCERS; i++) {
            Client_Send(&state.clients[0], port, WORK_MS,
                        &state.fleet.balancers[i]);
        }
    }
}

static void
send_until(int64_t at_ms)
{
    while (Lab_NowMs() < at_ms) {
        send_requests();
        Lab_RunUntil(Lab_NowMs() + 5);
    }
}

static void
start_fleet(void)
{
    static const char *const zones[] = {"zone-a", "zone-b"};

    Store_Open();
    Fleet_Init(&state.fleet);
    state.fleet.seed_count = SEEDS;
    for (int i = 0; i < BALANCERS; i++) {
        Fleet_AddBalancer(&state.fleet, zones[i % 2]);
    }
    for (int i = 0; i < HOSTS; i++) {
        Fleet_AddAgent(&state.fleet, zones[i % 2], SERVICE);
        Host_Start(&state.hosts[i], &state.fleet, i, SLOTS);
    }
    for (int i = 0; i < CLIENTS; i++) {
        Client_Open(&state.clients[i], &state.fleet, i + 1, zones[i % 2]);
    }
    Host_SetRunListener(on_run, NULL);
    Manifest_Put(7, routes, ROUTE_PORTS);
    Fleet_Start(&state.fleet);
    Fleet_WaitUntilReady(&state.fleet);
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    int answered;

    if (argc != 2) {
        return LAB_FAILED;
    }
    Lab_Open(argv[1]);
    state.is_disrupted = trouble == NULL || strcmp(trouble, "0") != 0;
    start_fleet();
    Lab_RunUntil(Lab_NowMs() + STABLE_MS);
    send_until(Lab_NowMs() + BEFORE_MS);
    answered = Client_Count(&state.clients[0], CLIENT_ANSWERED);
    Manifest_Put(12, routes, state.is_disrupted ? 0 : 1);
    state.dropped_ms = Lab_NowMs();
    send_until(Lab_NowMs() + AFTER_MS);
    Lab_RunUntil(Lab_NowMs() + DRAIN_MS);
    Lab_Record("answered before the change: %d; run too late: %d; run on the "
               "route that stayed: %d",
               answered, state.violations, state.served_after);
    if (answered == 0 || (!state.is_disrupted && state.served_after == 0)) {
        Lab_Fail("no request was served");
    }
    return Lab_Close(state.violations > 0 ? LAB_BROKEN : LAB_HELD);
}
