#ifndef GB_STATE_RESPONSE_BUFFER_H
#define GB_STATE_RESPONSE_BUFFER_H

#include <stdbool.h>
#include <stdint.h>
#include <xxhash.h>

#include "state/message.h"

/* Bytes of a target's response that an agent buffers at most. */
#define GB_RESPONSE_WINDOW_BYTES (64 * 1024)

/* Sliding window over the response of a target. Bytes are appended as the
 * target sends them and dropped as the caller acknowledges them. */
struct GbResponseBuffer {
    /* Ring buffer of capacity_bytes, a power of two; grows up to
     * GB_RESPONSE_WINDOW_BYTES. */
    uint8_t *ring;
    uint32_t capacity_bytes;
    /* Range of the response that the ring buffer holds, as offsets. */
    uint64_t begin;
    uint64_t end;
    bool is_complete;
    uint16_t target_status;
    /* XXH64 of the whole response; valid once it is complete. */
    uint64_t digest;
    XXH64_state_t *hash;
};

void GbResponseBuffer_Init(struct GbResponseBuffer *self);

void GbResponseBuffer_Finish(struct GbResponseBuffer *self);

/* Bytes that can still be appended. */
uint32_t GbResponseBuffer_FreeBytes(const struct GbResponseBuffer *self);

/* Appends bytes of the target. Returns false and appends nothing if they
 * exceed the free bytes. */
bool GbResponseBuffer_Append(struct GbResponseBuffer *self,
                             struct GbBytes bytes);

/* Marks the response as complete, which sets its total and its digest. */
void GbResponseBuffer_Complete(struct GbResponseBuffer *self);

/* Drops the bytes below offset, which is limited to the end. Returns the
 * number of bytes dropped. */
uint32_t GbResponseBuffer_Acknowledge(struct GbResponseBuffer *self,
                                      uint64_t offset);

/* Copies up to length_bytes from offset. Returns the number of bytes copied;
 * 0 if the window does not hold the offset. */
uint32_t GbResponseBuffer_Read(const struct GbResponseBuffer *self,
                               uint64_t offset, uint32_t length_bytes,
                               uint8_t *buffer);

/* Total length in bytes, or GB_TOTAL_UNKNOWN until the response is
 * complete. */
uint64_t GbResponseBuffer_Total(const struct GbResponseBuffer *self);

#endif
