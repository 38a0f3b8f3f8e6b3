#ifndef GB_STATE_VIEW_VERSION_H
#define GB_STATE_VIEW_VERSION_H

#include <stdbool.h>
#include <stdint.h>

/* Version of a process's view of the platform. Its two parts are read
 * separately, and either may be ahead. */
struct GbViewVersion {
    /* Position of the store up to which all changes of instances and
     * evacuations are included. */
    uint64_t revision;
    uint64_t routes_version;
};

/* Returns true if a is ahead of b in either part. */
static inline bool
GbViewVersion_IsAhead(const struct GbViewVersion *a,
                      const struct GbViewVersion *b)
{
    return a->revision > b->revision || a->routes_version > b->routes_version;
}

#endif
