#ifndef GB_STATE_STORE_POSITION_H
#define GB_STATE_STORE_POSITION_H

#include <stdint.h>

/* Position in the history of the platform's store: its era in the upper bits,
 * and the revision in that era below. A store that is restored from a copy
 * starts a new era, in which revisions may repeat, so that only positions
 * order changes. A store without eras has era 0, and its positions are its
 * revisions. */
#define GB_STORE_REVISION_BITS 48
#define GB_STORE_REVISION_MAX ((UINT64_C(1) << GB_STORE_REVISION_BITS) - 1)
#define GB_STORE_ERA_MAX UINT64_C(0xffff)

static inline uint64_t
GbStorePosition_Make(uint64_t era, uint64_t revision)
{
    return era << GB_STORE_REVISION_BITS | revision;
}

static inline uint64_t
GbStorePosition_Era(uint64_t position)
{
    return position >> GB_STORE_REVISION_BITS;
}

static inline uint64_t
GbStorePosition_Revision(uint64_t position)
{
    return position & GB_STORE_REVISION_MAX;
}

#endif
