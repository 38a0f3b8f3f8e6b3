#include "wire.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define SOCKET_BUFFER_BYTES (1024 * 1024)
#define MS_PER_SECOND 1000
#define NS_PER_MS 1000000

/* Offsets of the fields in the head. */
#define AT_SEQ 0
#define AT_ACK 4
#define AT_SRC 8
#define AT_DST 14
#define AT_FLAGS 20
#define AT_LEN 22
#define AT_SUM 24
#define AT_ECHO 28

static void
put_32(uint8_t *at, uint32_t value)
{
    uint32_t wire = htonl(value);

    memcpy(at, &wire, sizeof(wire));
}

static void
put_16(uint8_t *at, uint16_t value)
{
    uint16_t wire = htons(value);

    memcpy(at, &wire, sizeof(wire));
}

static uint32_t
get_32(const uint8_t *at)
{
    uint32_t wire;

    memcpy(&wire, at, sizeof(wire));
    return ntohl(wire);
}

static uint16_t
get_16(const uint8_t *at)
{
    uint16_t wire;

    memcpy(&wire, at, sizeof(wire));
    return ntohs(wire);
}

/* The key of the real sum is not disclosed. Any sum but 0 tells a packet of an
 * end from a reset of the system. */
static uint32_t
checksum(const struct Packet *packet)
{
    return (packet->seq * 31 + packet->ack * 17 + packet->flags) | 1;
}

bool
FlowKey_Equal(const struct FlowKey *a, const struct FlowKey *b)
{
    return a->client_ip == b->client_ip && a->route_ip == b->route_ip &&
           a->client_port == b->client_port && a->route_port == b->route_port;
}

size_t
Packet_Write(const struct Packet *packet, bool is_from_client, uint8_t *buffer)
{
    const struct FlowKey *key = &packet->key;
    int client = is_from_client ? AT_SRC : AT_DST;
    int route = is_from_client ? AT_DST : AT_SRC;

    memset(buffer, 0, HEAD_BYTES + packet->data_bytes);
    put_32(buffer + AT_SEQ, packet->seq);
    put_32(buffer + AT_ACK, packet->ack);
    put_32(buffer + client, key->client_ip);
    put_16(buffer + client + 4, key->client_port);
    put_32(buffer + route, key->route_ip);
    put_16(buffer + route + 4, key->route_port);
    buffer[AT_FLAGS] = packet->flags;
    put_16(buffer + AT_LEN, packet->data_bytes);
    put_32(buffer + AT_SUM, checksum(packet));
    return (size_t)HEAD_BYTES + packet->data_bytes;
}

bool
Packet_Read(struct Packet *packet, bool is_from_client, const uint8_t *buffer,
            size_t size_bytes)
{
    int client = is_from_client ? AT_SRC : AT_DST;
    int route = is_from_client ? AT_DST : AT_SRC;

    if (size_bytes < HEAD_BYTES ||
        get_16(buffer + AT_LEN) != size_bytes - HEAD_BYTES) {
        return false;
    }
    packet->seq = get_32(buffer + AT_SEQ);
    packet->ack = get_32(buffer + AT_ACK);
    packet->key.client_ip = get_32(buffer + client);
    packet->key.client_port = get_16(buffer + client + 4);
    packet->key.route_ip = get_32(buffer + route);
    packet->key.route_port = get_16(buffer + route + 4);
    packet->flags = buffer[AT_FLAGS];
    packet->data_bytes = get_16(buffer + AT_LEN);
    packet->sum = get_32(buffer + AT_SUM);
    packet->echo = get_32(buffer + AT_ECHO);
    return true;
}

int
Udp_Open(const char *ip, uint16_t port)
{
    static const int buffer_bytes = SOCKET_BUFFER_BYTES;
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(Ip_Parse(ip));
    address.sin_port = htons(port);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

void
Udp_Send(int fd, uint32_t ip, uint16_t port, const uint8_t *data,
         size_t size_bytes)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_addr.s_addr = htonl(ip);
    address.sin_port = htons(port);
    /* A datagram that cannot be sent is lost. */
    (void)sendto(fd, data, size_bytes, 0, (struct sockaddr *)&address,
                 sizeof(address));
}

uint32_t
Ip_Parse(const char *text)
{
    struct in_addr in = {0};

    (void)inet_pton(AF_INET, text, &in);
    return ntohl(in.s_addr);
}

int64_t
Clock_Ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * MS_PER_SECOND + now.tv_nsec / NS_PER_MS;
}
