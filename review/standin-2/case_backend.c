/* A route has a second backend for a while. Then agents and a balancer are
 * stopped and started in turn. Rule FLOW: under planned work, the client of an
 * open flow gets no reset that the flow's host did not send. */

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

#define LINK "link"
#define SHELF "shelf"
#define BALANCERS 2
#define HOSTS 4
#define CLIENTS 8
#define SLOTS 4
#define FLOWS 48
#define ROUTE_PORT 8443
#define OTHER_PORT 8444
#define SECOND_WEIGHT 25
#define WORK_MS 20
#define PAUSE_MS 8000
#define KEEP_MS 40000
#define OPEN_PERIOD_MS 80
#define STABLE_MS 4500
/* Longer than an agent counts its flows as incomplete after its start. */
#define SETTLE_MS 14000
#define GAP_MS 1300
#define ROLL_MS 16000

struct Case {
    struct Fleet fleet;
    struct Host hosts[HOSTS];
    struct Client clients[CLIENTS];
    int violations;
};

static struct Case state;

static void
on_reset(const struct Client *client, const struct ClientFlow *flow,
         void *context)
{
    (void)context;
    for (int i = 0; i < HOSTS; i++) {
        if (Host_FindOpen(&state.hosts[i], client->ipv4, flow->port) != NULL) {
            state.violations++;
            Lab_Record("FLOW: %s, open at %s (%s), is reset by the system",
                       flow->request_id, state.hosts[i].id,
                       state.hosts[i].service);
        }
    }
}

static void
put_manifest(int version, bool has_second)
{
    const struct ManifestRoute routes[] = {
        {ROUTE_PORT, LINK, has_second ? SHELF : NULL, SECOND_WEIGHT,
         "non_idempotent", 2000, 250},
        {OTHER_PORT, SHELF, NULL, 0, "idempotent", 2000, 250},
    };

    Manifest_Put(version, routes, 2);
}

/* Zone a has the agents 0 and 1, zone b the agents 2 and 3. */
static void
start_fleet(void)
{
    static const char *const zones[] = {"zone-a", "zone-b"};
    static const char *const services[] = {LINK, SHELF};

    Store_Open();
    Fleet_Init(&state.fleet);
    state.fleet.seed_count = BALANCERS;
    for (int i = 0; i < BALANCERS; i++) {
        Fleet_AddBalancer(&state.fleet, zones[i]);
    }
    for (int i = 0; i < HOSTS; i++) {
        Fleet_AddAgent(&state.fleet, zones[i / 2], services[i % 2]);
        Host_Start(&state.hosts[i], &state.fleet, i, SLOTS);
    }
    for (int i = 0; i < CLIENTS; i++) {
        Client_Open(&state.clients[i], &state.fleet, i + 1, "zone-a");
    }
    Client_SetResetListener(on_reset, NULL);
    put_manifest(7, false);
    Fleet_Start(&state.fleet);
    Fleet_WaitUntilReady(&state.fleet);
}

static void
stop(struct FleetMachine *machine)
{
    Lab_Signal(&machine->process, SIGTERM);
    Lab_RunUntil(Lab_NowMs() + GAP_MS);
}

static bool
has_restarted(const struct FleetMachine *machine, pid_t old_pid)
{
    return machine->process.pid > 0 && machine->process.pid != old_pid;
}

/* Stops two of four agents and, once they run again, one of two balancers. */
static void
roll(void)
{
    struct FleetMachine *first = &state.fleet.agents[0];
    struct FleetMachine *second = &state.fleet.agents[1];
    pid_t first_pid = first->process.pid;
    pid_t second_pid = second->process.pid;

    stop(first);
    stop(second);
    while (!has_restarted(first, first_pid) ||
           !has_restarted(second, second_pid)) {
        Lab_RunUntil(Lab_NowMs() + 5);
    }
    stop(&state.fleet.balancers[0]);
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
    put_manifest(9, true);
    Lab_RunUntil(Lab_NowMs() + STABLE_MS);
    for (int i = 0; i < FLOWS; i++) {
        struct ClientFlow *flow = Client_Send(&state.clients[i % CLIENTS],
                                              ROUTE_PORT, WORK_MS, NULL);

        flow->keep_ms = KEEP_MS;
        flow->pause_ms = PAUSE_MS;
        Lab_RunUntil(Lab_NowMs() + OPEN_PERIOD_MS);
    }
    put_manifest(11, false);
    Lab_RunUntil(Lab_NowMs() + SETTLE_MS);
    if (is_disrupted) {
        roll();
    }
    Lab_RunUntil(Lab_NowMs() + ROLL_MS);
    Lab_Record("open or ended as planned: %d; not opened: %d; open and reset "
               "by the system: %d",
               count_flows(CLIENT_OPEN) + count_flows(CLIENT_ANSWERED),
               count_flows(CLIENT_NOT_OPENED), state.violations);
    if (state.hosts[1].runs + state.hosts[3].runs == 0) {
        Lab_Fail("no flow opened at the second backend");
    }
    return Lab_Close(state.violations > 0 ? LAB_BROKEN : LAB_HELD);
}
