#ifndef GB_COORDINATION_CALLS_BALANCER_PORT_H
#define GB_COORDINATION_CALLS_BALANCER_PORT_H

#include <stdint.h>

struct GbBalancerPort;

/* What the decisions of one data task cause in the others of its process. */
struct GbBalancerPortClass {
    /* Tells the other data tasks that an instance has answered. */
    void (*answered)(struct GbBalancerPort *self, uint64_t instance_id);
};

struct GbBalancerPort {
    const struct GbBalancerPortClass *klass;
};

#endif
