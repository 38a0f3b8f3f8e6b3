#include "state/flow.h"

#include <glib.h>

#include "state/request.h"

#define RESPONSE_BYTES 100

struct OpenCase {
    const char *name;
    enum GbRequestState state;
    uint32_t response_bytes;
    uint32_t acknowledged_bytes;
    uint32_t expected;
};

static const struct OpenCase open_cases[] = {
    {"queued", GB_REQUEST_QUEUED, 0, 0, 1},
    {"running", GB_REQUEST_RUNNING, 0, 0, 1},
    {"response in transfer", GB_REQUEST_RESPONDING, RESPONSE_BYTES,
     RESPONSE_BYTES, 1},
    {"finished, nothing fetched", GB_REQUEST_FINISHED, RESPONSE_BYTES, 0, 1},
    {"finished, partly fetched", GB_REQUEST_FINISHED, RESPONSE_BYTES, 99, 1},
    {"finished, completely fetched", GB_REQUEST_FINISHED, RESPONSE_BYTES,
     RESPONSE_BYTES, 0},
    {"failed", GB_REQUEST_FAILED, 0, 0, 0},
};

/* Guards against flows whose requests are refused as BUSY because of responses
 * that they have already fetched. */
static void
test_open_requests(void)
{
    static const struct GbOperation operation = {.name = "check", .id = 1};
    static const uint8_t data[RESPONSE_BYTES];

    for (size_t i = 0; i < G_N_ELEMENTS(open_cases); i++) {
        const struct OpenCase *row = &open_cases[i];
        struct GbFlow flow = {0};
        struct GbBytes body = {data, 1};
        struct GbBytes response = {data, row->response_bytes};
        struct GbRequest *request = GbRequest_New(&flow, 1, &operation, body);

        g_test_message("%s", row->name);
        flow.requests = g_slist_prepend(NULL, request);
        request->state = row->state;
        g_assert_true(GbResponseBuffer_Append(&request->response, response));
        GbResponseBuffer_Acknowledge(&request->response,
                                     row->acknowledged_bytes);
        g_assert_cmpuint(GbFlow_CountOpenRequests(&flow), ==, row->expected);
        g_slist_free(flow.requests);
        GbRequest_Free(request);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/open-requests/count", test_open_requests);
    return g_test_run();
}
