#include <glib.h>

#include "support/agent_fixture.h"

#define SLOTS 4
#define CALLS 600

static struct AgentFixture fixture;

struct LimitCase {
    const char *name;
    uint32_t response_bytes;
    bool is_acknowledged;
    /* Calls that get a response; the others are refused. */
    uint32_t started_count;
};

static const struct LimitCase limit_cases[] = {
    {"small responses", 100, false, CALLS},
    {"full windows that are not fetched", GB_RESPONSE_WINDOW_BYTES, false,
     GB_RESPONSE_BUFFER_BYTES_MAX / GB_RESPONSE_WINDOW_BYTES},
    {"full windows that are fetched", GB_RESPONSE_WINDOW_BYTES, true, CALLS},
};

static void
send_response(uint32_t index, uint32_t response_bytes)
{
    static const uint8_t data[GB_RESPONSE_WINDOW_BYTES];
    uint64_t work_id = fixture.started[index].work_id;
    struct GbBytes bytes = {data, response_bytes};

    GbAgent_HandleTargetHead(&fixture.agent, work_id, 200);
    GbAgent_HandleTargetBytes(&fixture.agent, work_id, bytes);
    GbAgent_HandleTargetEnd(&fixture.agent, work_id, GB_TARGET_COMPLETED);
}

/* Guards against retained responses without a limit in bytes: the limit on
 * request records alone allows 1 GB. */
static void
test_limit(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
        const struct LimitCase *row = &limit_cases[i];
        struct FixtureSetup setup = {.slots = SLOTS};

        g_test_message("%s", row->name);
        agent_fixture_init(&fixture, &setup);
        for (uint32_t flow = 1; flow <= CALLS; flow++) {
            uint32_t started = fixture.started_count;

            agent_fixture_call(&fixture, flow, 1, FIXTURE_READ, NULL);
            if (fixture.started_count == started) {
                agent_fixture_assert_not_run(&fixture, 1, GB_NOT_RUN_BUSY);
                continue;
            }
            send_response(started, row->response_bytes);
            if (row->is_acknowledged) {
                const struct GbToken token =
                    agent_fixture_last_reply(&fixture)->token;

                agent_fixture_acknowledge(&fixture, flow, 1, &token);
                g_assert_cmpuint(fixture.agent.response_buffer_bytes, ==, 0);
            }
        }
        g_assert_cmpuint(fixture.started_count, ==, row->started_count);
        /* All records expire, and their buffers are freed with them. */
        agent_fixture_advance(&fixture, INT64_C(31000000));
        g_assert_cmpuint(fixture.agent.response_buffer_bytes, ==, 0);
        agent_fixture_finish(&fixture);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/response-buffer-limit/bytes", test_limit);
    return g_test_run();
}
