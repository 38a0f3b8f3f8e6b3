#ifndef GB_TESTS_SUPPORT_LOAD_DATAGRAMS_H
#define GB_TESTS_SUPPORT_LOAD_DATAGRAMS_H

#include "protocol/keys.h"
#include "support/load.h"

/* What a balancer is sent. */
enum LoadKind {
    /* FETCH with a token. */
    LOAD_BOUND,
    /* CALL with a token and the largest body. */
    LOAD_BOUND_LARGE,
    /* CALL without a token and an empty body. */
    LOAD_UNBOUND,
    /* CALL without a token and with the largest body. */
    LOAD_UNBOUND_LARGE,
    /* ACCEPTED from an agent. */
    LOAD_ANSWER,
    /* Inner datagram of 1,200 bytes from an agent. */
    LOAD_ANSWER_LARGE,
    LOAD_KIND_END
};

extern const char *const load_kind_names[LOAD_KIND_END];

/* Fills datagrams of distinct flows of service 1. Tokens name agent, answers
 * go to caller. first_flow is the id of the first one. */
void load_datagrams_fill(struct LoadDatagrams *self, enum LoadKind kind,
                         const struct GbKeys *keys,
                         const struct GbAddress *peer, uint64_t first_flow);

#endif
