#include "world.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_SECOND 1000
#define NS_PER_MS 1000000
#define BUFFER_BYTES (1024 * 1024)
#define PORT_FIRST 20000
#define PORT_RANGE 8000
#define PORT_TRIES 50
#define PORT_SPREAD 16
/* Work of a request at a host. */
#define WORK_MS 15

struct World world;

static int64_t
monotonic_ms(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (int64_t)time.tv_sec * MS_PER_SECOND + time.tv_nsec / NS_PER_MS;
}

int64_t
now_ms(void)
{
    return monotonic_ms() - world.start_ms;
}

void
record_line(const char *format, ...)
{
    int64_t now = now_ms();
    va_list arguments;

    fprintf(world.record, "%4d.%03d ", (int)(now / MS_PER_SECOND),
            (int)(now % MS_PER_SECOND));
    va_start(arguments, format);
    vfprintf(world.record, format, arguments);
    va_end(arguments);
    fputc('\n', world.record);
    fflush(world.record);
}

void
cannot_run(const char *reason)
{
    fprintf(stderr, "the case could not run: %s\n", reason);
    if (world.record != NULL) {
        record_line("the case could not run: %s", reason);
    }
    nodes_kill_all();
    if (world.directory[0] != '\0') {
        world_remove_directory();
    }
    exit(2);
}

const char *
ip_text(uint32_t ipv4, char buffer[INET_ADDRSTRLEN])
{
    struct in_addr in = {.s_addr = htonl(ipv4)};

    return inet_ntop(AF_INET, &in, buffer, INET_ADDRSTRLEN);
}

uint32_t
address_of(unsigned host_part)
{
    return world.network + host_part;
}

static struct sockaddr_in
make_address(uint32_t ipv4, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_addr.s_addr = htonl(ipv4);
    address.sin_port = htons(port);
    return address;
}

static bool
is_port_free(uint16_t port, int type)
{
    struct sockaddr_in address = make_address(INADDR_ANY, port);
    int fd = socket(AF_INET, type, 0);
    bool is_free =
        fd >= 0 && bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;

    if (fd >= 0) {
        close(fd);
    }
    return is_free;
}

static uint16_t
find_ports(void)
{
    for (int attempt = 0; attempt < PORT_TRIES; attempt++) {
        uint16_t first = (uint16_t)(PORT_FIRST + random_32() % PORT_RANGE);
        bool is_free = true;

        for (uint16_t i = 0; is_free && i < PORT_SPREAD; i++) {
            is_free = is_port_free(first + i, SOCK_DGRAM) &&
                      is_port_free(first + i, SOCK_STREAM);
        }
        if (is_free) {
            return first;
        }
    }
    cannot_run("no free ports");
}

void
world_init(const char *directory, bool has_trouble)
{
    uint16_t port;
    char path[PATH_BYTES];

    world.start_ms = monotonic_ms();
    srandom((unsigned)(world.start_ms * 31 + getpid()));
    snprintf(path, sizeof(path), "%s/record.txt", directory);
    world.record = fopen(path, "w");
    if (world.record == NULL) {
        fprintf(stderr, "cannot write %s\n", path);
        exit(2);
    }
    snprintf(world.directory, sizeof(world.directory),
             "/tmp/guavabend-review-XXXXXX");
    if (mkdtemp(world.directory) == NULL) {
        cannot_run("no temporary folder");
    }
    /* A network of its own inside 127.0.0.0/8 for each run. */
    world.network = (127U << 24) | ((20 + random_32() % 200) << 16) |
                    ((1 + random_32() % 250) << 8);
    port = find_ports();
    world.packet_port = port++;
    world.outbound_port = port++;
    world.target_port = port++;
    world.readiness_port = port++;
    world.control_port = port++;
    world.store_port = port++;
    world.peer_port = port;
    world.sum_key = random_32();
    world.idle_timeout_ms = 15000;
    world.work_ms = WORK_MS;
    world.has_trouble = has_trouble;
}

uint32_t
random_32(void)
{
    return (uint32_t)random() << 16 ^ (uint32_t)random();
}

int
open_udp(uint32_t ipv4, uint16_t port)
{
    struct sockaddr_in address = make_address(ipv4, port);
    int buffer_bytes = BUFFER_BYTES;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0 ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        cannot_run("cannot bind a datagram socket");
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    return fd;
}

