#ifndef GB_TESTS_SUPPORT_STANDIN_SERVER_H
#define GB_TESTS_SUPPORT_STANDIN_SERVER_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>

#include "state/address.h"

/* Listens on an address and prints "port=PORT", by which the starter of a
 * stand-in learns a port that the system has chosen. Prints an error and
 * returns false if the address cannot be bound. */
bool standin_server_listen(struct evhttp *http, struct event_base *base,
                           const struct GbAddress *address,
                           const char *program);

/* Returns an event that ends the loop at SIGTERM. The caller frees it. */
struct event *standin_server_stop_on_term(struct event_base *base);

#endif
