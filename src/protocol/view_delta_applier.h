#ifndef GB_PROTOCOL_VIEW_DELTA_APPLIER_H
#define GB_PROTOCOL_VIEW_DELTA_APPLIER_H

#include "protocol/view_delta_reader.h"

/* Applies a decoded delta to a store. Routes that are a difference are
 * replaced by whole ones in delta, or left out if they do not fit. */
void GbViewDeltaApplier_Apply(struct GbViewStore *store,
                              struct GbViewDeltaReader *delta);

#endif
