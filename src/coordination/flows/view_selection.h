#ifndef GB_COORDINATION_FLOWS_VIEW_SELECTION_H
#define GB_COORDINATION_FLOWS_VIEW_SELECTION_H

#include "coordination/flows/view_store.h"

/* Selects the instances of a view: of several entries at one IPv4 address, the
 * one that represents it. Removed entries that it supersedes are not used
 * again. An entry of another writer, beside that of an instance which has been
 * drained since, is not used until it is written again. Returns a list with
 * one reference. */
struct GbInstanceList *GbViewSelection_Apply(struct GbViewStore *store);

#endif
