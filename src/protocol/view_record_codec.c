#include "protocol/view_record_codec.h"

#include <string.h>

#include "protocol/msgpack_reader.h"
#include "protocol/msgpack_writer.h"
#include "protocol/view_delta.h"
#include "protocol/view_delta_reader.h"

#define RECORD_BYTES_MAX 512

/* Number of items in each kind of record. */
#define SERVICE_ITEM_COUNT 3
#define EVACUATION_ITEM_COUNT 4
#define FORMER_BACKEND_ITEM_COUNT 4
#define BASIC_INSTANCE_ITEM_COUNT 10
#define WHOLE_ROUTES_INSTANCE_ITEM_COUNT 11
#define INSTANCE_ITEM_COUNT 12

#define US_PER_MS INT64_C(1000)

/* Maximum time that a lost evacuation stays in force. */
#define EVACUATION_USE_MAX_US INT64_C(60000000)

static void
append_record(GByteArray *out, const struct GbMsgpackWriter *writer)
{
    g_byte_array_append(out, writer->data, GbMsgpackWriter_Size(writer));
}

static void
write_text(struct GbMsgpackWriter *writer, const char *text)
{
    GbMsgpackWriter_WriteBytes(writer, (const uint8_t *)text,
                               (uint32_t)strlen(text));
}

static void
read_text(struct GbMsgpackReader *reader, char text[GB_NAME_BYTES])
{
    struct GbBytes bytes =
        GbMsgpackReader_ReadBytes(reader, GB_NAME_BYTES - 1);

    if (bytes.size_bytes > 0) {
        memcpy(text, bytes.data, bytes.size_bytes);
    }
}

void
GbViewRecordCodec_WriteService(GByteArray *out,
                               const struct GbServiceSettings *settings)
{
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, sizeof(buffer));
    GbMsgpackWriter_WriteArrayHeader(&writer, SERVICE_ITEM_COUNT);
    GbMsgpackWriter_WriteUint(&writer, settings->service_id);
    GbMsgpackWriter_WriteUint(&writer, settings->warmup_ms);
    GbMsgpackWriter_WriteUint(&writer, settings->warmup_openings_per_1000_s);
    append_record(out, &writer);
}

/* The time for which a lost evacuation stays in force is counted from the
 * first process that missed it. */
void
GbViewRecordCodec_WriteEvacuation(GByteArray *out,
                                  const struct GbEvacuations *evacuations,
                                  const struct GbEvacuation *evacuation)
{
    int64_t left_us = GbEvacuations_UseLeftUs(evacuations, evacuation);
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, sizeof(buffer));
    GbMsgpackWriter_WriteArrayHeader(&writer, EVACUATION_ITEM_COUNT);
    write_text(&writer, evacuation->data_centre);
    GbMsgpackWriter_WriteUint(&writer, evacuation->position);
    GbMsgpackWriter_WriteUint(&writer, evacuation->is_withdrawn);
    GbMsgpackWriter_WriteUint(&writer, (uint64_t)left_us);
    append_record(out, &writer);
}

static uint32_t
instance_item_count(uint32_t format)
{
    switch (format) {
    case GB_VIEW_DELTA_FORMAT_BASIC:
        return BASIC_INSTANCE_ITEM_COUNT;
    case GB_VIEW_DELTA_FORMAT_WHOLE_ROUTES:
        return WHOLE_ROUTES_INSTANCE_ITEM_COUNT;
    default:
        return INSTANCE_ITEM_COUNT;
    }
}

void
GbViewRecordCodec_WriteEntry(GByteArray *out, const struct GbViewEntry *entry,
                             uint32_t format)
{
    const struct GbInstance *instance = &entry->instance;
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, sizeof(buffer));
    GbMsgpackWriter_WriteArrayHeader(&writer, instance_item_count(format));
    write_text(&writer, instance->name);
    write_text(&writer, instance->service);
    write_text(&writer, instance->data_centre);
    GbMsgpackWriter_WriteUint(&writer, instance->address.ipv4);
    GbMsgpackWriter_WriteUint(&writer, instance->address.port);
    GbMsgpackWriter_WriteUint(&writer, instance->weight);
    GbMsgpackWriter_WriteUint(&writer, instance->cold_ms);
    GbMsgpackWriter_WriteUint(&writer, instance->is_leaving);
    GbMsgpackWriter_WriteUint(&writer, entry->revision);
    GbMsgpackWriter_WriteUint(&writer, entry->is_removed);
    if (format >= GB_VIEW_DELTA_FORMAT_WHOLE_ROUTES) {
        GbMsgpackWriter_WriteUint(&writer, instance->born_ms);
    }
    if (format >= GB_VIEW_DELTA_FORMAT) {
        GbMsgpackWriter_WriteUint(&writer, instance->created);
    }
    append_record(out, &writer);
}

