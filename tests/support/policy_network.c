#include "support/policy_network.h"

#include <string.h>

#define BUFFER_BYTES 64
#define SAME_CENTRE_DELAY_US 100
#define JITTER_MAX_US 100
#define CALLER_DELAY_US 3000

/* Datagram in transit. */
struct Datagram {
    struct Event super;
    struct GbMessage message;
    struct GbReturnPath path;
    /* Destination, if it is not the caller: an instance, or NULL for the one
     * that is least loaded on arrival. */
    struct PolicyInstance *instance;
    /* Destination of replies; NULL for datagrams to an instance. */
    struct PolicyCaller *caller;
    uint8_t buffer[BUFFER_BYTES];
};

static struct GbBytes *
payload_of(struct GbMessage *message)
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
    bytes = payload_of(&self->message);
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
random_delay_us(struct PolicyFleet *fleet, uint32_t from, uint32_t to)
{
    uint32_t centres = fleet->scenario->data_centres;
    int64_t base_us = from % centres == to % centres
                          ? SAME_CENTRE_DELAY_US
                          : fleet->scenario->delay_us;

    return base_us + GbRandom_Below(&fleet->random.super, JITTER_MAX_US);
}

static struct PolicyInstance *
instance_at(struct PolicyFleet *fleet, const struct GbAddress *address)
{
    return &fleet->instances[address->ipv4 - AGENTS_NETWORK];
}

/* Instance that is least loaded now. Ties are broken at random. */
static struct PolicyInstance *
least_loaded_instance(struct PolicyFleet *fleet)
{
    struct PolicyInstance *best = NULL;
    struct GbLoad best_load = {0};
    uint32_t ties = 0;

    for (uint32_t i = 0; i < fleet->scenario->instances; i++) {
        struct GbLoad load = GbAgent_Load(&fleet->instances[i].agent);
        int order = best != NULL ? GbLoad_Compare(&load, &best_load) : -1;

        ties = order < 0 ? 1 : ties + (order == 0);
        if (order < 0 ||
            (order == 0 && GbRandom_Below(&fleet->random.super, ties) == 0)) {
            best = &fleet->instances[i];
            best_load = load;
        }
    }
    return best;
}

static void
arrive_at_instance(struct Event *event, void *context)
{
    struct Datagram *datagram = (struct Datagram *)event;
    struct PolicyInstance *instance = datagram->instance;

    if (instance == NULL) {
        instance = least_loaded_instance(context);
    }
    if (datagram->message.kind >= GB_MESSAGE_ALIVE) {
        struct GbAddress from = datagram->message.token.agent;

        GbAgent_ReceiveFromMember(&instance->agent, &from, &datagram->message);
    }
    else {
        GbAgent_Receive(&instance->agent, &datagram->path, &datagram->message);
    }
    policy_fleet_arm_agent_timer(instance);
}

static void
arrive_at_caller(struct Event *event, void *context)
{
    struct Datagram *datagram = (struct Datagram *)event;

    (void)context;
    GbCaller_Receive(&datagram->caller->caller, &datagram->message);
    policy_fleet_arm_caller_timer(datagram->caller);
}

/* Destination of an unbound CALL; NULL for the instance that is least loaded
 * on arrival. */
