#include "support/cluster.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/document_json.h"
#include "state/random.h"
#include "support/http_get.h"

#define START_TIMEOUT_MS 10000
#define POLL_MS 10
#define US_PER_MS 1000
#define NUMBER_BASE 10
#define HTTP_OK 200
#define LOOPBACK 0x7f000001U
#define KEY_HEX_BYTES 33
#define DATA_CENTRE "dc1"

static const char no_parent[] = "00000000000000000000000000000000";

/* Flags and values of one program, terminated by NULL. */
struct ArgumentList {
    const char *items[GB_CLUSTER_ARGUMENTS_MAX * 2];
    uint32_t count;
};

static void
add_flag(struct ArgumentList *self, const char *flag, const char *value)
{
    g_assert_cmpuint(self->count + 2, <, G_N_ELEMENTS(self->items));
    self->items[self->count++] = flag;
    self->items[self->count++] = value;
}

static void
add_flags(struct ArgumentList *self, const char *const *flags)
{
    for (size_t i = 0; flags[i] != NULL; i += 2) {
        add_flag(self, flags[i], flags[i + 1]);
    }
}

static void
start_platform(struct GbTestCluster *self)
{
    struct ArgumentList arguments = {0};

    add_flag(&arguments, "--document", self->document_path);
    add_flag(&arguments, "--instances", self->instances_path);
    self->platform = GbProcessGroup_Start(&self->group, "platform",
                                          "platform-standin", arguments.items);
    self->platform_port =
        GbChildProcess_WaitPort(self->platform, "port=", START_TIMEOUT_MS);
    g_assert_cmpuint(self->platform_port, !=, 0);
}

static void
start_instance(struct GbTestCluster *self, struct GbClusterInstance *instance,
               const char *program, const char *name,
               struct ArgumentList *arguments)
{
    char *platform = g_strdup_printf("127.0.0.1:%u", self->platform_port);
    char key[KEY_HEX_BYTES];

    g_snprintf(key, sizeof(key), "%016" PRIx64 "%016" PRIx64, self->id,
               ~self->id);
    add_flag(arguments, "--instance", name);
    add_flag(arguments, "--data-centre", DATA_CENTRE);
    add_flag(arguments, "--platform", platform);
    add_flag(arguments, "--key", key);
    instance->process =
        GbProcessGroup_Start(&self->group, name, program, arguments->items);
    instance->address.ipv4 = LOOPBACK;
    g_free(platform);
}

static void
wait_for_ports(struct GbClusterInstance *instance)
{
    instance->http_port = GbChildProcess_WaitPort(
        instance->process, "http_port=", START_TIMEOUT_MS);
    instance->address.port = GbChildProcess_WaitPort(
        instance->process, " listen=127.0.0.1:", START_TIMEOUT_MS);
    g_assert_cmpuint(instance->http_port, !=, 0);
    g_assert_cmpuint(instance->address.port, !=, 0);
}

static struct GbClusterInstance *
start_balancer(struct GbTestCluster *self)
{
    struct GbClusterInstance *instance =
        &self->balancers[self->balancer_count];
    struct ArgumentList arguments = {0};
    char *name = g_strdup_printf("balancer-%u", self->balancer_count + 1);

    g_assert_cmpuint(self->balancer_count, <, GB_CLUSTER_INSTANCES_MAX);
    self->balancer_count++;
    add_flags(&arguments, self->config->balancer_arguments);
    start_instance(self, instance, "guavabend-balancer", name, &arguments);
    g_free(name);
    return instance;
}

static void
start_target(struct GbTestCluster *self,
             const struct GbClusterPoolConfig *pool)
{
    struct GbClusterHost *host = &self->hosts[self->host_count];
    char *name =
        g_strdup_printf("target-%s-%u", pool->service, self->host_count + 1);

    g_assert_cmpuint(self->host_count, <, GB_CLUSTER_INSTANCES_MAX);
    self->host_count++;
    host->pool = pool;
    host->target = GbProcessGroup_Start(&self->group, name, "target-standin",
                                        pool->target_arguments);
    g_free(name);
}

static void
start_agent(struct GbTestCluster *self, struct GbClusterHost *host)
{
    struct ArgumentList arguments = {0};
    char *name = g_strdup_printf("agent-%s-%u", host->pool->service,
                                 (unsigned)(host - self->hosts) + 1);
    char *target;

    host->target_port =
        GbChildProcess_WaitPort(host->target, "port=", START_TIMEOUT_MS);
    g_assert_cmpuint(host->target_port, !=, 0);
    target = g_strdup_printf("127.0.0.1:%u", host->target_port);
    add_flag(&arguments, "--service", host->pool->service);
    add_flag(&arguments, "--target", target);
    add_flags(&arguments, self->config->agent_arguments);
    start_instance(self, &host->agent, "guavabend-agent", name, &arguments);
    g_free(target);
    g_free(name);
}

static void
append_instance(GString *list, const struct GbClusterInstance *instance,
                const char *role, const char *service)
{
    char address[GB_ADDRESS_TEXT_BYTES];

    g_string_append_printf(
        list,
        "%s{\"name\":\"%s\",\"role\":\"%s\",\"service\":\"%s\","
        "\"address\":\"%s\",\"data_centre\":\"" DATA_CENTRE
        "\",\"state\":\"%s\",\"weight\":1}",
        list->str[list->len - 1] == '[' ? "" : ",\n", instance->process->name,
        role, service, GbAddress_Format(&instance->address, address),
        instance->is_leaving ? "leaving" : "live");
}

