#include "support/sim_network.h"

#include <inttypes.h>
#include <string.h>

#include "protocol/envelope.h"
#include "protocol/message_codec.h"

#define PERCENT 100
/* One-way delay, with jitter so that datagrams overtake each other. */
#define DELAY_US 1000
#define JITTER_US 300

struct DeliveryEvent {
    struct GbSimEvent super;
    struct GbSimNetwork *network;
    struct GbAddress from;
    struct GbAddress to;
    uint32_t size_bytes;
    uint8_t data[];
};

static void
delivery_event_run(struct GbSimEvent *event)
{
    struct DeliveryEvent *self = (struct DeliveryEvent *)event;
    struct GbSimNode *node = GbSimNetwork_FindNode(self->network, &self->to);
    struct GbBytes datagram = {self->data, self->size_bytes};

    if (node != NULL) {
        node->klass->receive(node, &self->from, datagram);
    }
}

static void
delivery_event_free(struct GbSimEvent *event)
{
    g_free(event);
}

static const struct GbSimEventClass delivery_event_class = {
    .run = delivery_event_run,
    .free = delivery_event_free,
};

static bool
name_matches(const char *pattern, const char *name)
{
    return pattern[0] == '\0' || strcmp(pattern, name) == 0;
}

static bool
decode_datagram(const struct GbSimNetwork *self, struct GbBytes datagram,
                struct GbMessage *message)
{
    struct GbEnvelope envelope;

    if (GbEnvelope_IsEnvelope(datagram.data, datagram.size_bytes)) {
        if (GbEnvelope_Decode(&envelope, self->keys, datagram.data,
                              datagram.size_bytes) != GB_PROTOCOL_OK) {
            return false;
        }
        datagram = envelope.inner;
    }
    return GbMessageCodec_Decode(message, self->keys, datagram.data,
                                 datagram.size_bytes) == GB_PROTOCOL_OK;
}

static bool
rule_applies(struct GbSimNetwork *self, struct GbSimFaultRule *rule,
             const char *from, const char *to, struct GbBytes datagram)
{
    struct GbMessage message;

    if (!name_matches(rule->from, from) || !name_matches(rule->to, to)) {
        return false;
    }
    if (rule->kind != 0 && (!decode_datagram(self, datagram, &message) ||
                            message.kind != rule->kind)) {
        return false;
    }
    return rule->percent >= PERCENT ||
           GbRandom_Below(self->random, PERCENT) < rule->percent;
}

static void
trace_datagram(struct GbSimNetwork *self, const char *action, const char *from,
               const char *to, struct GbBytes datagram)
{
    if (self->trace == NULL) {
        return;
    }
    g_string_append_printf(self->trace, "%9.3f ms %s %s>%s ",
                           (double)*self->now_us / 1000, action, from, to);
    GbSimNetwork_Describe(self, datagram, self->trace);
    g_string_append_c(self->trace, '\n');
}

static void
schedule_delivery(struct GbSimNetwork *self, const struct GbAddress *from,
                  const struct GbAddress *to, struct GbBytes datagram,
                  int64_t delay_us)
{
    struct DeliveryEvent *delivery =
        g_malloc(sizeof(struct DeliveryEvent) + datagram.size_bytes);

    delivery->super.klass = &delivery_event_class;
    delivery->network = self;
    delivery->from = *from;
    delivery->to = *to;
    delivery->size_bytes = datagram.size_bytes;
    memcpy(delivery->data, datagram.data, datagram.size_bytes);
    GbSimEventQueue_Push(self->events, &delivery->super,
                         *self->now_us + delay_us);
}

void
GbSimNetwork_Init(struct GbSimNetwork *self, struct GbSimEventQueue *events,
                  struct GbRandom *random, const struct GbKeys *keys,
                  const int64_t *now_us)
{
    self->events = events;
    self->random = random;
    self->keys = keys;
    self->now_us = now_us;
    self->nodes = g_ptr_array_new();
    self->rules = g_array_new(FALSE, FALSE, sizeof(struct GbSimFaultRule));
    self->trace = NULL;
}

void
GbSimNetwork_Finish(struct GbSimNetwork *self)
{
    g_ptr_array_free(self->nodes, TRUE);
    g_array_free(self->rules, TRUE);
}

struct GbSimNode *
GbSimNetwork_FindNode(const struct GbSimNetwork *self,
                      const struct GbAddress *address)
{
    for (guint i = 0; i < self->nodes->len; i++) {
        struct GbSimNode *node = self->nodes->pdata[i];

        if (GbAddress_Equal(&node->address, address)) {
            return node;
        }
    }
    return NULL;
}

