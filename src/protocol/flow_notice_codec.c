#include "protocol/flow_notice_codec.h"

#include <string.h>

#include "protocol/load_items.h"

/* Kind and service come before the fields of a kind. */
#define HEAD_ITEMS 2
#define KEY_ITEMS 4
#define PERCENT_MAX 100

static const uint32_t item_counts[GB_FLOW_NOTICE_KIND_END] = {
    [GB_FLOW_NOTICE_LOAD] = HEAD_ITEMS + GB_LOAD_ITEMS + 2,
    [GB_FLOW_NOTICE_OWNER] = HEAD_ITEMS + KEY_ITEMS + 1,
    [GB_FLOW_NOTICE_OWNER_QUERY] = HEAD_ITEMS + KEY_ITEMS,
    [GB_FLOW_NOTICE_NOT_OWNER] = HEAD_ITEMS + KEY_ITEMS,
    [GB_FLOW_NOTICE_OWNER_UNKNOWN] = HEAD_ITEMS + KEY_ITEMS,
    [GB_FLOW_NOTICE_SYN_REFUSED] = HEAD_ITEMS + KEY_ITEMS + 1,
    [GB_FLOW_NOTICE_VIEW_VERSION] = HEAD_ITEMS + 3,
};

static void
put_key(struct GbWriter *writer, const struct GbFlowKey *key)
{
    GbWriter_PutUint(writer, key->client_ipv4);
    GbWriter_PutUint(writer, key->client_port);
    GbWriter_PutUint(writer, key->service_ipv4);
    GbWriter_PutUint(writer, key->service_port);
}

static void
read_key(struct GbReader *reader, struct GbFlowKey *key)
{
    key->client_ipv4 = (uint32_t)GbReader_Uint(reader, UINT32_MAX);
    key->client_port = (uint16_t)GbReader_Uint(reader, UINT16_MAX);
    key->service_ipv4 = (uint32_t)GbReader_Uint(reader, UINT32_MAX);
    key->service_port = (uint16_t)GbReader_Uint(reader, UINT16_MAX);
}

uint32_t
GbFlowNoticeCodec_Encode(const struct GbFlowNotice *notice, uint8_t *buffer,
                         uint32_t capacity_bytes)
{
    struct GbWriter writer;

    GbWriter_Init(&writer, buffer, capacity_bytes);
    GbWriter_PutArray(&writer, item_counts[notice->kind]);
    GbWriter_PutUint(&writer, notice->kind);
    GbWriter_PutUint(&writer, notice->service_id);
    switch (notice->kind) {
    case GB_FLOW_NOTICE_LOAD:
        GbLoadItems_Put(&writer, &notice->load);
        GbWriter_PutUint(&writer, notice->failing_percent);
        GbWriter_PutUint(&writer, notice->response_time_us);
        break;
    case GB_FLOW_NOTICE_VIEW_VERSION:
        GbWriter_PutUint(&writer, notice->version.revision);
        GbWriter_PutUint(&writer, notice->version.routes_version);
        GbWriter_PutUint(&writer, notice->age_ms);
        break;
    case GB_FLOW_NOTICE_OWNER:
        put_key(&writer, &notice->key);
        GbWriter_PutUint(&writer, notice->owner_ipv4);
        break;
    case GB_FLOW_NOTICE_SYN_REFUSED:
        put_key(&writer, &notice->key);
        GbWriter_PutUint(&writer, notice->age_ms);
        break;
    default:
        put_key(&writer, &notice->key);
        break;
    }
    return GbWriter_Size(&writer);
}

enum GbProtocolStatus
GbFlowNoticeCodec_Decode(struct GbFlowNotice *notice, const uint8_t *data,
                         size_t size_bytes)
{
    struct GbReader reader;

    memset(notice, 0, sizeof(*notice));
    GbReader_Init(&reader, data, size_bytes);
    notice->kind = (enum GbFlowNoticeKind)GbReader_Uint(
        &reader, GB_FLOW_NOTICE_KIND_END - 1);
    notice->service_id = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
    switch (notice->kind) {
    case GB_FLOW_NOTICE_LOAD:
        GbLoadItems_Read(&reader, &notice->load);
        notice->failing_percent = (uint8_t)GbReader_Uint(&reader, PERCENT_MAX);
        notice->response_time_us =
            (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
        break;
    case GB_FLOW_NOTICE_VIEW_VERSION:
        notice->version.revision = GbReader_Uint(&reader, UINT64_MAX);
        notice->version.routes_version = GbReader_Uint(&reader, UINT64_MAX);
        notice->age_ms = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
        break;
    case GB_FLOW_NOTICE_OWNER:
        read_key(&reader, &notice->key);
        notice->owner_ipv4 = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
        break;
    case GB_FLOW_NOTICE_SYN_REFUSED:
        read_key(&reader, &notice->key);
        notice->age_ms = (uint32_t)GbReader_Uint(&reader, UINT32_MAX);
        break;
    default:
        read_key(&reader, &notice->key);
        break;
    }
    return GbReader_Finish(&reader) ? GB_PROTOCOL_OK : GB_PROTOCOL_MALFORMED;
}
