#include "support/flow_pool_events.h"

/* Bytes of all packets in events. They are never read, and the sender's buffer
 * may be freed before the packet arrives. */
static uint8_t packet_bytes[GB_POOL_SIM_PACKET_BYTES];

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    int64_t x = ((const struct GbPoolEvent *)a)->due_ms;
    int64_t y = ((const struct GbPoolEvent *)b)->due_ms;

    (void)data;
    return (x > y) - (x < y);
}

struct GbPoolEvent *
GbPoolEvent_Add(struct GbPoolSim *sim, enum GbPoolEventKind kind,
                int64_t after_ms)
{
    struct GbPoolEvent *event = g_new0(struct GbPoolEvent, 1);

    event->kind = kind;
    event->due_ms = sim->now_ms + after_ms;
    g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
    return event;
}

void
GbPoolEvent_AddRequest(struct GbPoolSim *sim, enum GbPoolEventKind kind,
                       int64_t after_ms, struct GbPoolRequest *request)
{
    struct GbPoolEvent *event = GbPoolEvent_Add(sim, kind, after_ms);

    event->request = request;
    event->attempt = request->attempt;
    request->references++;
}

void
GbPoolEvent_AddPacket(struct GbPoolSim *sim, enum GbPoolEventKind kind,
                      uint32_t member, uint32_t from_ipv4,
                      const struct GbPacket *packet)
{
    struct GbPoolEvent *event =
        GbPoolEvent_Add(sim, kind, GB_POOL_SIM_ONE_WAY_DELAY_MS);

    event->member = member;
    event->from_ipv4 = from_ipv4;
    event->packet = *packet;
    event->packet.bytes = packet_bytes;
    event->packet.size_bytes = sizeof(packet_bytes);
}
