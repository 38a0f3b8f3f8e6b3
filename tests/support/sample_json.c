#include "support/sample_json.h"

#include <inttypes.h>

static const char *const operation_names[] = {"reveal-hint", "check-answer",
                                              "weekly-pack"};

GString *
sample_environment_json(uint64_t revision, uint32_t services)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(
        text,
        "{\"revision\":%" PRIu64 ",\"parent\":"
        "\"00000000000000000000000000000000\",\"requested_by\":\"operator\","
        "\"requested_at\":\"2030-01-31T08:00:00Z\","
        "\"in_force_from\":\"2030-01-31T08:00:00Z\",\"services\":[",
        revision);
    for (uint32_t i = 0; i < services; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"service-%u\",\"id\":%u,"
            "\"address\":\"10.0.%u.%u\",\"port\":9000,\"slots\":2,"
            "\"limits\":{\"flows\":23000,\"queue\":64,\"rate_per_s\":1000,"
            "\"retry_budget_percent\":10},\"drain\":{\"flow_ms\":2000},"
            "\"ramp_ms\":10000,\"long_after_ms\":1000,\"operations\":[",
            i > 0 ? "," : "", i + 1, i + 1, i / 250, i % 250);
        for (unsigned j = 0; j < G_N_ELEMENTS(operation_names); j++) {
            g_string_append_printf(
                text,
                "%s{\"name\":\"%s\",\"id\":%u,\"class\":\"%s\","
                "\"idempotent\":%s,\"deadline_ms\":1000,"
                "\"max_answer_bytes\":1048576}",
                j > 0 ? "," : "", operation_names[j], j + 1,
                j == 2 ? "long" : "short", j == 1 ? "false" : "true");
        }
        g_string_append(text, "]}");
    }
    g_string_append(text, "]}");
    return text;
}

GString *
sample_instances_json(uint64_t version, uint32_t services, uint32_t instances)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text, "{\"version\":%" PRIu64 ",\"instances\":[",
                           version);
    for (uint32_t i = 0; i < instances; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"instance-%u\",\"role\":\"agent\","
            "\"service\":\"service-%u\",\"address\":\"10.%u.%u.%u:9000\","
            "\"data_centre\":\"north-1\",\"state\":\"live\",\"weight\":100}",
            i > 0 ? "," : "", i, i % services + 1, 1 + i / 62500,
            i / 250 % 250, i % 250);
    }
    g_string_append(text, "]}");
    return text;
}
