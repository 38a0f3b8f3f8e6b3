#ifndef GB_TRANSPORT_TCP_LISTENER_H
#define GB_TRANSPORT_TCP_LISTENER_H

#include <event2/listener.h>

#include "state/address.h"
#include "state/error_text.h"

/* Listens on a TCP address; port 0 takes any free port. callback may be NULL
 * if a later owner sets it. The address is bound without a name lookup, which
 * would read system files and list network interfaces. Returns NULL and sets
 * the error text if the address cannot be bound. */
struct evconnlistener *GbTcpListener_New(struct event_base *base,
                                         const struct GbAddress *address,
                                         evconnlistener_cb callback,
                                         void *context,
                                         struct GbErrorText *error);

/* Returns the port that a listener is bound to. */
uint16_t GbTcpListener_Port(struct evconnlistener *listener);

#endif
