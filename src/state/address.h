#ifndef GB_STATE_ADDRESS_H
#define GB_STATE_ADDRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GB_ADDRESS_TEXT_BYTES 24

/* IPv4 address and port, both in host byte order. */
struct GbAddress {
    uint32_t ipv4;
    uint16_t port;
};

/* Parses "a.b.c.d:port". Returns false and leaves self unchanged if the
 * text is anything else. Port 0, which requests any free port, is accepted. */
bool GbAddress_Parse(struct GbAddress *self, const char *text);

/* Writes "a.b.c.d:port" into buffer and returns buffer. */
const char *GbAddress_Format(const struct GbAddress *self,
                             char buffer[GB_ADDRESS_TEXT_BYTES]);

/* Returns a negative number, 0 or a positive one if a comes before b, is the
 * same, or comes after b. */
int GbAddress_Compare(const struct GbAddress *a, const struct GbAddress *b);

bool GbAddress_Equal(const struct GbAddress *a, const struct GbAddress *b);

#endif