static void
wait_all_ready(struct GbTestCluster *self)
{
    for (uint32_t i = 0; i < self->balancer_count; i++) {
        g_assert_true(GbClusterInstance_WaitReadiness(
            &self->balancers[i], HTTP_OK, START_TIMEOUT_MS));
    }
    for (uint32_t i = 0; i < self->host_count; i++) {
        g_assert_true(GbClusterInstance_WaitReadiness(
            &self->hosts[i].agent, HTTP_OK, START_TIMEOUT_MS));
    }
}

void
GbTestCluster_Start(struct GbTestCluster *self,
                    const struct GbTestClusterConfig *config)
{
    struct GbSystemRandom random;

    memset(self, 0, sizeof(*self));
    GbSystemRandom_Init(&random);
    self->id = GbRandom_Next(&random.super);
    self->config = config;
    GbProcessGroup_Init(&self->group, config->build_dir);
    self->document_path = GbProcessGroup_Path(&self->group, "document.json");
    self->instances_path = GbProcessGroup_Path(&self->group, "instances.json");
    GbTestCluster_PublishDocument(self);
    /* The instance list is published once all addresses are known, so that a
     * process that is ready has the complete list. */
    start_platform(self);
    for (uint32_t pool = 0; pool < config->pool_count; pool++) {
        for (uint32_t i = 0; i < config->pools[pool].hosts; i++) {
            start_target(self, &config->pools[pool]);
        }
    }
    for (uint32_t i = 0; i < self->host_count; i++) {
        start_agent(self, &self->hosts[i]);
    }
    for (uint32_t i = 0; i < config->balancers; i++) {
        start_balancer(self);
    }
    for (uint32_t i = 0; i < self->host_count; i++) {
        wait_for_ports(&self->hosts[i].agent);
    }
    for (uint32_t i = 0; i < self->balancer_count; i++) {
        wait_for_ports(&self->balancers[i]);
    }
    GbTestCluster_PublishInstances(self);
    wait_all_ready(self);
}

void
GbTestCluster_Finish(struct GbTestCluster *self)
{
    GbProcessGroup_Finish(&self->group);
    g_free(self->document_path);
    g_free(self->instances_path);
}

struct GbClusterInstance *
GbTestCluster_AddBalancer(struct GbTestCluster *self)
{
    struct GbClusterInstance *instance = start_balancer(self);

    wait_for_ports(instance);
    GbTestCluster_PublishInstances(self);
    return instance;
}

void
GbTestCluster_PublishInstances(struct GbTestCluster *self)
{
    GString *list = g_string_new(NULL);

    g_string_append_printf(list, "{\"version\":%" PRIu64 ",\"instances\":[",
                           ++self->instances_version);
    for (uint32_t i = 0; i < self->balancer_count; i++) {
        append_instance(list, &self->balancers[i], "balancer", "");
    }
    for (uint32_t i = 0; i < self->host_count; i++) {
        append_instance(list, &self->hosts[i].agent, "agent",
                        self->hosts[i].pool->service);
    }
    g_string_append(list, "]}\n");
    g_assert_true(g_file_set_contents(self->instances_path, list->str,
                                      (gssize)list->len, NULL));
    g_string_free(list, TRUE);
}

void
GbTestCluster_PublishDocument(struct GbTestCluster *self)
{
    char *text = g_strdup_printf(
        "{\"revision\":%" PRIu64 ",\"parent\":\"%s\",\n"
        "\"requested_by\":\"network-team\",\n"
        "\"requested_at\":\"2030-01-31T08:00:00Z\",\n"
        "\"in_force_from\":\"2020-01-31T08:00:00Z\",\n"
        "\"services\":%s}\n",
        ++self->revision, no_parent, self->config->services_json);

    g_assert_true(g_file_set_contents(self->document_path, text, -1, NULL));
    g_free(text);
}

struct GbDocument *
GbTestCluster_ReadDocument(struct GbTestCluster *self)
{
    struct GbDocument *document;
    GString *errors = g_string_new(NULL);
    gchar *data;
    gsize size_bytes;

    g_assert_true(
        g_file_get_contents(self->document_path, &data, &size_bytes, NULL));
    GbDocumentJson_Parse(&document, (const uint8_t *)data, size_bytes, errors);
    g_assert_cmpstr(errors->str, ==, "");
    g_string_free(errors, TRUE);
    g_free(data);
    return document;
}

bool
GbClusterInstance_WaitReadiness(const struct GbClusterInstance *self,
                                int status, uint32_t timeout_ms)
{
    for (uint32_t waited_ms = 0; waited_ms < timeout_ms;
         waited_ms += POLL_MS) {
        if (GbHttp_Get(self->http_port, "/readyz", NULL) == status) {
            return true;
        }
        g_usleep(POLL_MS * US_PER_MS);
    }
    return false;
}

uint64_t
GbClusterInstance_ReadRevision(const struct GbClusterInstance *self)
{
    static const char key[] = "\"revision\":";
    GString *body = g_string_new(NULL);
    uint64_t revision = 0;
    const char *found;

    GbHttp_Get(self->http_port, "/status", body);
    found = strstr(body->str, key);
    if (found != NULL) {
        revision = strtoull(found + strlen(key), NULL, NUMBER_BASE);
    }
    g_string_free(body, TRUE);
    return revision;
}
