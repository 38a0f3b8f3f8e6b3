#ifndef REVIEW_CLIENT_H
#define REVIEW_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "packet.h"

/* Stand-in for a client that opens a flow for each request, with the routers
 * between it and the balancers. */

#define CLIENT_FLOWS_MAX 4096

enum ClientFlowState {
    CLIENT_OPENING,
    CLIENT_OPEN,
    CLIENT_ANSWERED,
    /* A reset before the flow was open, or no answer in 1.4 s. */
    CLIENT_NOT_OPENED,
    /* A reset on the open flow. */
    CLIENT_BROKEN,
    CLIENT_GAVE_UP
};

struct ClientFlow {
    uint16_t port;
    uint16_t service_port;
    char request_id[32];
    int work_ms;
    /* How long the flow stays open after it has opened, for more requests; 0
     * if it ends with the response. */
    int64_t keep_ms;
    /* Pause between a response and the next request on such a flow; 0 for a
     * single request. */
    int64_t pause_ms;
    int64_t next_request_ms;
    int requests;
    /* Size of the last request, and the bytes of those before it. */
    uint32_t request_bytes;
    uint32_t sent_bytes;
    bool is_answered;
    int64_t deadline_ms;
    enum ClientFlowState state;
    /* The balancer to which all packets are sent; NULL for the routers'
     * choice. */
    const struct FleetMachine *direct;
    uint32_t sequence;
    uint32_t acknowledgement;
    int copies;
    int64_t started_ms;
    int64_t opened_ms;
    int64_t retransmit_ms;
    int64_t retransmit_delay_ms;
    bool is_request_acknowledged;
    /* Balancer that got the last packet. */
    const struct FleetMachine *balancer;
};

struct Client {
    struct Fleet *fleet;
    const char *zone;
    char ip[LAB_IP_BYTES];
    uint32_t ipv4;
    int fd;
    struct ClientFlow flows[CLIENT_FLOWS_MAX];
    int flow_count;
};

/* Called when a flow gets a reset that is one by the pages: without data, with
 * the sum 0, and near the last acknowledgement if the flow is open. */
typedef void (*ClientResetListener)(const struct Client *client,
                                    const struct ClientFlow *flow,
                                    void *context);

void Client_SetResetListener(ClientResetListener listener, void *context);

/* All packets to routes have this address as their destination. */
#define CLIENT_SERVICE_IP "127.0.9.1"

void Client_Open(struct Client *client, struct Fleet *fleet, int number,
                 const char *zone);

/* Opens a flow for a request. */
struct ClientFlow *Client_Send(struct Client *client, uint16_t service_port,
                               int work_ms, const struct FleetMachine *direct);

/* Returns the flow of a request, or NULL. */
const struct ClientFlow *Client_Find(const struct Client *client,
                                     const char *request_id);

/* Returns the number of flows in a state. */
int Client_Count(const struct Client *client, enum ClientFlowState state);

#endif
