#ifndef GB_TESTS_SUPPORT_DESK_CLUSTER_H
#define GB_TESTS_SUPPORT_DESK_CLUSTER_H

#include "support/cluster.h"

#define DESK_SERVICE "desk"
#define DESK_HOSTS 3
#define DESK_BALANCERS 3

/* Three balancers and one pool of three hosts. Deadlines are short, and a pack
 * takes about two seconds. */
extern const struct GbTestClusterConfig desk_cluster;

#endif