bool
GbViewRecordCodec_ReadEntry(struct GbViewEntry *entry, const uint8_t *data,
                            size_t size_bytes, uint32_t format,
                            size_t *used_bytes)
{
    struct GbInstance *instance = &entry->instance;
    struct GbMsgpackReader reader;

    memset(entry, 0, sizeof(*entry));
    GbMsgpackReader_Init(&reader, data, size_bytes);
    read_text(&reader, instance->name);
    read_text(&reader, instance->service);
    read_text(&reader, instance->data_centre);
    instance->id = GbInstance_IdOfName(instance->name);
    instance->role = GB_ROLE_AGENT;
    instance->service_id = GbRouteTable_ServiceId(instance->service);
    instance->address.ipv4 =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    instance->address.port =
        (uint16_t)GbMsgpackReader_ReadUint(&reader, UINT16_MAX);
    instance->weight = (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT16_MAX);
    instance->cold_ms =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    instance->is_leaving = GbMsgpackReader_ReadUint(&reader, 1) == 1;
    entry->revision = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    entry->is_removed = GbMsgpackReader_ReadUint(&reader, 1) == 1;
    if (format >= GB_VIEW_DELTA_FORMAT_WHOLE_ROUTES) {
        instance->born_ms = GbMsgpackReader_ReadUint(&reader, INT64_MAX);
    }
    if (format >= GB_VIEW_DELTA_FORMAT) {
        instance->created = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    }
    return GbMsgpackReader_FinishArray(&reader, used_bytes);
}

bool
GbViewRecordCodec_ReadEvacuation(struct GbEvacuation *evacuation,
                                 const uint8_t *data, size_t size_bytes,
                                 size_t *used_bytes)
{
    struct GbMsgpackReader reader;

    memset(evacuation, 0, sizeof(*evacuation));
    GbMsgpackReader_Init(&reader, data, size_bytes);
    read_text(&reader, evacuation->data_centre);
    evacuation->position = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    evacuation->is_withdrawn = GbMsgpackReader_ReadUint(&reader, 1) == 1;
    evacuation->use_until_us =
        (int64_t)GbMsgpackReader_ReadUint(&reader, EVACUATION_USE_MAX_US);
    return GbMsgpackReader_FinishArray(&reader, used_bytes);
}

bool
GbViewRecordCodec_ReadService(struct GbServiceSettings *settings,
                              const uint8_t *data, size_t size_bytes,
                              size_t *used_bytes)
{
    struct GbMsgpackReader reader;

    memset(settings, 0, sizeof(*settings));
    GbMsgpackReader_Init(&reader, data, size_bytes);
    settings->service_id = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    settings->warmup_ms =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    settings->warmup_openings_per_1000_s =
        GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    return GbMsgpackReader_FinishArray(&reader, used_bytes);
}

void
GbViewRecordCodec_WriteFormerBackend(GByteArray *out,
                                     const struct GbFormerBackend *former,
                                     uint32_t age_ms)
{
    uint8_t buffer[RECORD_BYTES_MAX];
    struct GbMsgpackWriter writer;

    GbMsgpackWriter_Init(&writer, buffer, sizeof(buffer));
    GbMsgpackWriter_WriteArrayHeader(&writer, FORMER_BACKEND_ITEM_COUNT);
    GbMsgpackWriter_WriteUint(&writer, former->address.ipv4);
    GbMsgpackWriter_WriteUint(&writer, former->address.port);
    GbMsgpackWriter_WriteUint(&writer, former->service_id);
    GbMsgpackWriter_WriteUint(&writer, age_ms);
    append_record(out, &writer);
}

bool
GbViewRecordCodec_ReadFormerBackend(struct GbFormerBackend *former,
                                    const uint8_t *data, size_t size_bytes,
                                    size_t *used_bytes)
{
    struct GbMsgpackReader reader;

    GbMsgpackReader_Init(&reader, data, size_bytes);
    former->address.ipv4 =
        (uint32_t)GbMsgpackReader_ReadUint(&reader, UINT32_MAX);
    former->address.port =
        (uint16_t)GbMsgpackReader_ReadUint(&reader, UINT16_MAX);
    former->service_id = GbMsgpackReader_ReadUint(&reader, UINT64_MAX);
    former->left_us = -(int64_t)GbMsgpackReader_ReadUint(
                          &reader, GB_VIEW_DELTA_HISTORY_AGE_MAX_MS) *
                      US_PER_MS;
    return GbMsgpackReader_FinishArray(&reader, used_bytes);
}
