#include "protocol/flow_notice_codec.h"

#include <string.h>

#include "protocol/load_codec.h"

/* Kind and service, which precede the fields of each kind. */
#define HEADER_ITEM_COUNT 2
#define KEY_ITEM_COUNT 4
#define PERCENT_MAX 100

static const uint32_t item_counts[GB_FLOW_NOTICE_KIND_END] = {
    [GB_FLOW_NOTICE_LOAD] = HEADER_ITEM_COUNT + GB_LOAD_ITEM_COUNT + 2,
    [GB_FLOW_NOTICE_OWNER] = HEADER_ITEM_COUNT + KEY_ITEM_COUNT + 1,
    [GB_FLOW_NOTICE_OWNER_QUERY] = HEADER_ITEM_COUNT + KEY_ITEM_COUNT,
    [GB_FLOW_NOTICE_NOT_OWNER] = HEADER_ITEM_COUNT + KEY_ITEM_COUNT,
    [GB_FLOW_NOTICE_OWNER_UNKNOWN] = HEADER_ITEM_COUNT + KEY_ITEM_COUNT,
    [GB_FLOW_NOTICE_SYN_REFUSED] = HEADER_ITEM_COUNT + KEY_ITEM_COUNT + 1,
    [GB_FLOW_NOTICE_VIEW_VERSION] = HEADER_ITEM_COUNT + 3,
};

static void
write_key(struct GbMsgpackWriter *writer, const struct GbFlowKey *key)
{
    GbMsgpackWriter_WriteUint(writer, key->client_ipv4);
    GbMsgpackWriter_WriteUint(writer, key->client_port);
    GbMsgpackWriter_WriteUint(writer, key->service_ipv4);
    GbMsgpackWriter_WriteUint(writer, key->service_port);
}

static void
read_key(struct GbMsgpackReader *reader, struct GbFlowKey *key)
{
    key->client_ipv4 = (uint32_t)GbMsgpackReader_ReadUint(reader, UINT32_MAX);
    key->client_port = (uint16_t)GbMsgpackReader_ReadUint(reader, UINT16_MAX);
    key->service_ipv4 = (uint32_t)GbMsgpackReader_ReadUint(reader, UINT32_MAX);
    key->service_port = (uint16_t)GbMsgpackReader_ReadUint(reader, UINT16_MAX);
}

uint32_t
GbFlowNoticeCodec_Encode(const struct GbFlowNotice *notice, uint8_t *buffer,
                         uint32_t capacity_bytes)
{
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, capacity_bytes);
    GbMsgpackWriter_WriteArrayHeader(&writer, item_counts[notice->kind]);
    GbMsgpackWriter_WriteUint(&writer, notice->kind);
    GbMsgpackWriter_WriteUint(&writer, notice->service_id);
    switch (notice->kind) {
    case GB_FLOW_NOTICE_LOAD:
        GbLoadCodec_Encode(&writer, &notice->load);
        GbMsgpackWriter_WriteUint(&writer, notice->failing_percent);
        GbMsgpackWriter_WriteUint(&writer, notice->response_time_us);
        break;
    case GB_FLOW_NOTICE_VIEW_VERSION:
        GbMsgpackWriter_WriteUint(&writer, notice->version.revision);
        GbMsgpackWriter_WriteUint(&writer, notice->version.routes_version);
        GbMsgpackWriter_WriteUint(&writer, notice->age_ms);
        break;
    case GB_FLOW_NOTICE_OWNER:
        write_key(&writer, &notice->key);
        GbMsgpackWriter_WriteUint(&writer, notice->owner_ipv4);
        break;
    case GB_FLOW_NOTICE_SYN_REFUSED:
        write_key(&writer, &notice->key);
        GbMsgpackWriter_WriteUint(&writer, notice->age_ms);
        break;
    default:
        write_key(&writer, &notice->key);
        break;
    }
    return GbMsgpackWriter_Size(&writer);
}

enum GbProtocolStatus
GbFlowNoticeCodec_Decode(struct GbFlowNotice *notice, const uint8_t *data,
                         size_t size_bytes)
{
    struct GbMsgpackReader reader;

    memset(notice, 0, sizeof(*notice));
    GbMsgpackReader_Init(&reader, data, size_bytes);
    notice->kind = (enum GbFlowNoticeKind)GbMsgpackReader_ReadUint(
        &reader, GB_FLOW_NOTICE_KIND_END - 1);
    notice->service_id = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    switch (notice->kind) {
    case GB_FLOW_NOTICE_LOAD:
        GbLoadCodec_Decode(&reader, &notice->load);
        notice->failing_percent =
            (uint8_t)GbMsgpackReader_ReadUint(&reader, PERCENT_MAX);
        notice->response_time_us =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
        break;
    case GB_FLOW_NOTICE_VIEW_VERSION:
        notice->version.revision =
            GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
        notice->version.routes_version =
            GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
        notice->age_ms =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
        break;
    case GB_FLOW_NOTICE_OWNER:
        read_key(&reader, &notice->key);
        notice->owner_ipv4 =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
        break;
    case GB_FLOW_NOTICE_SYN_REFUSED:
        read_key(&reader, &notice->key);
        notice->age_ms =
            (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
        break;
    default:
        read_key(&reader, &notice->key);
        break;
    }
    return GbMsgpackReader_Finish(&reader) ? GB_PROTOCOL_OK
                                           : GB_PROTOCOL_MALFORMED;
}
