#ifndef GB_SUPPORT_SIM_EVENTS_H
#define GB_SUPPORT_SIM_EVENTS_H

#include <glib.h>
#include <stdint.h>

#define GB_SIM_NEVER INT64_MAX

struct GbSimEvent;

struct GbSimEventClass {
    void (*run)(struct GbSimEvent *self);
    /* Frees the event, run or not. */
    void (*free)(struct GbSimEvent *self);
};

/* Something that happens at one point in simulated time. */
struct GbSimEvent {
    const struct GbSimEventClass *klass;
    int64_t at_us;
    /* Events of one time happen in the order in which they were added. */
    uint64_t sequence;
};

struct GbSimEvents {
    GSequence *queue;
    uint64_t last_sequence;
};

void GbSimEvents_Init(struct GbSimEvents *self);

void GbSimEvents_Finish(struct GbSimEvents *self);

/* Takes over event. */
void GbSimEvents_Add(struct GbSimEvents *self, struct GbSimEvent *event,
                     int64_t at_us);

/* Time of the next event; GB_SIM_NEVER if there is none. */
int64_t GbSimEvents_NextUs(const struct GbSimEvents *self);

/* Runs and frees the next event. */
void GbSimEvents_RunNext(struct GbSimEvents *self);

#endif
