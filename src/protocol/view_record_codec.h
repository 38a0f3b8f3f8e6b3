#ifndef GB_PROTOCOL_VIEW_RECORD_CODEC_H
#define GB_PROTOCOL_VIEW_RECORD_CODEC_H

#include <glib.h>

#include "coordination/flows/view_store.h"

/* Records of the view delta, each of which is one msgpack array. The functions
 * that read decode the record at the beginning of data and set its size; they
 * return false if it is malformed. */

/* Appends the settings of a service. */
void GbViewRecordCodec_WriteService(GByteArray *out,
                                    const struct GbServiceSettings *settings);

bool GbViewRecordCodec_ReadService(struct GbServiceSettings *settings,
                                   const uint8_t *data, size_t size_bytes,
                                   size_t *used_bytes);

/* Appends an evacuation or its tombstone. */
void GbViewRecordCodec_WriteEvacuation(GByteArray *out,
                                       const struct GbEvacuations *evacuations,
                                       const struct GbEvacuation *evacuation);

/* use_until_us is the time for which a withdrawn evacuation stays in force,
 * counted from now. */
bool GbViewRecordCodec_ReadEvacuation(struct GbEvacuation *evacuation,
                                      const uint8_t *data, size_t size_bytes,
                                      size_t *used_bytes);

/* Appends an instance or its tombstone in a format of the view delta. */
void GbViewRecordCodec_WriteEntry(GByteArray *out,
                                  const struct GbViewEntry *entry,
                                  uint32_t format);

bool GbViewRecordCodec_ReadEntry(struct GbViewEntry *entry,
                                 const uint8_t *data, size_t size_bytes,
                                 uint32_t format, size_t *used_bytes);

/* Appends a former backend. age_ms is the time since it left its route. */
void GbViewRecordCodec_WriteFormerBackend(GByteArray *out,
                                          const struct GbFormerBackend *former,
                                          uint32_t age_ms);

/* left_us is relative to now, and negative. */
bool GbViewRecordCodec_ReadFormerBackend(struct GbFormerBackend *former,
                                         const uint8_t *data,
                                         size_t size_bytes,
                                         size_t *used_bytes);

#endif
