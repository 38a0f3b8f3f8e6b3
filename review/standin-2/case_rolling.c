/* A zone's only balancer is stopped and started again, several times, while
 * all hosts are busy. Rule FLOW: under planned work, the client of an open
 * flow gets no reset that the flow's host did not send. */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "fleet.h"
#include "host.h"
#include "lab.h"
#include "manifest.h"
#include "store.h"

#define SERVICE "packs"
#define BALANCERS 2
#define HOSTS 4
#define CLIENTS 8
#define SLOTS 2
#define ROUTE_PORT 8443
#define WORK_MS 150
#define KEEP_MS 3000
/* 50 requests a second for 53 that the hosts can run, and 1.7 times as many
 * while many users come at once. */
#define USUAL_PERIOD_US 20000
#define BURST_PERIOD_US 11765
#define BURST_MS 3000
#define STOP_IN_BURST_MS 1700
#define STABLE_MS 4500
#define USUAL_MS 4000
#define ROLLS 12
#define DRAIN_MS 5000
#define US_PER_MS 1000

struct Case {
    struct Fleet fleet;
    struct Host hosts[HOSTS];
    struct Client clients[CLIENTS];
    int violations;
    int sent;
};

static struct Case state;

static void
on_reset(const struct Client *client, const struct ClientFlow *flow,
         void *context)
{
    (void)context;
    for (int i = 0; i < HOSTS; i++) {
        const struct HostFlow *open =
            Host_FindOpen(&state.hosts[i], client->ipv4, flow->port);

        if (open != NULL) {
            state.violations++;
            Lab_Record("FLOW: %s, open at %s, is reset by the system; its "
                       "request %s",
                       flow->request_id, state.hosts[i].id,
                       open->is_running    ? "is running"
                       : open->is_answered ? "has run"
                                           : "has not run yet");
        }
    }
}

static void
start_fleet(void)
{
    static const char *const zones[] = {"zone-a", "zone-b"};
    static const struct ManifestRoute route = {
        ROUTE_PORT, SERVICE, NULL, 0, "non_idempotent", 5000, 500};

    Store_Open();
    Fleet_Init(&state.fleet);
    state.fleet.seed_count = BALANCERS;
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
    Client_SetResetListener(on_reset, NULL);
    Manifest_Put(7, &route, 1);
    Fleet_Start(&state.fleet);
    Fleet_WaitUntilReady(&state.fleet);
}

static void
send_for(int64_t duration_ms, int64_t period_us)
{
    int64_t start_ms = Lab_NowMs();

    for (int64_t i = 0; i * period_us < duration_ms * US_PER_MS; i++) {
        Client_Send(&state.clients[state.sent++ % CLIENTS], ROUTE_PORT,
                    WORK_MS, NULL)
            ->keep_ms = KEEP_MS;
        Lab_RunUntil(start_ms + (i + 1) * period_us / US_PER_MS);
    }
}

static int
count_flows(enum ClientFlowState flow_state)
{
    int count = 0;

    for (int i = 0; i < CLIENTS; i++) {
        count += Client_Count(&state.clients[i], flow_state);
    }
    return count;
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    bool is_disrupted = trouble == NULL || strcmp(trouble, "0") != 0;

    if (argc != 2) {
        return LAB_FAILED;
    }
    Lab_Open(argv[1]);
    start_fleet();
    Lab_RunUntil(Lab_NowMs() + STABLE_MS);
    for (int i = 0; i < ROLLS; i++) {
        send_for(USUAL_MS, USUAL_PERIOD_US);
        send_for(STOP_IN_BURST_MS, BURST_PERIOD_US);
        if (is_disrupted) {
            Lab_Signal(&state.fleet.balancers[i % BALANCERS].process, SIGTERM);
        }
        send_for(BURST_MS - STOP_IN_BURST_MS, BURST_PERIOD_US);
    }
    Lab_RunUntil(Lab_NowMs() + DRAIN_MS);
    Lab_Record("sent: %d; answered: %d; not opened: %d; given up: %d; open "
               "and reset by the system: %d",
               state.sent, count_flows(CLIENT_ANSWERED),
               count_flows(CLIENT_NOT_OPENED), count_flows(CLIENT_GAVE_UP),
               state.violations);
    if (count_flows(CLIENT_ANSWERED) == 0) {
        Lab_Fail("no request was served");
    }
    return Lab_Close(state.violations > 0 ? LAB_BROKEN : LAB_HELD);
}