void
send_udp(int fd, uint32_t ipv4, uint16_t port, const void *data,
         size_t size_bytes)
{
    struct sockaddr_in address = make_address(ipv4, port);

    /* Errors are lost datagrams. */
    (void)sendto(fd, data, size_bytes, 0, (struct sockaddr *)&address,
                 sizeof(address));
}

static void
write_32(uint8_t *at, uint32_t value)
{
    value = htonl(value);
    memcpy(at, &value, sizeof(value));
}

static void
write_16(uint8_t *at, uint16_t value)
{
    value = htons(value);
    memcpy(at, &value, sizeof(value));
}

static uint32_t
read_32(const uint8_t *at)
{
    uint32_t value;

    memcpy(&value, at, sizeof(value));
    return ntohl(value);
}

static uint16_t
read_16(const uint8_t *at)
{
    uint16_t value;

    memcpy(&value, at, sizeof(value));
    return ntohs(value);
}

void
encode_packet(struct Packet *packet, uint8_t out[HEADER_BYTES + 1200])
{
    write_32(out, packet->sequence);
    write_32(out + 4, packet->acknowledgement);
    write_32(out + 8, packet->source);
    write_16(out + 12, packet->source_port);
    write_32(out + 14, packet->destination);
    write_16(out + 18, packet->destination_port);
    out[20] = packet->flags;
    out[21] = packet->pad;
    write_16(out + 22, packet->length);
    write_32(out + 24, packet->sum);
    write_32(out + 28, packet->echo);
    memcpy(out + HEADER_BYTES, packet->data, packet->length);
}

/* FNV-1a over the key and all that the sum covers. */
static uint32_t
compute_sum(const struct Packet *packet)
{
    uint8_t bytes[HEADER_BYTES + 1200];
    struct Packet copy = *packet;
    uint32_t sum = 2166136261U ^ world.sum_key;

    copy.pad = 0;
    copy.echo = 0;
    copy.sum = world.sum_key;
    copy.flags &= (uint8_t)~FLAG_BOUNCED;
    encode_packet(&copy, bytes);
    for (size_t i = 0; i < HEADER_BYTES + (size_t)packet->length; i++) {
        sum = (sum ^ bytes[i]) * 16777619U;
    }
    return sum != 0 ? sum : 1;
}

void
sign_packet(struct Packet *packet)
{
    packet->sum = compute_sum(packet);
}

bool
has_valid_sum(const struct Packet *packet)
{
    return packet->sum == compute_sum(packet);
}

bool
decode_packet(struct Packet *packet, const uint8_t *data, size_t size_bytes)
{
    if (size_bytes < HEADER_BYTES || size_bytes > HEADER_BYTES + 1200) {
        return false;
    }
    packet->sequence = read_32(data);
    packet->acknowledgement = read_32(data + 4);
    packet->source = read_32(data + 8);
    packet->source_port = read_16(data + 12);
    packet->destination = read_32(data + 14);
    packet->destination_port = read_16(data + 18);
    packet->flags = data[20];
    packet->pad = data[21];
    packet->length = read_16(data + 22);
    packet->sum = read_32(data + 24);
    packet->echo = read_32(data + 28);
    if (packet->length != size_bytes - HEADER_BYTES) {
        return false;
    }
    memcpy(packet->data, data + HEADER_BYTES, packet->length);
    return true;
}

bool
key_equal(const struct FlowKey *a, const struct FlowKey *b)
{
    return a->client_ipv4 == b->client_ipv4 &&
           a->client_port == b->client_port &&
           a->route_ipv4 == b->route_ipv4 && a->route_port == b->route_port;
}

void
world_remove_directory(void)
{
    static const char *const suffixes[] = {"json", "log"};
    char path[2 * PATH_BYTES];

    if (getenv("KEEP_LOGS") != NULL) {
        fprintf(stderr, "settings and logs are kept in %s\n", world.directory);
        return;
    }
    for (unsigned i = 0; i < node_count; i++) {
        for (int at = 0; at < 2; at++) {
            snprintf(path, sizeof(path), "%s/%s.%s", world.directory,
                     nodes[i].name, suffixes[at]);
            unlink(path);
        }
    }
    rmdir(world.directory);
}
