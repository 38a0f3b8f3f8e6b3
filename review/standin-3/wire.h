#ifndef STANDIN_WIRE_H
#define STANDIN_WIRE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Packet of the users' platform: a head of 32 bytes, then up to 1,200 bytes
 * of data. */
#define HEAD_BYTES 32
#define DATA_BYTES_MAX 1200
#define PACKET_BYTES_MAX (HEAD_BYTES + DATA_BYTES_MAX)

#define FLAG_BOUNCED 1
#define FLAG_SYN 2
#define FLAG_FIN 4
#define FLAG_ACK 16
#define FLAG_RST 128

/* The two ends of a flow, in host byte order. */
struct FlowKey {
    uint32_t client_ip;
    uint32_t route_ip;
    uint16_t client_port;
    uint16_t route_port;
};

struct Packet {
    struct FlowKey key;
    uint32_t seq;
    uint32_t ack;
    uint8_t flags;
    uint16_t data_bytes;
    uint32_t sum;
    uint32_t echo;
};

bool FlowKey_Equal(const struct FlowKey *a, const struct FlowKey *b);

/* Writes a packet into a buffer of PACKET_BYTES_MAX bytes and returns its
 * size. The data is all zero. */
size_t Packet_Write(const struct Packet *packet, bool is_from_client,
                    uint8_t *buffer);

/* Reads a packet. Returns false if its length is wrong. */
bool Packet_Read(struct Packet *packet, bool is_from_client,
                 const uint8_t *buffer, size_t size_bytes);

/* Opens a nonblocking datagram socket. Returns -1 if that fails. */
int Udp_Open(const char *ip, uint16_t port);

void Udp_Send(int fd, uint32_t ip, uint16_t port, const uint8_t *data,
              size_t size_bytes);

uint32_t Ip_Parse(const char *text);

int64_t Clock_Ms(void);

#endif
