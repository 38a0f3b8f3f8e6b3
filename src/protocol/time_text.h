#ifndef GB_PROTOCOL_TIME_TEXT_H
#define GB_PROTOCOL_TIME_TEXT_H

#include <stdbool.h>
#include <stdint.h>

#define GB_TIME_TEXT_BYTES 32

/* Writes a wall time such as 2030-01-31T08:00:00.000Z, or "" for 0. Returns
 * text. */
const char *GbTimeText_Format(int64_t wall_us, char text[GB_TIME_TEXT_BYTES]);

/* Parses an ISO 8601 time with date, time of day and zone. text may be
 * NULL. */
bool GbTimeText_Parse(int64_t *wall_us, const char *text);

#endif
