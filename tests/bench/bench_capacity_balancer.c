/* Cost of a balancer as the numbers of services and instances and the size of
 * the document grow, up to the sizes in section 1.5 of the design page. */

#include <glib.h>
#include <stdio.h>

#include "bench/slope.h"
#include "coordination/calls/balancer.h"
#include "protocol/document_json.h"
#include "protocol/instances_json.h"
#include "support/fleet.h"
#include "support/load_generator.h"
#include "support/memory_usage.h"
#include "support/sample_json.h"

#define SERVICES 980
#define INSTANCES 9230
#define RUNS 5
#define ROUTED_CALLS 20000

static const uint32_t instance_counts[] = {1154, 2308, 4615, 9230};
static const uint32_t service_counts[] = {122, 245, 490, 980};
static const uint32_t pool_sizes[] = {4, 9, 32, 64, 128};

/* Used to take the fastest of several runs, which was disturbed least by other
 * load on the machine. */
static double
minimum(double a, double b)
{
    return a < b ? a : b;
}

static void
measure_view(struct Slope *time, struct Slope *memory, uint32_t services,
             uint32_t instances, double size)
{
    struct Fleet fleet = {services, instances, 0};
    struct GbDocument *document = fleet_document(&fleet);
    struct GbInstanceList *list = fleet_instance_list(&fleet);
    double best_ns = G_MAXDOUBLE;
    int64_t heap_bytes = 0;

    for (int run = 0; run < RUNS; run++) {
        int64_t before_bytes = memory_heap_bytes();
        int64_t start_ns = load_current_thread_cpu_ns();
        struct GbView *view = GbView_New(document, list);

        best_ns = minimum(best_ns,
                          (double)(load_current_thread_cpu_ns() - start_ns));
        heap_bytes = memory_heap_bytes() - before_bytes;
        GbView_Unref(view);
    }
    slope_add(time, size, best_ns / 1000);
    slope_add(memory, size, (double)heap_bytes);
    GbDocument_Unref(document);
    GbInstanceList_Unref(list);
}

static void
measure_views(void)
{
    struct Slope by_instances;
    struct Slope by_services;
    struct Slope memory;
    struct Slope unused_memory;

    slope_init(&by_instances, "build of a view, 980 services",
               "us an instance");
    slope_init(&memory, "memory of a view without list", "bytes an instance");
    for (size_t i = 0; i < G_N_ELEMENTS(instance_counts); i++) {
        measure_view(&by_instances, &memory, SERVICES, instance_counts[i],
                     instance_counts[i]);
    }
    slope_init(&by_services, "build of a view, 9,230 instances",
               "us a service");
    slope_init(&unused_memory, "", "");
    for (size_t i = 0; i < G_N_ELEMENTS(service_counts); i++) {
        measure_view(&by_services, &unused_memory, service_counts[i],
                     INSTANCES, service_counts[i]);
    }
    slope_print(&by_instances);
    slope_print(&by_services);
    slope_print(&memory);
}

static void
measure_documents(void)
{
    struct Slope size;
    struct Slope time;
    struct Slope memory;

    slope_init(&size, "size of a document", "bytes a service");
    slope_init(&time, "check and acceptance of a document", "us a service");
    slope_init(&memory, "memory of a document with its bytes",
               "bytes a service");
    for (size_t i = 0; i < G_N_ELEMENTS(service_counts); i++) {
        GString *text = sample_environment_json(1, service_counts[i]);
        double best_ns = G_MAXDOUBLE;
        int64_t heap_bytes = 0;

        for (int run = 0; run < RUNS; run++) {
            int64_t before_bytes = memory_heap_bytes();
            int64_t start_ns = load_current_thread_cpu_ns();
            struct GbDocument *document;

            g_assert_cmpint(GbDocumentJson_Parse(&document,
                                                 (const uint8_t *)text->str,
                                                 text->len, NULL),
                            ==, GB_PROTOCOL_OK);
            best_ns = minimum(
                best_ns, (double)(load_current_thread_cpu_ns() - start_ns));
            heap_bytes = memory_heap_bytes() - before_bytes;
            GbDocument_Unref(document);
        }
        slope_add(&size, service_counts[i], (double)text->len);
        slope_add(&time, service_counts[i], best_ns / 1000);
        slope_add(&memory, service_counts[i], (double)heap_bytes);
        g_string_free(text, TRUE);
    }
    slope_print(&size);
    slope_print(&time);
    slope_print(&memory);
}

static void
measure_lists(void)
{
    struct Slope size;
    struct Slope time;
    struct Slope memory;

    slope_init(&size, "size of an instance list", "bytes an instance");
    slope_init(&time, "parse of an instance list", "us an instance");
    slope_init(&memory, "memory of an instance list", "bytes an instance");
    for (size_t i = 0; i < G_N_ELEMENTS(instance_counts); i++) {
        GString *text = sample_instances_json(1, SERVICES, instance_counts[i]);
        double best_ns = G_MAXDOUBLE;
        int64_t heap_bytes = 0;

        for (int run = 0; run < RUNS; run++) {
            int64_t before_bytes = memory_heap_bytes();
            int64_t start_ns = load_current_thread_cpu_ns();
            struct GbInstanceList *list;

            g_assert_cmpint(GbInstancesJson_Parse(&list,
                                                  (const uint8_t *)text->str,
                                                  text->len, NULL),
                            ==, GB_PROTOCOL_OK);
            g_assert_cmpuint(list->count, ==, instance_counts[i]);
            best_ns = minimum(
                best_ns, (double)(load_current_thread_cpu_ns() - start_ns));
            heap_bytes = memory_heap_bytes() - before_bytes;
            GbInstanceList_Unref(list);
        }
        slope_add(&size, instance_counts[i], (double)text->len);
        slope_add(&time, instance_counts[i], best_ns / 1000);
        slope_add(&memory, instance_counts[i], (double)heap_bytes);
        g_string_free(text, TRUE);
    }
    slope_print(&size);
    slope_print(&time);
    slope_print(&memory);
}

