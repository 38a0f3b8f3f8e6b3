#ifndef GB_TESTS_SOAK_PACKET_H
#define GB_TESTS_SOAK_PACKET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SOAK_HEAD_BYTES 32
#define SOAK_PACKET_BYTES_MAX 64

#define SOAK_BOUNCED 1
#define SOAK_SYN 2
#define SOAK_FIN 4
#define SOAK_ACK 16
#define SOAK_RST 128

/* Flow as clients and targets name it, in host byte order. */
struct SoakFlowName {
    uint32_t client_ipv4;
    uint32_t service_ipv4;
    uint16_t client_port;
    uint16_t service_port;
};

/* Packet of a client or a target. Its data is the number of a request. */
struct SoakPacket {
    struct SoakFlowName flow;
    bool is_from_client;
    uint8_t flags;
    uint32_t sequence;
    uint32_t acknowledgement;
    bool has_request;
    uint32_t request_id;
};

/* Writes a packet and returns its size. */
size_t SoakPacket_Write(const struct SoakPacket *self,
                        uint8_t bytes[SOAK_PACKET_BYTES_MAX]);

/* Reads a packet that came for a client or a target. Returns false if it is
 * malformed, or if its bytes are not those that its sender wrote. */
bool SoakPacket_Read(struct SoakPacket *self, bool is_from_client,
                     const uint8_t *bytes, size_t size_bytes);

bool SoakFlowName_Equal(const struct SoakFlowName *a,
                        const struct SoakFlowName *b);

uint32_t SoakFlowName_Hash(const struct SoakFlowName *self);

/* Empty table by flow name, which the values hold; they are freed with
 * free_value. */
GHashTable *SoakFlowName_NewTable(GDestroyNotify free_value);

#endif
