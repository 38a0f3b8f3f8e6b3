#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "lab.h"

/* The machines of a small deployment: balancers and, beside each host, an
 * agent. Each machine has a loopback address, and all have the same ports. */

#define FLEET_BALANCERS_MAX 8
#define FLEET_AGENTS_MAX 8

struct FleetPorts {
    uint16_t packets;
    uint16_t ready;
    uint16_t control;
    uint16_t outbound;
    uint16_t app;
    uint16_t first_peer;
};

struct FleetMachine {
    struct LabProcess process;
    char ip[LAB_IP_BYTES];
    const char *zone;
    /* Agents only. */
    const char *service;
    bool is_wanted;
    /* When an ended process is started again; 0 if it runs. */
    int64_t restart_ms;
    /* Readiness as the routers see it; balancers only. */
    bool is_in_rotation;
    int missed_checks;
    int64_t next_check_ms;
};

struct Fleet {
    struct FleetPorts ports;
    struct FleetMachine balancers[FLEET_BALANCERS_MAX];
    int balancer_count;
    /* The first balancers are named as seeds. */
    int seed_count;
    struct FleetMachine agents[FLEET_AGENTS_MAX];
    int agent_count;
};

/* Chooses free ports. Machines are added after that. */
void Fleet_Init(struct Fleet *fleet);

void Fleet_AddBalancer(struct Fleet *fleet, const char *zone);

void Fleet_AddAgent(struct Fleet *fleet, const char *zone,
                    const char *service);

/* Writes the settings and starts all processes. Processes that end are started
 * again. */
void Fleet_Start(struct Fleet *fleet);

/* Waits until the routers have all balancers in rotation. Fails the case after
 * 10 s. */
void Fleet_WaitUntilReady(struct Fleet *fleet);

/* Returns the balancer to which the routers forward a packet of a client in
 * the zone, by a hash over the nodes that are in rotation. */
const struct FleetMachine *Fleet_Route(const struct Fleet *fleet,
                                       const char *zone, uint32_t hash);

#endif
