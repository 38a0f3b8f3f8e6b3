#include "support/sample_messages.h"

#include <string.h>

static const uint8_t sample_body[] = "body of a sample";

static void
init_sample_fields(struct GbMessage *message)
{
    static const struct GbLoad load = {3, 17, 5, true};
    static const struct GbRevision revision = {1234567, 0xdeadbeef};
    static const struct GbBytes body = {sample_body, sizeof(sample_body)};

    switch (message->kind) {
    case GB_MESSAGE_CALL:
        message->call.operation_id = 513;
        message->call.body = body;
        break;
    case GB_MESSAGE_FETCH:
        message->fetch.acknowledged = 70000;
        message->fetch.offset = UINT64_C(5000000000);
        message->fetch.length_bytes = GB_RANGE_BYTES_MAX;
        break;
    case GB_MESSAGE_ACCEPTED:
        message->progress = GB_PROGRESS_RUNNING;
        break;
    case GB_MESSAGE_DATA:
        message->data.target_status = 200;
        message->data.offset = 1024;
        message->data.total = GB_TOTAL_UNKNOWN;
        message->data.digest = UINT64_C(0xfedcba9876543210);
        message->data.bytes = body;
        break;
    case GB_MESSAGE_NOT_RUN:
        message->not_run = GB_NOT_RUN_SHED;
        break;
    case GB_MESSAGE_UNKNOWN:
        message->unknown = GB_UNKNOWN_DEADLINE_PASSED;
        break;
    case GB_MESSAGE_ALIVE:
        message->alive.instance_id = SAMPLE_INSTANCE_ID;
        message->alive.incarnation = SAMPLE_INCARNATION;
        message->alive.load = load;
        message->alive.revision = revision;
        break;
    case GB_MESSAGE_LOAD_QUERY:
    case GB_MESSAGE_LOAD_REPORT:
        message->load.query_id = 99;
        message->load.instance_id = SAMPLE_INSTANCE_ID;
        message->load.load = load;
        break;
    case GB_MESSAGE_HANDOVER:
        message->handover.path.caller.ipv4 = 0x0a000001;
        message->handover.path.caller.port = 4242;
        message->handover.path.tag = UINT64_C(0x1111222233334444);
        message->handover.path.balancer.ipv4 = 0x0a000002;
        message->handover.path.balancer.port = 4343;
        message->handover.call.operation_id = 2;
        message->handover.call.body = body;
        break;
    case GB_MESSAGE_REVISION:
        message->revision = revision;
        break;
    default:
        break;
    }
}

void
init_sample_keys(struct GbKeys *keys)
{
    memset(keys, 0, sizeof(*keys));
    memset(keys->current, 0x5a, GB_KEY_BYTES);
    memset(keys->previous, 0xc3, GB_KEY_BYTES);
}

void
init_sample_token(struct GbToken *token)
{
    memset(token, 0, sizeof(*token));
    token->service_id = SAMPLE_SERVICE_ID;
    token->instance_id = SAMPLE_INSTANCE_ID;
    token->incarnation = SAMPLE_INCARNATION;
    token->agent.ipv4 = 0x7f000001;
    token->agent.port = 9000;
    token->flow_id = SAMPLE_FLOW_ID;
    token->issued_ms = 123456;
}

void
init_sample_message(struct GbMessage *message, enum GbMessageKind kind,
                    bool has_token)
{
    memset(message, 0, sizeof(*message));
    message->kind = kind;
    message->service_id = SAMPLE_SERVICE_ID;
    message->flow_id = SAMPLE_FLOW_ID;
    message->request_id = 70001;
    message->attempt = 3;
    message->has_token = has_token;
    if (has_token) {
        init_sample_token(&message->token);
    }
    init_sample_fields(message);
}

static bool
are_bytes_equal(const struct GbBytes *a, const struct GbBytes *b)
{
    return a->size_bytes == b->size_bytes &&
           (a->size_bytes == 0 ||
            memcmp(a->data, b->data, a->size_bytes) == 0);
}

static bool
is_load_equal(const struct GbLoad *a, const struct GbLoad *b)
{
    return a->running == b->running && a->queued == b->queued &&
           a->capacity == b->capacity && a->is_draining == b->is_draining;
}

static bool
is_revision_equal(const struct GbRevision *a, const struct GbRevision *b)
{
    return a->number == b->number && a->digest_prefix == b->digest_prefix;
}

static bool
is_call_equal(const struct GbCallFields *a, const struct GbCallFields *b)
{
    return a->operation_id == b->operation_id &&
           are_bytes_equal(&a->body, &b->body);
}

static bool
is_data_equal(const struct GbDataFields *a, const struct GbDataFields *b)
{
    return a->target_status == b->target_status && a->offset == b->offset &&
           a->total == b->total && a->digest == b->digest &&
           are_bytes_equal(&a->bytes, &b->bytes);
}

static bool
is_handover_equal(const struct GbHandoverFields *a,
                  const struct GbHandoverFields *b)
{
    return GbAddress_Equal(&a->path.caller, &b->path.caller) &&
           a->path.tag == b->path.tag &&
           GbAddress_Equal(&a->path.balancer, &b->path.balancer) &&
           is_call_equal(&a->call, &b->call);
}

static bool
are_fields_equal(const struct GbMessage *a, const struct GbMessage *b)
{
    switch (a->kind) {
    case GB_MESSAGE_CALL:
        return is_call_equal(&a->call, &b->call);
    case GB_MESSAGE_FETCH:
        return a->fetch.acknowledged == b->fetch.acknowledged &&
               a->fetch.offset == b->fetch.offset &&
               a->fetch.length_bytes == b->fetch.length_bytes;
    case GB_MESSAGE_ACCEPTED:
        return a->progress == b->progress;
    case GB_MESSAGE_DATA:
        return is_data_equal(&a->data, &b->data);
    case GB_MESSAGE_NOT_RUN:
        return a->not_run == b->not_run;
    case GB_MESSAGE_UNKNOWN:
        return a->unknown == b->unknown;
    case GB_MESSAGE_ALIVE:
        return a->alive.instance_id == b->alive.instance_id &&
               a->alive.incarnation == b->alive.incarnation &&
               is_load_equal(&a->alive.load, &b->alive.load) &&
               is_revision_equal(&a->alive.revision, &b->alive.revision);
    case GB_MESSAGE_LOAD_QUERY:
    case GB_MESSAGE_LOAD_REPORT:
        return a->load.query_id == b->load.query_id &&
               a->load.instance_id == b->load.instance_id &&
               is_load_equal(&a->load.load, &b->load.load);
    case GB_MESSAGE_HANDOVER:
        return is_handover_equal(&a->handover, &b->handover);
    case GB_MESSAGE_REVISION:
        return is_revision_equal(&a->revision, &b->revision);
    default:
        return true;
    }
}

bool
is_message_equal(const struct GbMessage *a, const struct GbMessage *b)
{
    return a->kind == b->kind && a->service_id == b->service_id &&
           a->flow_id == b->flow_id && a->request_id == b->request_id &&
           a->attempt == b->attempt && a->has_token == b->has_token &&
           are_fields_equal(a, b);
}

bool
is_token_equal(const struct GbToken *a, const struct GbToken *b)
{
    return a->service_id == b->service_id &&
           a->instance_id == b->instance_id &&
           a->incarnation == b->incarnation &&
           GbAddress_Equal(&a->agent, &b->agent) && a->flow_id == b->flow_id &&
           a->issued_ms == b->issued_ms;
}
