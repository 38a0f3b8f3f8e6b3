#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include <poll.h>
#include <stdbool.h>
#include <stdint.h>

#define STORE_POLL_MAX 256

/* Opens the platform's store on a loopback address. Returns false if the port
 * is in use. */
bool Store_Open(const char *ip, uint16_t port);

/* Writes a key, or removes it if the value is NULL. Returns the revision. */
uint64_t Store_Put(const char *key, const char *value);

/* Restores the store from the copy that Store_Copy has made: the keys and the
 * revision of then, and the next era. */
void Store_Copy(void);
void Store_Restore(void);

/* While the store is down, it accepts connections and never answers. */
void Store_SetDown(bool is_down);

/* Adds the sockets to poll and returns their number. */
int Store_Poll(struct pollfd *fds);

void Store_Handle(const struct pollfd *fds, int count);

/* Answers the watches whose time is over. */
void Store_Tick(void);

#endif
