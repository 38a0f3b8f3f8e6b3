#include "support/sample_document.h"

#include <string.h>

struct GbDocument *
GbSampleDocument_New(uint64_t revision, uint8_t digest, uint8_t parent,
                     int64_t in_force_from_us)
{
    struct GbDocument *document = GbDocument_New();

    document->revision = revision;
    memset(document->digest, digest, GB_DIGEST_BYTES);
    memset(document->parent, parent, GB_DIGEST_BYTES);
    memcpy(document->requested_by, "tester", sizeof("tester"));
    document->in_force_from_us = in_force_from_us;
    return document;
}
