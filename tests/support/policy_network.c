#include "support/policy_network.h"

#include <string.h>

#define BUFFER_BYTES 64
#define SAME_CENTRE_US 100
#define JITTER_US 100
#define CALLER_DELAY_US 3000

/* Datagram on its way. */
struct Datagram {
    struct Event super;
    struct GbMessage message;
    struct GbReturnPath path;
    /* Where it goes: a host, or a caller. NULL: the host that is least loaded
     * on arrival. */
    struct Host *host;
    struct CallerHost *caller;
    uint8_t buffer[BUFFER_BYTES];
};

static struct GbBytes *
bytes_of(struct GbMessage *message)
{
    switch (message->kind) {
    case GB_MESSAGE_CALL:
        return &message->call.body;
    case GB_MESSAGE_HANDOVER:
        return &message->handover.call.body;
    case GB_MESSAGE_DATA:
        return &message->data.bytes;
    default:
        return NULL;
    }
}

static struct Datagram *
new_datagram(const struct GbMessage *message)
{
    struct Datagram *self = g_new0(struct Datagram, 1);
    struct GbBytes *bytes;

    self->message = *message;
    bytes = bytes_of(&self->message);
    if (bytes != NULL && bytes->size_bytes > 0) {
        g_assert_cmpuint(bytes->size_bytes, <=, BUFFER_BYTES);
        memcpy(self->buffer, bytes->data, bytes->size_bytes);
    }
    if (bytes != NULL) {
        bytes->data = self->buffer;
    }
    return self;
}

static int64_t
delay_us(struct PolicyFleet *fleet, uint32_t from, uint32_t to)
{
    uint32_t centres = fleet->scenario->data_centres;
    int64_t base_us = from % centres == to % centres
                          ? SAME_CENTRE_US
                          : fleet->scenario->delay_us;

    return base_us + GbRandom_Below(&fleet->random.super, JITTER_US);
}

static struct Host *
host_at(struct PolicyFleet *fleet, const struct GbAddress *address)
{
    return &fleet->hosts[address->ipv4 - AGENTS_NETWORK];
}

/* Least loaded host now; a random one of several. */
static struct Host *
least_loaded(struct PolicyFleet *fleet)
{
    struct Host *best = NULL;
    struct GbLoad best_load = {0};
    uint32_t ties = 0;

    for (uint32_t i = 0; i < fleet->scenario->hosts; i++) {
        struct GbLoad load = GbAgent_Load(&fleet->hosts[i].agent);
        int order = best != NULL ? GbLoad_Compare(&load, &best_load) : -1;

        ties = order < 0 ? 1 : ties + (order == 0);
        if (order < 0 ||
            (order == 0 && GbRandom_Below(&fleet->random.super, ties) == 0)) {
            best = &fleet->hosts[i];
            best_load = load;
        }
    }
    return best;
}

static void
arrive_at_host(struct Event *event, void *context)
{
    struct Datagram *datagram = (struct Datagram *)event;
    struct Host *host = datagram->host;

    if (host == NULL) {
        host = least_loaded(context);
    }
    if (datagram->message.kind >= GB_MESSAGE_ALIVE) {
        struct GbAddress from = datagram->message.token.agent;

        GbAgent_ReceiveFromMember(&host->agent, &from, &datagram->message);
    }
    else {
        GbAgent_Receive(&host->agent, &datagram->path, &datagram->message);
    }
    policy_fleet_arm(host);
}

static void
arrive_at_caller(struct Event *event, void *context)
{
    struct Datagram *datagram = (struct Datagram *)event;

    (void)context;
    GbCaller_Receive(&datagram->caller->caller, &datagram->message);
    policy_fleet_arm_caller(datagram->caller);
}

/* Host of an unbound CALL; NULL for the one that is least loaded on arrival.
 */
