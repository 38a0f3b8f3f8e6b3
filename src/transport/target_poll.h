#ifndef GB_TRANSPORT_TARGET_POLL_H
#define GB_TRANSPORT_TARGET_POLL_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdint.h>

#include "coordination/calls/target_state.h"
#include "state/address.h"
#include "state/clock.h"
#include "state/random.h"

struct GbTargetPollListener;

/* Receives the result of each poll. */
struct GbTargetPollListenerClass {
    /* slots is 0 if the load endpoint did not report a valid number. */
    void (*polled)(struct GbTargetPollListener *self,
                   enum GbTargetHealth health, uint32_t slots);
};

struct GbTargetPollListener {
    const struct GbTargetPollListenerClass *klass;
};

enum GbTargetPollStep { GB_POLL_IDLE, GB_POLL_HEALTH, GB_POLL_LOAD };

/* Polls the target about once a second: reads its health endpoint and then its
 * load endpoint. */
struct GbTargetPoll {
    struct event_base *base;
    struct GbAddress target;
    struct GbClock *clock;
    struct GbRandom *random;
    struct GbTargetPollListener *listener;
    enum GbTargetPollStep step;
    int64_t next_poll_us;
    struct evhttp_connection *connection;
    /* Finishes a step, on timeout or when activated by a callback of the
     * connection, which must not free the connection itself. */
    struct event *step_end_event;
    enum GbTargetHealth health;
    uint32_t slots;
};

/* All arguments must outlive self. */
void GbTargetPoll_Init(struct GbTargetPoll *self, struct event_base *base,
                       const struct GbAddress *target, struct GbClock *clock,
                       struct GbRandom *random,
                       struct GbTargetPollListener *listener);

void GbTargetPoll_Finish(struct GbTargetPoll *self);

/* Time at which GbTargetPoll_Tick must be called next; GB_TIMER_NEVER during a
 * poll. */
int64_t GbTargetPoll_NextTimerUs(const struct GbTargetPoll *self);

/* Starts a poll if one is due. */
void GbTargetPoll_Tick(struct GbTargetPoll *self);

#endif
