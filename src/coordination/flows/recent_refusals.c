#include "coordination/flows/recent_refusals.h"

#include <string.h>

/* A round trip to the client, and a short delay at the client. */
#define RETRY_WINDOW_US INT64_C(60000)

static bool
is_match(const struct GbRecentRefusal *refusal, const struct GbFlowKey *key,
         int64_t now_us)
{
    return refusal->is_unmatched &&
           now_us - refusal->refused_us <= RETRY_WINDOW_US &&
           refusal->client_ipv4 == key->client_ipv4 &&
           refusal->service_ipv4 == key->service_ipv4 &&
           refusal->service_port == key->service_port;
}

void
GbRecentRefusals_Init(struct GbRecentRefusals *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbRecentRefusals_Add(struct GbRecentRefusals *self,
                     const struct GbFlowKey *key, int64_t first_attempt_us,
                     int64_t now_us)
{
    struct GbRecentRefusal *refusal = &self->items[self->next];

    self->next = (self->next + 1) % GB_RECENT_REFUSALS_MAX;
    refusal->client_ipv4 = key->client_ipv4;
    refusal->service_ipv4 = key->service_ipv4;
    refusal->service_port = key->service_port;
    refusal->is_unmatched = true;
    refusal->refused_us = now_us;
    refusal->first_attempt_us = first_attempt_us;
}

int64_t
GbRecentRefusals_Match(struct GbRecentRefusals *self,
                       const struct GbFlowKey *key, int64_t now_us)
{
    struct GbRecentRefusal *oldest = NULL;

    for (uint32_t i = 0; i < GB_RECENT_REFUSALS_MAX; i++) {
        struct GbRecentRefusal *refusal = &self->items[i];

        if (is_match(refusal, key, now_us) &&
            (oldest == NULL || refusal->refused_us < oldest->refused_us)) {
            oldest = refusal;
        }
    }
    if (oldest == NULL) {
        return now_us;
    }
    oldest->is_unmatched = false;
    return oldest->first_attempt_us;
}
