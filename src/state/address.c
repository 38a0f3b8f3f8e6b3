#include "state/address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

bool
GbAddress_Parse(struct GbAddress *self, const char *text)
{
    char host[GB_ADDRESS_TEXT_BYTES];
    const char *colon = strchr(text, ':');
    struct in_addr in;
    char *end;
    unsigned long port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    if (inet_pton(AF_INET, host, &in) != 1) {
        return false;
    }
    if (colon[1] < '0' || colon[1] > '9') {
        return false;
    }
    errno = 0;
    port = strtoul(colon + 1, &end, 10);
    if (errno != 0 || *end != '\0' || port > PORT_MAX) {
        return false;
    }
    self->ipv4 = ntohl(in.s_addr);
    self->port = (uint16_t)port;
    return true;
}

const char *
GbAddress_Format(const struct GbAddress *self,
                 char buffer[GB_ADDRESS_TEXT_BYTES])
{
    snprintf(buffer, GB_ADDRESS_TEXT_BYTES, "%u.%u.%u.%u:%u",
             (unsigned)(self->ipv4 >> 24), (unsigned)(self->ipv4 >> 16) & 255,
             (unsigned)(self->ipv4 >> 8) & 255, (unsigned)self->ipv4 & 255,
             (unsigned)self->port);
    return buffer;
}

int
GbAddress_Compare(const struct GbAddress *a, const struct GbAddress *b)
{
    if (a->ipv4 != b->ipv4) {
        return a->ipv4 < b->ipv4 ? -1 : 1;
    }
    return (a->port > b->port) - (a->port < b->port);
}

bool
GbAddress_Equal(const struct GbAddress *a, const struct GbAddress *b)
{
    return a->ipv4 == b->ipv4 && a->port == b->port;
}
