#include "protocol/time_text.h"

#include <glib.h>

#define US_PER_SECOND INT64_C(1000000)
#define US_PER_MS 1000

const char *
GbTimeText_Format(int64_t wall_us, char text[GB_TIME_TEXT_BYTES])
{
    GDateTime *time = g_date_time_new_from_unix_utc(wall_us / US_PER_SECOND);

    text[0] = '\0';
    if (time != NULL && wall_us != 0) {
        g_snprintf(
            text, GB_TIME_TEXT_BYTES, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
            g_date_time_get_year(time), g_date_time_get_month(time),
            g_date_time_get_day_of_month(time), g_date_time_get_hour(time),
            g_date_time_get_minute(time), g_date_time_get_second(time),
            (int)(wall_us % US_PER_SECOND / US_PER_MS));
    }
    g_clear_pointer(&time, g_date_time_unref);
    return text;
}

bool
GbTimeText_Parse(int64_t *wall_us, const char *text)
{
    GDateTime *time =
        text != NULL ? g_date_time_new_from_iso8601(text, NULL) : NULL;

    if (time == NULL) {
        return false;
    }
    *wall_us = g_date_time_to_unix(time) * US_PER_SECOND +
               g_date_time_get_microsecond(time);
    g_date_time_unref(time);
    return true;
}
