#include "coordination/calls/membership.h"

#include "coordination/calls/admission.h"

#define US_PER_MS 1000

static bool
is_from_other_member(struct GbAgent *agent, const struct GbMessage *message)
{
    if (agent->service == NULL ||
        message->token.service_id != agent->service->id ||
        message->service_id != agent->service->id) {
        GbCounters_Add(agent->counters, GB_COUNTER_WRONG_SERVICE, 1);
        return false;
    }
    return message->token.instance_id != agent->config.instance_id;
}

/* Records the load of the sender. Returns false if the sender is not in the
 * instance list. */
static bool
record_load(struct GbAgent *agent, const struct GbMessage *message,
            const struct GbLoad *load)
{
    struct GbPoolMember *member =
        GbPool_Find(&agent->pool, message->token.instance_id);

    if (member == NULL) {
        GbCounters_Add(agent->counters, GB_COUNTER_MEMBERS_UNLISTED, 1);
        return false;
    }
    GbPoolMember_RecordReport(member, &message->token.agent,
                              message->token.incarnation, load,
                              GbClock_MonotonicUs(agent->clock));
    return true;
}

static void
report_load(struct GbAgent *agent, const struct GbMessage *query)
{
    struct GbMessage report = {.kind = GB_MESSAGE_LOAD_REPORT};

    report.load.query_id = query->load.query_id;
    report.load.instance_id = agent->config.instance_id;
    report.load.load = GbAgent_Load(agent);
    GbMembership_Send(agent, &query->token.agent, &report);
}

static void
receive_handover(struct GbAgent *agent, const struct GbMessage *message)
{
    struct GbMessage call = *message;
    struct GbReturnPath path = message->handover.path;

    if (message->flow_id == 0) {
        GbCounters_Add(agent->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
        return;
    }
    call.kind = GB_MESSAGE_CALL;
    call.has_token = false;
    call.call = message->handover.call;
    GbCounters_Add(agent->counters, GB_COUNTER_HANDOVERS_RECEIVED, 1);
    GbAdmission_HandleHandover(agent, &path, &call);
}

void
GbMembership_Send(struct GbAgent *agent, const struct GbAddress *to,
                  struct GbMessage *message)
{
    message->service_id = agent->service->id;
    message->has_token = true;
    message->token.service_id = message->service_id;
    message->token.instance_id = agent->config.instance_id;
    message->token.incarnation = agent->config.incarnation;
    message->token.agent = agent->config.address;
    message->token.flow_id = 0;
    message->token.issued_ms =
        (uint64_t)GbClock_MonotonicUs(agent->clock) / US_PER_MS;
    agent->port->klass->send_to_member(agent->port, to, message);
}

void
GbMembership_SendAlive(struct GbAgent *agent)
{
    struct GbMessage alive = {.kind = GB_MESSAGE_ALIVE};

    if (agent->service == NULL) {
        return;
    }
    alive.alive.instance_id = agent->config.instance_id;
    alive.alive.incarnation = agent->config.incarnation;
    alive.alive.load = GbAgent_Load(agent);
    alive.alive.revision = GbDocument_Revision(agent->view->document);
    for (uint32_t i = 0; i < agent->pool.count; i++) {
        GbMembership_Send(agent, &agent->pool.members[i].address, &alive);
    }
}

void
GbMembership_Receive(struct GbAgent *agent, const struct GbAddress *from,
                     const struct GbMessage *message)
{
    (void)from;
    if (!is_from_other_member(agent, message)) {
        return;
    }
    switch (message->kind) {
    case GB_MESSAGE_ALIVE:
        record_load(agent, message, &message->alive.load);
        break;
    case GB_MESSAGE_LOAD_QUERY:
        record_load(agent, message, &message->load.load);
        report_load(agent, message);
        break;
    case GB_MESSAGE_LOAD_REPORT:
        if (record_load(agent, message, &message->load.load)) {
            GbHandover_HandleReport(agent, message);
        }
        break;
    case GB_MESSAGE_HANDOVER:
        receive_handover(agent, message);
        break;
    default:
        GbCounters_Add(agent->counters, GB_COUNTER_DATAGRAMS_UNEXPECTED, 1);
        break;
    }
}
