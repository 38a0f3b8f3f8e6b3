#include "support/malformed_datagrams.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "protocol/envelope.h"
#include "protocol/message_codec.h"
#include "state/random.h"

#define SEED 20260131
#define DATAGRAM_BYTES_MAX 2000
#define CHANGES_MAX 4
/* Number of datagrams before a pause, in which the receiver can read most of
 * them. */
#define BATCH_DATAGRAMS 64
#define BATCH_PAUSE_US 1000

enum DatagramType { TYPE_RANDOM, TYPE_MESSAGE, TYPE_ENVELOPE, TYPE_END };

static uint32_t
generate_random(struct GbRandom *random, uint8_t *data)
{
    uint32_t size_bytes = GbRandom_Below(random, DATAGRAM_BYTES_MAX);

    for (uint32_t i = 0; i < size_bytes; i++) {
        data[i] = (uint8_t)GbRandom_Next(random);
    }
    return size_bytes;
}

static uint32_t
generate_message(struct GbRandom *random, uint32_t service_id, uint8_t *data)
{
    static const uint8_t payload[] = "stray";
    struct GbMessage message = {0};

    message.kind = 1 + GbRandom_Below(random, GB_MESSAGE_KIND_END - 1);
    message.service_id = service_id;
    message.flow_id = GbRandom_Next(random);
    message.request_id = 1;
    message.has_token = GbRandom_Below(random, 2) == 0;
    if (message.kind == GB_MESSAGE_CALL) {
        message.call.operation_id = 2;
        message.call.body.data = payload;
        message.call.body.size_bytes = sizeof(payload) - 1;
    }
    return GbMessageCodec_Encode(&message, NULL, data, GB_DATAGRAM_BYTES_MAX);
}

static uint32_t
generate_envelope(struct GbRandom *random, uint32_t service_id, uint8_t *data)
{
    struct GbEnvelope envelope = {0};
    uint32_t header_bytes;

    envelope.kind = GbRandom_Below(random, 2) == 0 ? GB_ENVELOPE_TO_AGENT
                                                   : GB_ENVELOPE_TO_BALANCER;
    envelope.path.caller.ipv4 = INADDR_LOOPBACK;
    envelope.path.tag = GbRandom_Next(random);
    envelope.inner.data = data;
    header_bytes = GbEnvelope_EncodeHeader(&envelope, data);
    return header_bytes +
           generate_message(random, service_id, data + header_bytes);
}

/* Changes bytes of a datagram or truncates it. Returns the new size. */
static uint32_t
corrupt_datagram(struct GbRandom *random, uint8_t *data, uint32_t size_bytes)
{
    uint32_t changes = GbRandom_Below(random, CHANGES_MAX);

    if (size_bytes == 0) {
        return 0;
    }
    for (uint32_t i = 0; i < changes; i++) {
        data[GbRandom_Below(random, size_bytes)] =
            (uint8_t)GbRandom_Next(random);
    }
    return changes == 0 ? GbRandom_Below(random, size_bytes) : size_bytes;
}

void
GbMalformedDatagrams_Send(const struct GbAddress *to, uint32_t service_id,
                          uint32_t count)
{
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    struct GbSeededRandom random;
    struct sockaddr_in receiver = {0};
    uint8_t data[DATAGRAM_BYTES_MAX + GB_ENVELOPE_HEADER_BYTES];

    g_assert_cmpint(fd, >=, 0);
    receiver.sin_family = AF_INET;
    receiver.sin_addr.s_addr = htonl(to->ipv4);
    receiver.sin_port = htons(to->port);
    GbSeededRandom_Init(&random, SEED);
    for (uint32_t i = 0; i < count; i++) {
        enum DatagramType type = GbRandom_Below(&random.super, TYPE_END);
        uint32_t size_bytes;

        if (type == TYPE_RANDOM) {
            size_bytes = generate_random(&random.super, data);
        }
        else {
            size_bytes =
                type == TYPE_MESSAGE
                    ? generate_message(&random.super, service_id, data)
                    : generate_envelope(&random.super, service_id, data);
            size_bytes = corrupt_datagram(&random.super, data, size_bytes);
        }
        sendto(fd, data, size_bytes, 0, (struct sockaddr *)&receiver,
               sizeof(receiver));
        if (i % BATCH_DATAGRAMS == BATCH_DATAGRAMS - 1) {
            g_usleep(BATCH_PAUSE_US);
        }
    }
    close(fd);
}
