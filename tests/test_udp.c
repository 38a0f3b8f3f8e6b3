#include "transport/udp.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "support/loopback.h"

#define DATAGRAM_MAX 4096

/* Counts the received datagrams and records the last one. */
struct RecordingListener {
    struct GbUdpListener super;
    uint32_t count;
    size_t last_bytes;
    uint8_t first_byte;
};

static void
record_datagram(struct GbUdpListener *listener, const struct GbAddress *from,
                const uint8_t *data, size_t size_bytes)
{
    struct RecordingListener *self = (struct RecordingListener *)listener;

    (void)from;
    self->count++;
    self->last_bytes = size_bytes;
    self->first_byte = size_bytes > 0 ? data[0] : 0;
}

struct UdpFixture {
    struct event_base *base;
    struct GbCounters counters;
    struct RecordingListener listener;
    struct GbUdp udp;
    struct GbAddress address;
};

static struct UdpFixture *
fixture_new(void)
{
    static const struct GbAddress any_port = {LOOPBACK_IPV4, 0};
    struct UdpFixture *self = g_new0(struct UdpFixture, 1);
    struct GbErrorText error;

    self->base = event_base_new();
    self->listener.super.datagram_received = record_datagram;
    g_assert_cmpint(GbUdp_Open(&self->udp, &any_port, false, self->base,
                               &self->listener.super, &self->counters, &error),
                    ==, GB_TRANSPORT_OK);
    self->address = GbUdp_Address(&self->udp);
    return self;
}

static void
fixture_free(struct UdpFixture *self)
{
    GbUdp_Close(&self->udp);
    event_base_free(self->base);
    g_free(self);
}

struct SendCase {
    const char *name;
    uint32_t header_bytes;
    uint32_t body_bytes;
    uint32_t count;
    bool is_sent;
};

static const struct SendCase send_cases[] = {
    {"body only", 0, 100, 1, true},
    {"header only", 42, 0, 1, true},
    {"header and body", 42, 1200, 1, true},
    {"exactly one batch", 10, 10, GB_UDP_BATCH, true},
    {"more than one batch", 10, 10, GB_UDP_BATCH + 1, true},
    {"several batches", 10, 10, 3 * GB_UDP_BATCH, true},
    {"largest datagram", 48, GB_UDP_BUFFER_BYTES - 48, 1, true},
    {"datagram too large", 48, GB_UDP_BUFFER_BYTES - 47, 1, false},
    {"empty datagram", 0, 0, 1, false},
};

/* Guards against datagrams that are lost or mixed up between batches, and
 * against a dropped datagram that is not counted. */
static void
test_send(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(send_cases); i++) {
        const struct SendCase *row = &send_cases[i];
        struct UdpFixture *fixture = fixture_new();
        uint8_t header[GB_UDP_BUFFER_BYTES];
        uint8_t body[GB_UDP_BUFFER_BYTES];
        uint8_t data[DATAGRAM_MAX];
        int fd = loopback_socket();
        struct GbAddress to = loopback_address(fd);

        g_test_message("%s", row->name);
        for (uint32_t j = 0; j < row->count; j++) {
            struct GbBytes header_bytes = {header, row->header_bytes};
            struct GbBytes body_bytes = {body, row->body_bytes};

            memset(header, (int)j, sizeof(header));
            memset(body, (int)j + 1, sizeof(body));
            fixture->udp.super.klass->send(&fixture->udp.super, &to,
                                           header_bytes, body_bytes);
        }
        GbUdp_Flush(&fixture->udp);
        for (uint32_t j = 0; row->is_sent && j < row->count; j++) {
            g_assert_cmpint(loopback_receive(fd, NULL, data, sizeof(data)), ==,
                            row->header_bytes + row->body_bytes);
            g_assert_cmpuint(data[0], ==, row->header_bytes > 0 ? j : j + 1);
            g_assert_cmpuint(data[row->header_bytes + row->body_bytes - 1], ==,
                             row->body_bytes > 0 ? j + 1 : j);
        }
        g_assert_cmpuint(fixture->counters.values[GB_COUNTER_DATAGRAMS_SENT],
                         ==, row->is_sent ? row->count : 0);
        g_assert_cmpuint(fixture->counters.values[GB_COUNTER_SEND_FAILURES],
                         ==, row->is_sent ? 0 : row->count);
        close(fd);
        fixture_free(fixture);
    }
}

struct ReceiveCase {
    const char *name;
    uint32_t size_bytes;
    uint32_t count;
    /* Size passed to the listener: larger datagrams are truncated. */
    uint32_t expected_bytes;
};

static const struct ReceiveCase receive_cases[] = {
    {"empty datagram", 0, 1, 0},
    {"one byte", 1, 1, 1},
    {"several batches", 100, 100, 100},
    {"full buffer", GB_UDP_BUFFER_BYTES, 1, GB_UDP_BUFFER_BYTES},
    {"larger than the buffer", GB_UDP_BUFFER_BYTES + 1, 1,
     GB_UDP_BUFFER_BYTES},
};

/* Guards against datagrams of a batch that do not reach the listener, and
 * against a reported size that exceeds the buffer. */
