#ifndef GB_TESTS_SOAK_CLIENTS_H
#define GB_TESTS_SOAK_CLIENTS_H

#include "soak_harness.h"

/* Flows for one request each that were started since the counters were last
 * reset, and their outcomes. */
struct SoakOutcomes {
    uint32_t started;
    uint32_t answered;
    uint32_t failed;
};

struct SoakClient {
    char ip[SOAK_IP_BYTES];
    uint32_t ipv4;
    int fd;
    struct event *readable;
    struct SoakClients *clients;
};

/* Kinds of flows: one request each, many requests in quick succession, and
 * requests with pauses up to the idle limit of the configuration. */
enum SoakFlowKind { SOAK_FLOW_SINGLE, SOAK_FLOW_BUSY, SOAK_FLOW_PAUSING };

#define SOAK_FLOW_KINDS 3

/* Simulated clients. Most of their flows carry one request. */
struct SoakClients {
    struct SoakHarness *harness;
    struct SoakClient clients[SOAK_CLIENTS];
    /* struct SoakFlow by key. */
    GHashTable *flows;
    uint16_t next_port;
    uint32_t next_request_id;
    /* Open flows of each kind. */
    uint32_t counts[SOAK_FLOW_KINDS];
    bool is_sending;
    struct SoakOutcomes outcomes;
};

void SoakClients_Init(struct SoakClients *self, struct SoakHarness *harness);

void SoakClients_Finish(struct SoakClients *self);

/* Starts flows, sends requests, retransmits packets and ends flows that timed
 * out. Must be called every SOAK_TICK_MS. */
void SoakClients_Tick(struct SoakClients *self);

#define SOAK_TICK_MS 10

#endif
