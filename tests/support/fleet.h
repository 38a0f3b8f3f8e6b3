#ifndef GB_TESTS_SUPPORT_FLEET_H
#define GB_TESTS_SUPPORT_FLEET_H

#include "state/view.h"

/* Size of a fleet of agents. */
struct Fleet {
    uint32_t services;
    uint32_t instances;
    /* Port of every instance at 127.0.0.1; 0 assigns consecutive ports from
     * 10000. */
    uint16_t port;
};

/* Builds a view of services 1 to N with names "service-1" to "service-N";
 * instance i ("instance-i", weight 1) belongs to service i modulo N plus 1. */
struct GbView *fleet_view(const struct Fleet *fleet);

/* The document and the instance list of that view, each with one reference. */
struct GbDocument *fleet_document(const struct Fleet *fleet);
struct GbInstanceList *fleet_instance_list(const struct Fleet *fleet);

#endif