bool
GbSimNetwork_IsCut(const struct GbSimNetwork *self, const char *from,
                   const char *to)
{
    for (guint i = 0; i < self->rules->len; i++) {
        const struct GbSimFaultRule *rule =
            &g_array_index(self->rules, struct GbSimFaultRule, i);

        if (rule->fault == GB_SIM_CUT && name_matches(rule->from, from) &&
            name_matches(rule->to, to)) {
            return true;
        }
    }
    return false;
}

void
GbSimNetwork_AddRule(struct GbSimNetwork *self,
                     const struct GbSimFaultRule *rule)
{
    g_array_append_val(self->rules, *rule);
}

void
GbSimNetwork_Heal(struct GbSimNetwork *self, const char *from, const char *to)
{
    for (guint i = self->rules->len; i-- > 0;) {
        const struct GbSimFaultRule *rule =
            &g_array_index(self->rules, struct GbSimFaultRule, i);

        if (name_matches(from, rule->from) && name_matches(to, rule->to)) {
            g_array_remove_index(self->rules, i);
        }
    }
}

void
GbSimNetwork_Send(struct GbSimNetwork *self, struct GbSimNode *from,
                  const struct GbAddress *to, struct GbBytes header,
                  struct GbBytes body)
{
    uint8_t buffer[GB_ENVELOPE_BYTES_MAX];
    struct GbBytes datagram = {buffer, header.size_bytes + body.size_bytes};
    const struct GbSimNode *node = GbSimNetwork_FindNode(self, to);
    const char *to_name = node != NULL ? node->name : "unknown";
    int64_t delay_us = DELAY_US + GbRandom_Below(self->random, JITTER_US);

    g_assert_cmpuint(datagram.size_bytes, <=, sizeof(buffer));
    if (header.size_bytes > 0) {
        memcpy(buffer, header.data, header.size_bytes);
    }
    memcpy(buffer + header.size_bytes, body.data, body.size_bytes);
    for (guint i = 0; i < self->rules->len; i++) {
        struct GbSimFaultRule *rule =
            &g_array_index(self->rules, struct GbSimFaultRule, i);

        if (!rule_applies(self, rule, from->name, to_name, datagram)) {
            continue;
        }
        switch (rule->fault) {
        case GB_SIM_CUT:
        case GB_SIM_DROP:
            delay_us = -1;
            break;
        case GB_SIM_DUPLICATE:
            schedule_delivery(self, &from->address, to, datagram,
                              DELAY_US + rule->delay_us);
            break;
        case GB_SIM_DELAY:
            delay_us += rule->delay_us;
            break;
        case GB_SIM_REORDER:
            delay_us +=
                GbRandom_Below(self->random, (uint32_t)rule->delay_us + 1);
            break;
        }
        if (rule->remaining_count > 0 && --rule->remaining_count == 0) {
            g_array_remove_index(self->rules, i--);
        }
        if (delay_us < 0) {
            trace_datagram(self, "lost", from->name, to_name, datagram);
            return;
        }
    }
    trace_datagram(self, "send", from->name, to_name, datagram);
    schedule_delivery(self, &from->address, to, datagram, delay_us);
}

uint64_t
GbSimNetwork_FlowId(const struct GbSimNetwork *self, struct GbBytes datagram)
{
    struct GbMessage message;

    return decode_datagram(self, datagram, &message) ? message.flow_id : 0;
}

void
GbSimNetwork_Describe(const struct GbSimNetwork *self, struct GbBytes datagram,
                      GString *line)
{
    struct GbMessage message;

    if (!decode_datagram(self, datagram, &message)) {
        g_string_append(line, "MALFORMED");
        return;
    }
    g_string_append_printf(
        line, "%s service=%u flow=%04x request=%u attempt=%u token=%d",
        GbMessage_KindName(message.kind), message.service_id,
        (unsigned)(message.flow_id & 0xffff), message.request_id,
        message.attempt, message.has_token);
    switch (message.kind) {
    case GB_MESSAGE_FETCH:
        g_string_append_printf(
            line, " acknowledged=%" PRIu64 " offset=%" PRIu64 " length=%u",
            message.fetch.acknowledged, message.fetch.offset,
            message.fetch.length_bytes);
        break;
    case GB_MESSAGE_DATA:
        g_string_append_printf(line, " offset=%" PRIu64 " size=%u",
                               message.data.offset,
                               message.data.bytes.size_bytes);
        break;
    case GB_MESSAGE_NOT_RUN:
        g_string_append_printf(line, " reason=%s",
                               GbMessage_NotRunName(message.not_run));
        break;
    case GB_MESSAGE_UNKNOWN:
        g_string_append_printf(line, " reason=%s",
                               GbMessage_UnknownName(message.unknown));
        break;
    default:
        break;
    }
}
