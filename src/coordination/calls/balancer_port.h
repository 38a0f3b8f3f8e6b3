#ifndef GB_COORDINATION_CALLS_BALANCER_PORT_H
#define GB_COORDINATION_CALLS_BALANCER_PORT_H

#include <stdint.h>

struct GbBalancerPort;

/* Notifications from one data task to the others of its process. */
struct GbBalancerPortClass {
    /* Notifies the other data tasks that an instance has replied. */
    void (*notify_reply)(struct GbBalancerPort *self, uint64_t instance_id);
};

struct GbBalancerPort {
    const struct GbBalancerPortClass *klass;
};

#endif
