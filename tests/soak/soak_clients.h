#ifndef GB_TESTS_SOAK_CLIENTS_H
#define GB_TESTS_SOAK_CLIENTS_H

#include "soak_world.h"

/* Requests that were begun since the last reset, and their ends. */
struct SoakOutcomes {
    uint32_t begun;
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

/* Clients that open a flow for each request, and some that keep a flow for
 * many. */
struct SoakClients {
    struct SoakWorld *world;
    struct SoakClient items[SOAK_CLIENTS];
    /* Struct SoakFlow by name. */
    GHashTable *flows;
    uint16_t next_port;
    uint32_t next_request_id;
    uint32_t long_flows;
    bool is_sending;
    struct SoakOutcomes outcomes;
};

void SoakClients_Init(struct SoakClients *self, struct SoakWorld *world);

void SoakClients_Finish(struct SoakClients *self);

/* Begins requests, repeats packets and gives up what has had its time. Is
 * called every SOAK_TICK_MS. */
void SoakClients_Tick(struct SoakClients *self);

#define SOAK_TICK_MS 10

#endif
