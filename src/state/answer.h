#ifndef GB_STATE_ANSWER_H
#define GB_STATE_ANSWER_H

#include <stdbool.h>
#include <stdint.h>
#include <xxhash.h>

#include "state/message.h"

/* Bytes of a target's answer that an agent holds at once. */
#define GB_ANSWER_WINDOW_BYTES (64 * 1024)

/* Window over the answer of a target. Bytes enter at the end as the target
 * sends them and leave at the start as the caller acknowledges them. */
struct GbAnswer {
    /* Ring of capacity_bytes, a power of two; grows up to the window. */
    uint8_t *ring;
    uint32_t capacity_bytes;
    /* Offsets in the answer of what the ring holds. */
    uint64_t begin;
    uint64_t end;
    bool is_complete;
    uint16_t target_status;
    uint64_t digest;
    XXH64_state_t *hash;
};

void GbAnswer_Init(struct GbAnswer *self);

void GbAnswer_Finish(struct GbAnswer *self);

/* Bytes that the window still takes. */
uint32_t GbAnswer_Room(const struct GbAnswer *self);

/* Adds bytes of the target. Returns false and takes none if they exceed the
 * room. */
bool GbAnswer_Append(struct GbAnswer *self, struct GbBytes bytes);

/* The target has finished: the total and the digest are known from now on. */
void GbAnswer_Complete(struct GbAnswer *self);

/* Drops what lies below offset. Returns the number of bytes dropped. An
 * offset beyond the end is taken as the end. */
uint32_t GbAnswer_Acknowledge(struct GbAnswer *self, uint64_t offset);

/* Copies up to length_bytes from offset. Returns the number of bytes copied;
 * 0 if the window does not hold the offset. */
uint32_t GbAnswer_Read(const struct GbAnswer *self, uint64_t offset,
                       uint32_t length_bytes, uint8_t *buffer);

/* Total length, or GB_TOTAL_UNKNOWN while the target has not finished. */
uint64_t GbAnswer_Total(const struct GbAnswer *self);

#endif
