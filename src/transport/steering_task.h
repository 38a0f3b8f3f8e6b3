#ifndef GB_TRANSPORT_STEERING_TASK_H
#define GB_TRANSPORT_STEERING_TASK_H

#include "coordination/flows/steering.h"
#include "transport/packet_task.h"

/* Packet task of a balancer. */
struct GbSteeringTask {
    struct GbPacketTask super;
    struct GbSteering steering;
    /* Packets are left in the socket. */
    bool is_holding;
};

void GbSteeringTask_Init(struct GbSteeringTask *self,
                         const struct GbPacketTaskConfig *config,
                         const char *data_centre, uint32_t cache_capacity,
                         struct GbClock *clock);

#endif
