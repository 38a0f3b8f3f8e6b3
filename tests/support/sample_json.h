#ifndef GB_TESTS_SUPPORT_SAMPLE_JSON_H
#define GB_TESTS_SUPPORT_SAMPLE_JSON_H

#include <glib.h>
#include <stdint.h>

/* JSON text of an environment document with this number of services and three
 * operations each. The caller frees it. */
GString *sample_environment_json(uint64_t revision, uint32_t services);

/* JSON text of an instance list of agents, distributed evenly over the
 * services. The caller frees it. */
GString *sample_instances_json(uint64_t version, uint32_t services,
                               uint32_t instances);

#endif
