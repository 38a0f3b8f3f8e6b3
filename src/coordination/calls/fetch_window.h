#ifndef GB_COORDINATION_CALLS_FETCH_WINDOW_H
#define GB_COORDINATION_CALLS_FETCH_WINDOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "state/message.h"
#include "state/request.h"

/* As many as an agent keeps pending, so that it drops none. */
#define GB_FETCHES_MAX GB_PENDING_FETCHES_MAX

/* Range that has been requested and has not arrived. */
struct GbFetch {
    uint64_t offset;
    uint32_t length_bytes;
    uint32_t send_count;
    int64_t resend_at_us;
};

/* Caller's side of the transfer of one response: the bytes that have arrived,
 * the outstanding ranges, and the number of ranges that may be outstanding. */
struct GbFetchWindow {
    GByteArray *bytes;
    uint64_t max_bytes;
    uint64_t next_offset;
    uint64_t total;
    uint64_t digest;
    struct GbFetch fetches[GB_FETCHES_MAX];
    uint32_t outstanding_count;
    uint32_t window_size;
};

/* Starts with the first range as outstanding, because agents send it without
 * a FETCH. resend_at_us is the time at which it is fetched if it has not
 * arrived. */
void GbFetchWindow_Init(struct GbFetchWindow *self, uint64_t max_bytes,
                        int64_t resend_at_us);

void GbFetchWindow_Finish(struct GbFetchWindow *self);

/* Adds a range that has arrived. Returns false and ignores it if it is not
 * outstanding or contradicts earlier ranges. */
bool GbFetchWindow_AddRange(struct GbFetchWindow *self,
                            const struct GbDataFields *data);

/* Adds the next range to the outstanding ones and returns it; NULL if the
 * window is full or there is no further range. */
struct GbFetch *GbFetchWindow_AddFetch(struct GbFetchWindow *self);

/* Returns an outstanding range whose resend time has come; NULL if there is
 * none. */
struct GbFetch *GbFetchWindow_FindDue(struct GbFetchWindow *self,
                                      int64_t now_us);

/* Halves the window after the loss of a range, at most down to its initial
 * size. */
void GbFetchWindow_Shrink(struct GbFetchWindow *self);

/* Returns the offset below which all bytes have arrived. */
uint64_t GbFetchWindow_AcknowledgedOffset(const struct GbFetchWindow *self);

int64_t GbFetchWindow_NextTimerUs(const struct GbFetchWindow *self);

bool GbFetchWindow_IsComplete(const struct GbFetchWindow *self);

/* Returns true if the complete response has the digest that the agent sent. */
bool GbFetchWindow_IsDigestValid(const struct GbFetchWindow *self);

#endif
