#ifndef GB_TESTS_SOAK_WORLD_H
#define GB_TESTS_SOAK_WORLD_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "soak_packet.h"
#include "soak_promises.h"
#include "soak_proxy.h"
#include "soak_store.h"
#include "support/process_group.h"

#define SOAK_BALANCERS 3
/* Places for agents and their targets, more than are used at a time. */
#define SOAK_PLACES 8
#define SOAK_CLIENTS 8
#define SOAK_SERVICES 2
#define SOAK_ROUTES_MAX 6
#define SOAK_IP_BYTES 16

/* A process of the system, with the address that it has for itself. */
struct SoakProcess {
    struct SoakWorld *world;
    char name[32];
    char ip[SOAK_IP_BYTES];
    uint32_t ipv4;
    bool is_agent;
    /* Of an agent. */
    uint32_t service;
    struct SoakProxy proxy;
    /* NULL while it does not run. */
    struct GbChildProcess *process;
    bool is_paused;
    /* When SIGTERM was sent; 0 if it was not. */
    int64_t stopped_ms;
    bool is_killed;
    /* When it is started again; 0 if it is not. */
    int64_t start_ms;
    /* Of a balancer: whether the fabric sends packets to it. */
    bool is_in_rotation;
    uint32_t misses;
    int64_t probe_ms;
    struct evhttp_connection *probe;
};

enum SoakTargetState {
    SOAK_TARGET_NONE,
    SOAK_TARGET_READY,
    SOAK_TARGET_DRAINING,
    /* It gets no packets and sends none. */
    SOAK_TARGET_CRASHED
};

/* Target beside an agent. */
struct SoakTarget {
    struct SoakWorld *world;
    struct SoakProcess *agent;
    enum SoakTargetState state;
    uint32_t service;
    int fd;
    struct event *readable;
    /* Number of the start, which is in the name of its entry. */
    uint32_t boot;
    /* Start that crashed and whose entry is still in the store; 0 if none. */
    uint32_t crashed_boot;
    uint64_t entry_number;
    /* When the store took the entry that says draining. */
    int64_t draining_ms;
    /* Struct SoakTargetFlow by name. */
    GHashTable *flows;
};

struct SoakRoute {
    uint16_t port;
    uint32_t service;
    bool is_listed;
    /* When the store took the last change. */
    int64_t changed_ms;
};

/* Everything outside the processes under test. */
struct SoakWorld {
    struct event_base *base;
    /* What clients and targets do, and which faults there are. They are apart,
     * so that the faults of a seed do not depend on how the system reacts. */
    GRand *random;
    GRand *plan;
    struct SoakPromises promises;
    struct SoakStore store;
    struct GbProcessGroup group;
    struct SoakProcess balancers[SOAK_BALANCERS];
    struct SoakProcess agents[SOAK_PLACES];
    struct SoakTarget targets[SOAK_PLACES];
    struct SoakRoute routes[SOAK_ROUTES_MAX];
    uint32_t service_ipv4;
    uint64_t routes_version;
    uint32_t timeout_ms;
    uint16_t packet_port;
    uint16_t readiness_port;
    uint16_t control_port;
    uint16_t target_port;
    uint16_t outbound_port;
    uint16_t peer_port;
    /* Target that ran a request, plus one, by its id. */
    GHashTable *runs;
};

/* Address number index of a kind (0 balancers, 1 agents, 2 clients) in the
 * block of loopback addresses that this run uses. */
void SoakWorld_Ip(uint32_t kind, uint32_t index, char ip[SOAK_IP_BYTES]);

/* Binds a datagram socket that does not block; -1 if the port is taken. */
int SoakWorld_Bind(const char *ip, uint16_t port);

void SoakWorld_Send(int fd, const char *ip, uint16_t port,
                    const uint8_t *bytes, size_t size_bytes);

/* Writes the configuration to the store. */
void SoakWorld_PutRoutes(struct SoakWorld *self);

uint32_t SoakWorld_Random(struct SoakWorld *self, uint32_t below);

uint32_t SoakWorld_Plan(struct SoakWorld *self, uint32_t below);

#endif
