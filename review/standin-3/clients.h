#ifndef STANDIN_CLIENTS_H
#define STANDIN_CLIENTS_H

#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire.h"

#define CLIENTS_MAX 64

/* port is that of the balancers and of the clients. */
void Clients_Init(uint16_t port, int deadline_ms);

/* Sets the balancers in rotation. The routers hash by "mod". */
void Clients_SetBalancers(char *const *ips, int count);

/* Opens a flow and sends a request on it. */
void Clients_Open(const char *client_ip, uint16_t port, const char *route_ip,
                  uint16_t route_port);

/* Opens a flow every so often, each with one request; 0 ends that. */
void Clients_SetTraffic(int pause_ms, const char *route_ip,
                        uint16_t route_port);

/* Sends a request on each open flow of a route; 0 stands for all routes. */
void Clients_Request(uint16_t route_port);

/* The hosts tell what reaches them. */
void Clients_RecordSyn(const struct FlowKey *key, const char *host);
void Clients_RecordOwner(const struct FlowKey *key, const char *host);
void Clients_RecordRun(const struct FlowKey *key, const char *host);
void Clients_RecordArrival(const struct Packet *packet, const char *host);

/* Forgets what has arrived so far, before the requests that are judged. */
void Clients_Mark(void);

/* Returns the number of flows that break the rule FLOW since the mark. */
int Clients_CountBroken(int slack_ms);

/* Returns the number of flows since the mark that were opened at a host whose
 * id begins so. */
int Clients_CountOpenedAt(const char *prefix);

/* Returns the number of open flows, and that of the requests without a
 * response. */
int Clients_CountOpen(void);
int Clients_CountUnanswered(void);

int Clients_Poll(struct pollfd *fds);

void Clients_Handle(const struct pollfd *fds, int count);

void Clients_Tick(void);

#endif