static struct PolicyInstance *
route_unbound(struct PolicyFleet *fleet, const struct GbMessage *message)
{
    uint32_t count = fleet->scenario->instances;
    struct PolicyInstance *a =
        &fleet->instances[GbRandom_Below(&fleet->random.super, count)];
    struct PolicyInstance *b;
    struct GbAddress address;

    switch (fleet->policy) {
    case POLICY_RENDEZVOUS:
    case POLICY_HANDOVER:
        g_assert_cmpint(GbBalancer_Route(&fleet->balancer, message, &address),
                        ==, GB_COORDINATION_OK);
        return instance_at(fleet, &address);
    case POLICY_TWO_CHOICES:
    case POLICY_TWO_CHOICES_UNCAPPED:
        do {
            b = &fleet->instances[GbRandom_Below(&fleet->random.super, count)];
        } while (a == b);
        return GbLoad_Compare(&a->reported, &b->reported) <= 0 ? a : b;
    case POLICY_WEIGHTED_RANDOM:
        /* All instances have the same weight. */
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
        GbBalancer_RecordReply(&fleet->balancer,
                               datagram->message.token.instance_id);
        forwarded = new_datagram(&datagram->message);
        forwarded->super.run = arrive_at_caller;
        forwarded->caller = datagram->caller;
        policy_fleet_post(fleet, &forwarded->super, CALLER_DELAY_US);
        return;
    }
    forwarded = new_datagram(&datagram->message);
    forwarded->super.run = arrive_at_instance;
    forwarded->path = datagram->path;
    if (datagram->message.has_token) {
        memcpy(&forwarded->message.token, datagram->message.sealed_token,
               sizeof(struct GbToken));
        forwarded->instance =
            instance_at(fleet, &forwarded->message.token.agent);
        to = forwarded->instance->index;
    }
    else {
        forwarded->instance = route_unbound(fleet, &datagram->message);
        to = forwarded->instance != NULL ? forwarded->instance->index : 0;
    }
    policy_fleet_post(
        fleet, &forwarded->super,
        random_delay_us(fleet, datagram->path.balancer.ipv4, to));
}

static void
caller_send(struct GbCallerPort *port, const struct GbMessage *message)
{
    struct PolicyCaller *self = (struct PolicyCaller *)port;
    struct Datagram *datagram = new_datagram(message);

    datagram->super.run = arrive_at_balancer;
    datagram->path.caller.port = (uint16_t)self->index;
    /* Number of the data centre of a random balancer. */
    datagram->path.balancer.ipv4 = GbRandom_Below(
        &self->fleet->random.super, self->fleet->scenario->data_centres);
    policy_fleet_post(self->fleet, &datagram->super, CALLER_DELAY_US);
}

static void
caller_deliver(struct GbCallerPort *port, void *context,
               const struct GbCallerResult *result)
{
    ((struct PolicyCaller *)port)->fleet->call_finished(context, result);
}

const struct GbCallerPortClass policy_caller_port_class = {
    .send = caller_send,
    .deliver = caller_deliver,
};

void
policy_instance_reply(struct GbAgentPort *port,
                      const struct GbReturnPath *path,
                      const struct GbMessage *message)
{
    struct PolicyInstance *self = (struct PolicyInstance *)port;
    struct Datagram *datagram = new_datagram(message);

    if (message->kind == GB_MESSAGE_NOT_RUN &&
        message->not_run == GB_NOT_RUN_BIND) {
        self->fleet->tokens_issued++;
    }
    memcpy(datagram->message.sealed_token, &message->token,
           sizeof(struct GbToken));
    /* The envelope of a reply names the instance even if the message has no
     * token. */
    datagram->message.token.instance_id = self->agent.config.instance_id;
    datagram->super.run = arrive_at_balancer;
    datagram->path = *path;
    datagram->caller = &self->fleet->callers[path->caller.port];
    policy_fleet_post(
        self->fleet, &datagram->super,
        random_delay_us(self->fleet, self->index, path->balancer.ipv4));
}

void
policy_instance_send_to_member(struct GbAgentPort *port,
                               const struct GbAddress *to,
                               const struct GbMessage *message)
{
    struct PolicyInstance *self = (struct PolicyInstance *)port;
    struct Datagram *datagram = new_datagram(message);

    datagram->super.run = arrive_at_instance;
    datagram->instance = instance_at(self->fleet, to);
    policy_fleet_post(
        self->fleet, &datagram->super,
        random_delay_us(self->fleet, self->index, datagram->instance->index));
}
