#ifndef GB_TESTS_SUPPORT_MEMORY_USAGE_H
#define GB_TESTS_SUPPORT_MEMORY_USAGE_H

#include <stdint.h>

/* Size of the heap in use, over all arenas. */
int64_t memory_heap_bytes(void);

/* Resident set size of the process. */
int64_t memory_resident_bytes(void);

#endif
