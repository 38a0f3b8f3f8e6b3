#include "transport/control_http.h"

#include <string.h>

#include "protocol/metrics_text.h"
#include "protocol/status_json.h"

#define US_PER_SECOND INT64_C(1000000)

struct Endpoint {
    const char *path;
    int (*handle)(struct GbControlTask *control, GString *body);
};

static void
write_gauges(const struct GbControlTask *control, GString *body)
{
    const struct GbDocumentAcceptance *acceptance = &control->sync.acceptance;
    const struct GbDocument *in_force = acceptance->in_force.document;
    const struct GbInstanceList *list = control->sync.sync.list;

    GbMetricsText_AppendGauge(
        body, "document_revision", "Revision of the document in force.",
        in_force != NULL ? (int64_t)in_force->revision : 0);
    GbMetricsText_AppendGauge(
        body, "document_in_force_seconds",
        "Wall time at which the document came into force.",
        acceptance->in_force.in_force_at_us / US_PER_SECOND);
    GbMetricsText_AppendGauge(body, "documents_pending",
                              "Accepted documents that are not in force yet.",
                              acceptance->pending_count);
    GbMetricsText_AppendGauge(body, "instances_version",
                              "Version of the instance list.",
                              list != NULL ? (int64_t)list->version : 0);
    GbMetricsText_AppendGauge(body, "ready", "Whether the process is ready.",
                              GbControlTask_IsReady(control));
}

static void
write_agent_gauges(const struct GbDataReportMessage *report, GString *body)
{
    GbMetricsText_AppendGauge(body, "flows", "Flow records held.",
                              report->flow_count);
    GbMetricsText_AppendGauge(body, "requests", "Request records held.",
                              report->request_count);
    GbMetricsText_AppendGauge(body, "running", "Requests at the target.",
                              report->load.running);
    GbMetricsText_AppendGauge(body, "queued", "Requests in the queue.",
                              report->load.queued);
    GbMetricsText_AppendGauge(body, "usable_slots", "Slots in use or free.",
                              report->load.capacity);
}

static int
handle_metrics(struct GbControlTask *control, GString *body)
{
    struct GbCounters sum = control->counters;

    for (uint32_t i = 0; i < control->data_task_count; i++) {
        GbCounters_Merge(&sum, &control->reports[i].counters);
    }
    GbMetricsText_AppendCounters(body, &sum);
    write_gauges(control, body);
    if (control->config.role == GB_ROLE_AGENT) {
        write_agent_gauges(&control->reports[0], body);
    }
    return HTTP_OK;
}

static int
handle_status(struct GbControlTask *control, GString *body)
{
    const struct GbDocumentAcceptance *acceptance = &control->sync.acceptance;
    const struct GbDocument *in_force = acceptance->in_force.document;
    const struct GbInstanceList *list = control->sync.sync.list;
    struct GbProcessStatus status = {.role = control->config.role};

    g_strlcpy(status.instance, control->config.instance_name, GB_NAME_BYTES);
    status.head = GbDocument_Head(in_force);
    if (in_force != NULL) {
        g_strlcpy(status.requested_by, in_force->requested_by, GB_NAME_BYTES);
    }
    status.accepted_at_us = acceptance->in_force.accepted_at_us;
    status.in_force_at_us = acceptance->in_force.in_force_at_us;
    status.instances_version = list != NULL ? list->version : 0;
    status.is_ready = GbControlTask_IsReady(control);
    for (uint32_t i = 0; i < acceptance->pending_count; i++) {
        const struct GbDocument *pending = acceptance->pending[i].document;

        status.pending[i].head = GbDocument_Head(pending);
        status.pending[i].in_force_from_us = pending->in_force_from_us;
    }
    status.pending_count = acceptance->pending_count;
    GbStatusJson_Write(body, &status);
    return HTTP_OK;
}

static int
handle_audit(struct GbControlTask *control, GString *body)
{
    const struct GbAudit *audit = &control->sync.audit;

    for (uint32_t i = 0; i < GbAudit_Count(audit); i++) {
        GbStatusJson_WriteAudit(body, GbAudit_At(audit, i));
    }
    return HTTP_OK;
}

static int
handle_health(struct GbControlTask *control, GString *body)
{
    (void)control;
    g_string_append(body, "ok\n");
    return HTTP_OK;
}

static int
handle_ready(struct GbControlTask *control, GString *body)
{
    bool is_ready = GbControlTask_IsReady(control);

    g_string_append(body, is_ready ? "ready\n" : "not ready\n");
    return is_ready ? HTTP_OK : HTTP_SERVUNAVAIL;
}

static const struct Endpoint endpoints[] = {
    {"/metrics", handle_metrics}, {"/status", handle_status},
    {"/audit", handle_audit},     {"/healthz", handle_health},
    {"/readyz", handle_ready},
};

int
GbControlHttp_HandleRequest(struct GbControlTask *control, const char *path,
                            GString *body)
{
    for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
        if (strcmp(path, endpoints[i].path) == 0) {
            return endpoints[i].handle(control, body);
        }
    }
    return HTTP_NOTFOUND;
}
