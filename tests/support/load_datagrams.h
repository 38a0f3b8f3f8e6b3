#ifndef GB_TESTS_SUPPORT_LOAD_DATAGRAMS_H
#define GB_TESTS_SUPPORT_LOAD_DATAGRAMS_H

#include "protocol/keys.h"
#include "support/load_generator.h"

/* Kind of a datagram that is sent to a balancer. */
enum LoadDatagramKind {
    /* FETCH with a token. */
    LOAD_BOUND,
    /* CALL with a token and the largest body. */
    LOAD_BOUND_LARGE,
    /* CALL without a token and an empty body. */
    LOAD_UNBOUND,
    /* CALL without a token and with the largest body. */
    LOAD_UNBOUND_LARGE,
    /* ACCEPTED from an agent. */
    LOAD_REPLY,
    /* Inner datagram of 1,200 bytes from an agent. */
    LOAD_REPLY_LARGE,
    LOAD_DATAGRAM_KIND_END
};

extern const char *const load_datagram_kind_names[LOAD_DATAGRAM_KIND_END];

/* Fills self with datagrams of distinct flows of service 1; first_flow is the
 * id of the first one. peer is the agent that tokens name or, for datagrams
 * from an agent, the caller that they are for. */
void load_datagrams_fill(struct LoadDatagrams *self,
                         enum LoadDatagramKind kind, const struct GbKeys *keys,
                         const struct GbAddress *peer, uint64_t first_flow);

#endif
