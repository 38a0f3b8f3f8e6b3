#include "coordination/calls/reply.h"

#include <string.h>

#define US_PER_MS 1000

static void
init_reply(const struct GbAgent *agent, struct GbMessage *reply,
           enum GbMessageKind kind, uint64_t flow_id, uint32_t request_id)
{
    memset(reply, 0, sizeof(*reply));
    reply->kind = kind;
    reply->service_id = agent->service != NULL ? agent->service->id : 0;
    reply->flow_id = flow_id;
    reply->request_id = request_id;
}

static void
set_token(const struct GbAgent *agent, struct GbMessage *reply,
          uint64_t issued_ms)
{
    reply->has_token = true;
    reply->token.service_id = reply->service_id;
    reply->token.instance_id = agent->config.instance_id;
    reply->token.incarnation = agent->config.incarnation;
    reply->token.agent = agent->config.address;
    reply->token.flow_id = reply->flow_id;
    reply->token.issued_ms = issued_ms;
}

static void
send_reply_to(struct GbAgent *agent, const struct GbReturnPath *path,
              const struct GbMessage *reply)
{
    agent->port->klass->send_reply(agent->port, path, reply);
}

void
GbReply_SendNotRun(struct GbAgent *agent, const struct GbReturnPath *path,
                   const struct GbMessage *message, enum GbNotRunReason reason)
{
    struct GbMessage reply;

    init_reply(agent, &reply, GB_MESSAGE_NOT_RUN, message->flow_id,
               message->request_id);
    reply.not_run = reason;
    if (reason == GB_NOT_RUN_BIND) {
        set_token(agent, &reply,
                  (uint64_t)GbClock_MonotonicUs(agent->clock) / US_PER_MS);
    }
    else {
        GbCounters_Add(agent->counters, GB_COUNTER_REQUESTS_NOT_RUN, 1);
    }
    send_reply_to(agent, path, &reply);
}

void
GbReply_SendRequestNotRun(struct GbAgent *agent,
                          const struct GbRequest *request,
                          enum GbNotRunReason reason)
{
    struct GbMessage message = {.flow_id = request->flow->id,
                                .request_id = request->id};

    GbReply_SendNotRun(agent, &request->path, &message, reason);
}

void
GbReply_SendUnknown(struct GbAgent *agent, const struct GbReturnPath *path,
                    const struct GbMessage *message,
                    enum GbUnknownReason reason)
{
    struct GbMessage reply;

    init_reply(agent, &reply, GB_MESSAGE_UNKNOWN, message->flow_id,
               message->request_id);
    reply.unknown = reason;
    send_reply_to(agent, path, &reply);
}

void
GbReply_SendProgress(struct GbAgent *agent, const struct GbRequest *request)
{
    struct GbMessage reply;

    if (request->state == GB_REQUEST_FAILED) {
        init_reply(agent, &reply, GB_MESSAGE_UNKNOWN, request->flow->id,
                   request->id);
        reply.unknown = request->failure;
    }
    else {
        init_reply(agent, &reply, GB_MESSAGE_ACCEPTED, request->flow->id,
                   request->id);
        set_token(agent, &reply, request->flow->issued_ms);
        reply.progress = request->state == GB_REQUEST_QUEUED
                             ? GB_PROGRESS_QUEUED
                             : GB_PROGRESS_RUNNING;
    }
    send_reply_to(agent, &request->path, &reply);
}

bool
GbReply_SendData(struct GbAgent *agent, const struct GbRequest *request,
                 const struct GbReturnPath *path, uint64_t offset,
                 uint32_t length_bytes)
{
    const struct GbResponseBuffer *response = &request->response;
    uint8_t range[GB_RANGE_BYTES_MAX];
    uint32_t size_bytes = GbResponseBuffer_Read(
        response, offset, MIN(length_bytes, GB_RANGE_BYTES_MAX), range);
    struct GbMessage reply;

    if (size_bytes == 0 &&
        !(response->is_complete && offset == response->end)) {
        return false;
    }
    init_reply(agent, &reply, GB_MESSAGE_DATA, request->flow->id, request->id);
    set_token(agent, &reply, request->flow->issued_ms);
    reply.data.target_status = response->target_status;
    reply.data.offset = offset;
    reply.data.total = GbResponseBuffer_Total(response);
    reply.data.digest = response->digest;
    reply.data.bytes.data = range;
    reply.data.bytes.size_bytes = size_bytes;
    send_reply_to(agent, path, &reply);
    return true;
}
