#ifndef GB_TESTS_SAMPLE_DOCUMENT_H
#define GB_TESTS_SAMPLE_DOCUMENT_H

#include "state/document.h"

/* Decoded document without services, with one reference. Every byte of its
 * digest is digest, and every byte of its parent is parent. */
struct GbDocument *GbSampleDocument_New(uint64_t revision, uint8_t digest,
                                        uint8_t parent,
                                        int64_t in_force_from_us);

#endif
