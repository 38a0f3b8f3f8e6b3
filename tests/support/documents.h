#ifndef GB_TESTS_SUPPORT_DOCUMENTS_H
#define GB_TESTS_SUPPORT_DOCUMENTS_H

#include <glib.h>
#include <stdint.h>

/* JSON text of an environment document of this many services, with three
 * operations each. */
GString *documents_environment(uint64_t revision, uint32_t services);

/* JSON text of an instance list of agents, spread over services. */
GString *documents_instances(uint64_t version, uint32_t services,
                             uint32_t instances);

#endif