static struct Host *
route_unbound(struct PolicyFleet *fleet, const struct GbMessage *message)
{
    uint32_t count = fleet->scenario->hosts;
    struct Host *a =
        &fleet->hosts[GbRandom_Below(&fleet->random.super, count)];
    struct Host *b;
    struct GbAddress address;

    switch (fleet->policy) {
    case POLICY_RENDEZVOUS:
    case POLICY_HANDOVER:
        g_assert_cmpint(GbBalancer_Route(&fleet->balancer, message, &address),
                        ==, GB_COORDINATION_OK);
        return host_at(fleet, &address);
    case POLICY_TWO_CHOICES:
    case POLICY_TWO_CHOICES_UNCAPPED:
        do {
            b = &fleet->hosts[GbRandom_Below(&fleet->random.super, count)];
        } while (a == b);
        return GbLoad_Compare(&a->reported, &b->reported) <= 0 ? a : b;
    case POLICY_WEIGHTED_RANDOM:
        /* All weights are equal here. */
        return a;
    case POLICY_OMNISCIENT:
    case POLICY_END:
        break;
    }
    return NULL;
}

static void
arrive_at_balancer(struct Event *event, void *context)
{
    struct Datagram *datagram = (struct Datagram *)event;
    struct PolicyFleet *fleet = context;
    struct Datagram *forwarded;
    uint32_t to;

    if (datagram->caller != NULL) {
        GbBalancer_RecordResponse(&fleet->balancer,
                                  datagram->message.token.instance_id);
        forwarded = new_datagram(&datagram->message);
        forwarded->super.run = arrive_at_caller;
        forwarded->caller = datagram->caller;
        policy_fleet_post(fleet, &forwarded->super, CALLER_DELAY_US);
        return;
    }
    forwarded = new_datagram(&datagram->message);
    forwarded->super.run = arrive_at_host;
    forwarded->path = datagram->path;
    if (datagram->message.has_token) {
        memcpy(&forwarded->message.token, datagram->message.sealed_token,
               sizeof(struct GbToken));
        forwarded->host = host_at(fleet, &forwarded->message.token.agent);
        to = forwarded->host->index;
    }
    else {
        forwarded->host = route_unbound(fleet, &datagram->message);
        to = forwarded->host != NULL ? forwarded->host->index : 0;
    }
    policy_fleet_post(fleet, &forwarded->super,
                      delay_us(fleet, datagram->path.balancer.ipv4, to));
}

static void
caller_send(struct GbCallerPort *port, const struct GbMessage *message)
{
    struct CallerHost *self = (struct CallerHost *)port;
    struct Datagram *datagram = new_datagram(message);

    datagram->super.run = arrive_at_balancer;
    datagram->path.caller.port = (uint16_t)self->index;
    /* The data centre of a random balancer. */
    datagram->path.balancer.ipv4 = GbRandom_Below(
        &self->fleet->random.super, self->fleet->scenario->data_centres);
    policy_fleet_post(self->fleet, &datagram->super, CALLER_DELAY_US);
}

static void
caller_deliver(struct GbCallerPort *port, void *context,
               const struct GbCallerResult *result)
{
    ((struct CallerHost *)port)->fleet->delivered(context, result);
}

const struct GbCallerPortClass policy_caller_port_class = {
    .send = caller_send,
    .deliver = caller_deliver,
};

void
policy_host_reply(struct GbAgentPort *port, const struct GbReturnPath *path,
                  const struct GbMessage *message)
{
    struct Host *self = (struct Host *)port;
    struct Datagram *datagram = new_datagram(message);

    if (message->kind == GB_MESSAGE_NOT_RUN &&
        message->not_run == GB_NOT_RUN_BIND) {
        self->fleet->tokens_issued++;
    }
    memcpy(datagram->message.sealed_token, &message->token,
           sizeof(struct GbToken));
    /* The envelope names the instance in any case. */
    datagram->message.token.instance_id = self->agent.config.instance_id;
    datagram->super.run = arrive_at_balancer;
    datagram->path = *path;
    datagram->caller = &self->fleet->callers[path->caller.port];
    policy_fleet_post(self->fleet, &datagram->super,
                      delay_us(self->fleet, self->index, path->balancer.ipv4));
}

void
policy_host_send_member(struct GbAgentPort *port, const struct GbAddress *to,
                        const struct GbMessage *message)
{
    struct Host *self = (struct Host *)port;
    struct Datagram *datagram = new_datagram(message);

    datagram->super.run = arrive_at_host;
    datagram->host = host_at(self->fleet, to);
    policy_fleet_post(
        self->fleet, &datagram->super,
        delay_us(self->fleet, self->index, datagram->host->index));
}
