#ifndef GB_COORDINATION_CALLS_FETCH_WINDOW_H
#define GB_COORDINATION_CALLS_FETCH_WINDOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/message.h"
#include "state/request.h"

/* As many as an agent lets wait, so that none is dropped there. */
#define GB_FETCHES_MAX GB_PENDING_FETCHES_MAX

/* Range that was asked for and has not arrived. */
struct GbFetch {
    uint64_t offset;
    uint32_t length_bytes;
    uint32_t tries;
    int64_t repeat_us;
};

/* Caller's side of the transfer of one answer: what has arrived, which ranges
 * are asked for, and how many may be at once. */
struct GbFetchWindow {
    GByteArray *bytes;
    uint64_t max_bytes;
    uint64_t next_offset;
    uint64_t total;
    uint64_t digest;
    struct GbFetch fetches[GB_FETCHES_MAX];
    uint32_t count;
    uint32_t limit;
};

/* Starts with the first range counted as asked for, because agents send it
 * unasked. */
void GbFetchWindow_Init(struct GbFetchWindow *self, uint64_t max_bytes,
                        int64_t repeat_us);

void GbFetchWindow_Finish(struct GbFetchWindow *self);

/* Takes a range that has arrived. Returns true if it was new. */
bool GbFetchWindow_Take(struct GbFetchWindow *self,
                        const struct GbDataFields *data);

/* Next range to ask for, which then counts as asked for; NULL if the window
 * is full or everything was asked for. */
struct GbFetch *GbFetchWindow_Next(struct GbFetchWindow *self);

/* Next range whose time to ask again has come. NULL if there is none. */
struct GbFetch *GbFetchWindow_Due(struct GbFetchWindow *self, int64_t now_us);

/* A range was lost: fewer are asked for at once. */
void GbFetchWindow_Shrink(struct GbFetchWindow *self);

/* Everything below has arrived. */
uint64_t GbFetchWindow_Acknowledged(const struct GbFetchWindow *self);

int64_t GbFetchWindow_NextTimerUs(const struct GbFetchWindow *self);

bool GbFetchWindow_IsComplete(const struct GbFetchWindow *self);

/* Whether the complete answer has the digest that the agent gave. */
bool GbFetchWindow_IsGenuine(const struct GbFetchWindow *self);

#endif
