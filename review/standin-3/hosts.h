#ifndef STANDIN_HOSTS_H
#define STANDIN_HOSTS_H

#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire.h"

#define HOSTS_MAX 32

struct HostPorts {
    uint16_t app;
    uint16_t outbound;
};

void Hosts_Init(const struct HostPorts *ports);

/* Starts a host on the machine with this address and registers it. */
void Hosts_Add(const char *id, const char *ip, const char *service,
               const char *zone);

/* Reports that the host is draining. It serves on. */
void Hosts_Drain(const char *id);

/* Ends the host and removes its entry. */
void Hosts_Remove(const char *id);

/* Ends the host without a word: its entry stays. */
void Hosts_Crash(const char *id);

/* Removes the entry of a host that goes on. */
void Hosts_RemoveEntry(const char *id);

/* Writes the entries of all hosts again. */
void Hosts_WriteEntries(void);

/* Returns how long after its drain the host got a SYN packet last. */
int64_t Hosts_LastSynMs(const char *id);

int Hosts_Poll(struct pollfd *fds);

void Hosts_Handle(const struct pollfd *fds, int count);

/* Repeats responses that were not acknowledged. */
void Hosts_Tick(void);

#endif
