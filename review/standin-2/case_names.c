/* Two services whose names have the same hash of 24 bits, or, without the
 * disruption, other names. Rule ROUTE: a request is run only by a service to
 * which a manifest allows it to go. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "fleet.h"
#include "host.h"
#include "lab.h"
#include "manifest.h"
#include "store.h"

#define SERVICES 2
#define BALANCERS 2
#define HOSTS 4
#define CLIENTS 2
#define SLOTS 4
#define FIRST_ROUTE_PORT 8443
#define WORK_MS 10
#define SEND_PERIOD_MS 50
#define STABLE_MS 4500
#define SEND_MS 8000
#define DRAIN_MS 3000

static const char *const same_hash[SERVICES] = {"bafe99b", "bago18c"};
static const char *const other_hash[SERVICES] = {"bafe99b", "bago19c"};

struct Case {
    struct Fleet fleet;
    struct Host hosts[HOSTS];
    struct Client clients[CLIENTS];
    const char *const *services;
    int violations;
    int runs;
};

static struct Case state;

static void
on_run(const struct Host *host, const struct HostFlow *flow, void *context)
{
    const char *allowed =
        state.services[flow->service_port - FIRST_ROUTE_PORT];

    (void)context;
    state.runs++;
    if (strcmp(host->service, allowed) != 0) {
        state.violations++;
        Lab_Record("ROUTE: %s, whose route leads to %s, is run by %s, a host "
                   "of %s",
                   flow->request_id, allowed, host->id, host->service);
    }
}

static void
start_fleet(void)
{
    static const char *const zones[] = {"zone-a", "zone-b"};
    struct ManifestRoute routes[SERVICES];

    Store_Open();
    Fleet_Init(&state.fleet);
    state.fleet.seed_count = BALANCERS;
    for (int i = 0; i < BALANCERS; i++) {
        Fleet_AddBalancer(&state.fleet, zones[i % 2]);
    }
    for (int i = 0; i < HOSTS; i++) {
        Fleet_AddAgent(&state.fleet, zones[i / 2],
                       state.services[i % SERVICES]);
        Host_Start(&state.hosts[i], &state.fleet, i, SLOTS);
    }
    for (int i = 0; i < CLIENTS; i++) {
        Client_Open(&state.clients[i], &state.fleet, i + 1, zones[i % 2]);
    }
    for (int i = 0; i < SERVICES; i++) {
        routes[i] = (struct ManifestRoute){(uint16_t)(FIRST_ROUTE_PORT + i),
                                           state.services[i],
                                           NULL,
                                           0,
                                           "non_idempotent",
                                           2000,
                                           200};
    }
    Host_SetRunListener(on_run, NULL);
    Manifest_Put(7, routes, SERVICES);
    Fleet_Start(&state.fleet);
    Fleet_WaitUntilReady(&state.fleet);
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    int64_t end_ms;

    if (argc != 2) {
        return LAB_FAILED;
    }
    Lab_Open(argv[1]);
    state.services =
        trouble != NULL && strcmp(trouble, "0") == 0 ? other_hash : same_hash;
    start_fleet();
    Lab_RunUntil(Lab_NowMs() + STABLE_MS);
    end_ms = Lab_NowMs() + SEND_MS;
    for (int count = 0; Lab_NowMs() < end_ms; count++) {
        Client_Send(&state.clients[count % CLIENTS],
                    (uint16_t)(FIRST_ROUTE_PORT + count / CLIENTS % SERVICES),
                    WORK_MS, NULL);
        Lab_RunUntil(Lab_NowMs() + SEND_PERIOD_MS);
    }
    Lab_RunUntil(Lab_NowMs() + DRAIN_MS);
    Lab_Record("run: %d; run by the other service: %d", state.runs,
               state.violations);
    if (state.runs == 0) {
        Lab_Fail("no request was served");
    }
    return Lab_Close(state.violations > 0 ? LAB_BROKEN : LAB_HELD);
}
