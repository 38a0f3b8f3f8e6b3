#ifndef GB_TESTS_SOAK_HARNESS_H
#define GB_TESTS_SOAK_HARNESS_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "soak_invariants.h"
#include "soak_packet.h"
#include "soak_proxy.h"
#include "soak_store.h"
#include "support/process_group.h"

/* Agents have one target each. Not all run at the same time, so that a target
 * can be replaced by one at another address. */
#ifndef SOAK_BALANCERS
#define SOAK_BALANCERS 3
#define SOAK_AGENTS_MAX 8
#endif
#define SOAK_CLIENTS 8
#define SOAK_SERVICES 2
#define SOAK_ROUTES_MAX 6
#define SOAK_IP_BYTES 16

/* Balancer or agent under test, with its own loopback address. */
struct SoakProcess {
    struct SoakHarness *harness;
    char name[32];
    char ip[SOAK_IP_BYTES];
    uint32_t ipv4;
    bool is_agent;
    /* Service of the target; agents only. */
    uint32_t service;
    struct SoakProxy proxy;
    /* NULL while the process does not run. */
    struct GbChildProcess *process;
    bool is_paused;
    int64_t paused_at_ms;
    /* When SIGTERM or SIGKILL was first sent; 0 if neither was. */
    int64_t stop_requested_ms;
    bool is_killed;
    /* When to start the process again; 0 if no restart is planned. */
    int64_t restart_at_ms;
    /* Whether the simulated network sends packets to this balancer, which
     * depends on the results of readiness probes. */
    bool is_in_rotation;
    uint32_t failed_probes;
    int64_t next_probe_ms;
    struct evhttp_connection *probe_connection;
    /* Highest version of the routes that the running process has been seen to
     * follow, and since when; balancers only. */
    uint64_t followed_version;
    int64_t followed_since_ms;
};

/* Balancer to which the last SYN packet of a flow was sent. */
struct SoakSyn {
    struct SoakFlowKey flow;
    struct SoakProcess *balancer;
    int64_t sent_ms;
};

/* Which of the seeds in the settings are addresses without a process. */
enum SoakSeeds { SOAK_SEEDS_LIVE, SOAK_SEEDS_ONE_STALE, SOAK_SEEDS_STALE };

enum SoakTargetState {
    SOAK_TARGET_NONE,
    SOAK_TARGET_READY,
    SOAK_TARGET_DRAINING,
    /* Neither receives nor sends packets. */
    SOAK_TARGET_CRASHED
};

/* Target beside an agent. */
struct SoakTarget {
    struct SoakHarness *harness;
    struct SoakProcess *agent;
    enum SoakTargetState state;
    uint32_t service;
    int fd;
    struct event *readable;
    /* Number of the start; part of the key of the entry in the store. */
    uint32_t incarnation;
    /* Another writer has overwritten the entry in the store. */
    bool is_entry_spoiled;
    /* Crashed incarnation whose entry is still in the store; 0 if none. */
    uint32_t crashed_incarnation;
    uint64_t sequence_number;
    /* When the store accepted the draining state, and when the target was
     * stopped. */
    int64_t draining_since_ms;
    int64_t stopped_ms;
    /* struct SoakTargetFlow by key. */
    GHashTable *flows;
};

struct SoakRoute {
    uint16_t port;
    uint32_t service;
    bool is_listed;
    /* When the store accepted the last change and the one before, and the
     * version of the last one. */
    int64_t changed_ms;
    int64_t previous_changed_ms;
    uint64_t changed_version;
};

/* Test environment of the processes under test. */
struct SoakHarness {
    struct event_base *base;
    /* Separate generators for traffic and for faults, so that the faults of
     * a seed do not depend on how the system reacts. */
    GRand *traffic_random;
    GRand *fault_random;
    struct SoakInvariants invariants;
    struct SoakStore store;
    struct GbProcessGroup group;
    struct SoakProcess balancers[SOAK_BALANCERS];
    struct SoakProcess agents[SOAK_AGENTS_MAX];
    struct SoakTarget targets[SOAK_AGENTS_MAX];
    struct SoakRoute routes[SOAK_ROUTES_MAX];
    uint32_t service_ipv4;
    uint64_t routes_version;
    uint32_t timeout_ms;
    /* Time for which a flow may be idle. */
    uint32_t idle_limit_ms;
    enum SoakSeeds seeds;
    uint16_t packet_port;
    uint16_t readiness_port;
    uint16_t control_port;
    uint16_t target_port;
    uint16_t outbound_port;
    uint16_t peer_port;
    /* struct SoakSyn by flow, of all flows whose clients are not done. */
    GHashTable *syns;
    /* Index plus one of the target that executed a request, by request id. */
    GHashTable *target_by_request;
};

/* Kind of the addresses at which no process runs. */
#define SOAK_STALE_IPS 3

/* Formats the loopback address of a balancer (kind 0), agent (1), client (2)
 * or process that is gone (SOAK_STALE_IPS) in the address block of this run.
 */
void SoakHarness_FormatIp(uint32_t kind, uint32_t index,
                          char ip[SOAK_IP_BYTES]);

/* Returns a non-blocking UDP socket bound to the address, or -1 if the port is
 * in use. */
int SoakHarness_BindSocket(const char *ip, uint16_t port);

void SoakHarness_SendDatagram(int fd, const char *ip, uint16_t port,
                              const uint8_t *bytes, size_t size_bytes);

/* Writes the listed routes to the store, under a new version. */
void SoakHarness_PublishRoutes(struct SoakHarness *self);

/* Return a random number less than below. */
uint32_t SoakHarness_TrafficRandom(struct SoakHarness *self, uint32_t below);

uint32_t SoakHarness_FaultRandom(struct SoakHarness *self, uint32_t below);

#endif