static void
test_receive(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(receive_cases); i++) {
        const struct ReceiveCase *row = &receive_cases[i];
        struct UdpFixture *fixture = fixture_new();
        uint8_t data[DATAGRAM_MAX];
        int fd = loopback_socket();

        g_test_message("%s", row->name);
        memset(data, 0x5a, sizeof(data));
        for (uint32_t j = 0; j < row->count; j++) {
            loopback_send(fd, &fixture->address, data, row->size_bytes);
        }
        while (fixture->listener.count < row->count) {
            event_base_loop(fixture->base, EVLOOP_ONCE);
        }
        g_assert_cmpuint(fixture->listener.count, ==, row->count);
        g_assert_cmpuint(fixture->listener.last_bytes, ==,
                         row->expected_bytes);
        g_assert_cmpuint(fixture->listener.first_byte, ==,
                         row->expected_bytes > 0 ? 0x5a : 0);
        g_assert_cmpuint(
            fixture->counters.values[GB_COUNTER_DATAGRAMS_RECEIVED], ==,
            row->count);
        close(fd);
        fixture_free(fixture);
    }
}

struct PauseCase {
    const char *name;
    uint32_t before_count;
    uint32_t paused_count;
};

static const struct PauseCase pause_cases[] = {
    {"nothing arrives", 0, 0},
    {"only while paused", 0, 3},
    {"before and while paused", 2, GB_UDP_BATCH + 1},
};

/* Guards against datagrams that are lost while reading is paused, and against
 * a pause that does not hold them back. */
static void
test_pause(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pause_cases); i++) {
        const struct PauseCase *row = &pause_cases[i];
        struct UdpFixture *fixture = fixture_new();
        uint32_t total = row->before_count + row->paused_count;
        uint8_t byte = 1;
        int fd = loopback_socket();

        g_test_message("%s", row->name);
        for (uint32_t j = 0; j < row->before_count; j++) {
            loopback_send(fd, &fixture->address, &byte, 1);
        }
        while (fixture->listener.count < row->before_count) {
            event_base_loop(fixture->base, EVLOOP_ONCE);
        }
        GbUdp_PauseReading(&fixture->udp);
        for (uint32_t j = 0; j < row->paused_count; j++) {
            loopback_send(fd, &fixture->address, &byte, 1);
        }
        event_base_loop(fixture->base, EVLOOP_NONBLOCK);
        g_assert_cmpuint(fixture->listener.count, ==, row->before_count);
        GbUdp_ResumeReading(&fixture->udp);
        while (fixture->listener.count < total) {
            event_base_loop(fixture->base, EVLOOP_ONCE);
        }
        close(fd);
        fixture_free(fixture);
    }
}

struct SharedPortCase {
    const char *name;
    bool is_first_shared;
    bool is_second_shared;
    bool is_second_opened;
};

static const struct SharedPortCase shared_port_cases[] = {
    {"both shared", true, true, true},
    {"second not shared", true, false, false},
    {"first not shared", false, true, false},
    {"none shared", false, false, false},
};

/* Guards against two processes that receive each other's datagrams because
 * both could bind the same port. */
static void
test_shared_port(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(shared_port_cases); i++) {
        static const struct GbAddress any_port = {LOOPBACK_IPV4, 0};
        const struct SharedPortCase *row = &shared_port_cases[i];
        struct event_base *base = event_base_new();
        struct GbUdp *udps = g_new0(struct GbUdp, 2);
        struct RecordingListener listener = {{record_datagram}, 0, 0, 0};
        struct GbCounters counters;
        struct GbErrorText error = {{0}};
        struct GbAddress address;

        g_test_message("%s", row->name);
        GbCounters_Init(&counters);
        g_assert_cmpint(GbUdp_Open(&udps[0], &any_port, row->is_first_shared,
                                   base, &listener.super, &counters, &error),
                        ==, GB_TRANSPORT_OK);
        address = GbUdp_Address(&udps[0]);
        g_assert_cmpint(GbUdp_Open(&udps[1], &address, row->is_second_shared,
                                   base, &listener.super, &counters, &error),
                        ==,
                        row->is_second_opened ? GB_TRANSPORT_OK
                                              : GB_TRANSPORT_SYSTEM_ERROR);
        if (!row->is_second_opened) {
            g_assert_nonnull(
                strstr(error.text, "cannot open UDP socket on 127.0.0.1"));
        }
        GbUdp_Close(&udps[0]);
        GbUdp_Close(&udps[1]);
        event_base_free(base);
        g_free(udps);
    }
}

struct ReservedPortCase {
    const char *name;
    bool is_reserved;
    enum GbTransportStatus status;
};

static const struct ReservedPortCase reserved_port_cases[] = {
    {"still reserved", true, GB_TRANSPORT_SYSTEM_ERROR},
    {"released", false, GB_TRANSPORT_OK},
};

/* Guards against a start that fails because the port that was chosen for TCP
 * is already in use for UDP. */
static void
test_reserve_port(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reserved_port_cases); i++) {
        const struct ReservedPortCase *row = &reserved_port_cases[i];
        struct GbAddress address = {LOOPBACK_IPV4, 1};
        struct GbUdp *udp = g_new0(struct GbUdp, 1);
        struct event_base *base = event_base_new();
        struct GbErrorText error = {{0}};
        struct GbCounters counters;
        int reserved_fd = GbUdp_ReservePort(&address);

        g_test_message("%s", row->name);
        g_assert_cmpint(reserved_fd, >=, 0);
        g_assert_cmpuint(address.port, >, 1);
        if (!row->is_reserved) {
            close(reserved_fd);
        }
        GbCounters_Init(&counters);
        g_assert_cmpint(
            GbUdp_Open(udp, &address, false, base, NULL, &counters, &error),
            ==, row->status);
        GbUdp_Close(udp);
        if (row->is_reserved) {
            close(reserved_fd);
        }
        event_base_free(base);
        g_free(udp);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/udp/send", test_send);
    g_test_add_func("/udp/receive", test_receive);
    g_test_add_func("/udp/pause", test_pause);
    g_test_add_func("/udp/shared-port", test_shared_port);
    g_test_add_func("/udp/reserve-port", test_reserve_port);
    return g_test_run();
}
