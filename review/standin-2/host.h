#ifndef REVIEW_HOST_H
#define REVIEW_HOST_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "packet.h"

/* Stand-in for a host and its entries in the store. */

#define HOST_FLOWS_MAX 4096

struct HostFlow {
    bool is_used;
    /* The host has the end of the handshake. */
    bool is_open;
    bool has_ended;
    uint32_t client;
    uint16_t client_port;
    uint32_t service;
    uint16_t service_port;
    uint32_t own_sequence;
    uint32_t next_sequence;
    /* Bytes of the responses before the last one, and of the last one. */
    uint32_t sent_bytes;
    uint32_t response_bytes;
    char request_id[32];
    int64_t work_ms;
    bool is_kept;
    bool is_waiting;
    bool is_running;
    int64_t done_ms;
    bool is_answered;
    int64_t retransmit_ms;
    int64_t retransmit_delay_ms;
    int retransmissions;
};

struct Host {
    struct Fleet *fleet;
    const struct FleetMachine *machine;
    char id[32];
    const char *service;
    int slots;
    bool is_draining;
    /* The host answers no SYN packet earlier than this after it arrived. */
    int64_t syn_delay_ms;
    int fd;
    int64_t started_ms;
    int sequence_number;
    int64_t next_beat_ms;
    uint32_t next_own_sequence;
    struct HostFlow flows[HOST_FLOWS_MAX];
    int runs;
};

/* Called for each request that begins to run at a host. */
typedef void (*HostRunListener)(const struct Host *host,
                                const struct HostFlow *flow, void *context);

void Host_SetRunListener(HostRunListener listener, void *context);

/* Starts the host beside the machine of an agent, and registers it. */
void Host_Start(struct Host *host, struct Fleet *fleet, int agent, int slots);

/* Reports to the store that the host is draining. */
void Host_Drain(struct Host *host);

/* Returns the open flow of a client at this host, or NULL. */
const struct HostFlow *Host_FindOpen(const struct Host *host, uint32_t client,
                                     uint16_t client_port);

#endif
