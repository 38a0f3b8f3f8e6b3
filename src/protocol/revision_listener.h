#ifndef GB_PROTOCOL_REVISION_LISTENER_H
#define GB_PROTOCOL_REVISION_LISTENER_H

#include "state/message.h"

struct GbRevisionListener;

/* Receives the document revisions that other processes announce. */
struct GbRevisionListenerClass {
    void (*received)(struct GbRevisionListener *self,
                     const struct GbAddress *from,
                     const struct GbRevision *revision);
};

struct GbRevisionListener {
    const struct GbRevisionListenerClass *klass;
};

#endif
