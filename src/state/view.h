#ifndef GB_STATE_VIEW_H
#define GB_STATE_VIEW_H

#include "state/document.h"
#include "state/instance_list.h"

/* Live agents of one service, as candidates for new flows. */
struct GbCandidates {
    uint64_t service_id;
    /* Pointers into the view's instance list. */
    const struct GbInstance **instances;
    uint32_t count;
};

/* Snapshot of the document in force and the instance list. Immutable once
 * built; shared between tasks by reference count. */
struct GbView {
    int32_t reference_count;
    struct GbDocument *document;
    struct GbInstanceList *list;
    /* One entry for each service of the document, sorted by service id. */
    struct GbCandidates *candidates;
    uint32_t candidates_count;
};

/* Builds a view with one reference. The view holds its own references to
 * document and list. */
struct GbView *GbView_New(struct GbDocument *document,
                          struct GbInstanceList *list);

struct GbView *GbView_Ref(struct GbView *self);

/* Drops a reference; the last one frees the view. self may be NULL. */
void GbView_Unref(struct GbView *self);

/* Returns the live agents of a service; NULL if the document has no such
 * service. */
const struct GbCandidates *GbView_Candidates(const struct GbView *self,
                                             uint32_t service_id);

#endif
