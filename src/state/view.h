#ifndef GB_STATE_VIEW_H
#define GB_STATE_VIEW_H

#include "state/document.h"
#include "state/instance_list.h"

/* Live agents of one service, as candidates for new flows. */
struct GbCandidates {
    uint32_t service_id;
    /* Pointers into the view's instance list. */
    const struct GbInstance **instances;
    uint32_t count;
};

/* Document in force and instance list, joined. Immutable once built; shared
 * between tasks by reference count. */
struct GbView {
    int32_t reference_count;
    struct GbDocument *document;
    struct GbInstanceList *list;
    struct GbCandidates *candidates;
    uint32_t candidates_count;
};

/* Builds a view with one reference. It takes its own references of document
 * and list. */
struct GbView *GbView_New(struct GbDocument *document,
                          struct GbInstanceList *list);

struct GbView *GbView_Ref(struct GbView *self);

/* Drops a reference; the last one frees the view. self may be NULL. */
void GbView_Unref(struct GbView *self);

/* Live agents of a service; NULL if the document has no such service. */
const struct GbCandidates *GbView_Candidates(const struct GbView *self,
                                             uint32_t service_id);

#endif