static double
route_ns(struct GbBalancer *balancer, uint8_t attempt)
{
    double best_ns = G_MAXDOUBLE;

    for (int run = 0; run < RUNS; run++) {
        int64_t start_ns = load_current_thread_cpu_ns();

        for (uint64_t flow = 1; flow <= ROUTED_CALLS; flow++) {
            struct GbMessage message = {.kind = GB_MESSAGE_CALL,
                                        .service_id = 1,
                                        .flow_id = flow,
                                        .attempt = attempt};
            struct GbAddress agent;

            GbBalancer_Route(balancer, &message, &agent);
        }
        best_ns = minimum(best_ns,
                          (double)(load_current_thread_cpu_ns() - start_ns));
    }
    return best_ns / ROUTED_CALLS;
}

static void
measure_ranking(void)
{
    struct Slope rank_0;
    struct Slope rank_1;
    struct Slope distinct_weights;

    slope_init(&rank_0, "route of an unbound CALL, rank 0", "ns an instance");
    slope_init(&rank_1, "route of an unbound CALL, rank 1", "ns an instance");
    slope_init(&distinct_weights, "the same, rank 0, all weights distinct",
               "ns an instance");
    for (size_t i = 0; i < G_N_ELEMENTS(pool_sizes); i++) {
        struct Fleet fleet = {1, pool_sizes[i], 0};
        struct GbSystemClock clock;
        struct GbCounters counters = {{0}};
        struct GbBalancer balancer;

        GbSystemClock_Init(&clock);
        GbBalancer_Init(&balancer, &clock.super, &counters);
        GbBalancer_SetView(&balancer, fleet_view(&fleet));
        slope_add(&rank_0, pool_sizes[i], route_ns(&balancer, 0));
        slope_add(&rank_1, pool_sizes[i], route_ns(&balancer, 1));
        for (uint32_t j = 0; j < pool_sizes[i]; j++) {
            balancer.view->list->instances[j].weight = j + 1;
        }
        slope_add(&distinct_weights, pool_sizes[i], route_ns(&balancer, 0));
        GbBalancer_Finish(&balancer);
    }
    slope_print(&rank_0);
    slope_print(&rank_1);
    slope_print(&distinct_weights);
}

static void
measure_failure_detector(void)
{
    struct Slope memory;
    struct Slope time;

    slope_init(&memory, "memory of a failure detector, a data task",
               "bytes an instance");
    slope_init(&time, "failure detector given a new list", "us an instance");
    for (size_t i = 0; i < G_N_ELEMENTS(instance_counts); i++) {
        struct Fleet fleet = {SERVICES, instance_counts[i], 0};
        struct GbInstanceList *list = fleet_instance_list(&fleet);
        int64_t before_bytes = memory_heap_bytes();
        double best_ns = G_MAXDOUBLE;
        struct GbFailureDetector detector;

        GbFailureDetector_Init(&detector);
        for (uint32_t j = 0; j < list->count; j++) {
            GbFailureDetector_RecordSent(&detector, list->instances[j].id, 0);
        }
        slope_add(&memory, instance_counts[i],
                  (double)(memory_heap_bytes() - before_bytes));
        for (int run = 0; run < RUNS; run++) {
            int64_t start_ns = load_current_thread_cpu_ns();

            GbFailureDetector_RemoveUnlisted(&detector, list);
            best_ns = minimum(
                best_ns, (double)(load_current_thread_cpu_ns() - start_ns));
        }
        slope_add(&time, instance_counts[i], best_ns / 1000);
        GbFailureDetector_Finish(&detector);
        GbInstanceList_Unref(list);
    }
    slope_print(&memory);
    slope_print(&time);
}

/* Resident memory of a process with a document, list and view of full size.
 * Must run first, because a heap that was larger before keeps its pages. */
static void
print_resident_memory(void)
{
    GString *text = sample_environment_json(1, SERVICES);
    int64_t start_bytes = memory_resident_bytes();
    struct GbDocument *document;
    struct GbInstanceList *list;
    struct GbView *view;

    GbDocumentJson_Parse(&document, (const uint8_t *)text->str, text->len,
                         NULL);
    g_string_free(text, TRUE);
    text = sample_instances_json(1, SERVICES, INSTANCES);
    GbInstancesJson_Parse(&list, (const uint8_t *)text->str, text->len, NULL);
    g_string_free(text, TRUE);
    view = GbView_New(document, list);
    printf("resident memory for a document of %d services, a list of %d "
           "instances and their view, with memory kept after parsing: "
           "%" G_GINT64_FORMAT " kB\n",
           SERVICES, INSTANCES,
           (memory_resident_bytes() - start_bytes) / 1024);
    GbView_Unref(view);
    GbDocument_Unref(document);
    GbInstanceList_Unref(list);
}

int
main(void)
{
    print_resident_memory();
    slope_print_header("Balancer (parsing and views apply to agents as well)");
    measure_documents();
    measure_lists();
    measure_views();
    measure_ranking();
    measure_failure_detector();
    return 0;
}
