#ifndef GB_TEST_CLUSTER_H
#define GB_TEST_CLUSTER_H

#include "state/document.h"
#include "support/process_group.h"

#define GB_CLUSTER_INSTANCES_MAX 24
#define GB_CLUSTER_ARGUMENTS_MAX 24

struct GbClusterPoolConfig {
    const char *service;
    uint32_t hosts;
    /* Flags of the target stand-in; ends with NULL. */
    const char *target_arguments[GB_CLUSTER_ARGUMENTS_MAX];
};

struct GbTestClusterConfig {
    const char *build_dir;
    /* The "services" of the document, in JSON. */
    const char *services_json;
    /* Flags beyond those that every process needs; end with NULL. */
    const char *balancer_arguments[GB_CLUSTER_ARGUMENTS_MAX];
    const char *agent_arguments[GB_CLUSTER_ARGUMENTS_MAX];
    uint32_t balancers;
    const struct GbClusterPoolConfig *pools;
    uint32_t pool_count;
};

/* Balancer or agent that the instance list names. */
struct GbClusterInstance {
    struct GbChildProcess *process;
    struct GbAddress address;
    uint16_t http_port;
    bool is_leaving;
};

/* Target with its agent. */
struct GbClusterHost {
    const struct GbClusterPoolConfig *pool;
    struct GbChildProcess *target;
    uint16_t target_port;
    struct GbClusterInstance agent;
};

/* A whole system on loopback: the platform stand-in, balancers, and targets
 * with their agents, each in a process of its own. */
struct GbTestCluster {
    struct GbProcessGroup group;
    const struct GbTestClusterConfig *config;
    struct GbChildProcess *platform;
    uint16_t platform_port;
    struct GbClusterInstance balancers[GB_CLUSTER_INSTANCES_MAX];
    uint32_t balancer_count;
    struct GbClusterHost hosts[GB_CLUSTER_INSTANCES_MAX];
    uint32_t host_count;
    char *document_path;
    char *instances_path;
    uint64_t revision;
    uint64_t instances_version;
    /* Random. Ports are used again: a caller of another test run may send to
     * the port of a balancer that has ended, which is now one of this
     * environment. What names the environment tells its requests from those.
     */
    uint64_t id;
};

/* Starts everything and waits until each balancer and agent is ready. config
 * must outlive self. */
void GbTestCluster_Start(struct GbTestCluster *self,
                         const struct GbTestClusterConfig *config);

/* Ends every process that was started. */
void GbTestCluster_Finish(struct GbTestCluster *self);

/* Starts one more balancer and lists it. */
struct GbClusterInstance *
GbTestCluster_AddBalancer(struct GbTestCluster *self);

/* Writes the instance list anew: a member is live or leaving. */
void GbTestCluster_PublishInstances(struct GbTestCluster *self);

/* Writes a document with the next revision; the platform serves it from then
 * on. */
void GbTestCluster_PublishDocument(struct GbTestCluster *self);

/* The document as published, decoded; owned by the test. */
struct GbDocument *GbTestCluster_ReadDocument(struct GbTestCluster *self);

/* Waits until /readyz gives this status. Returns false after timeout_ms. */
bool GbClusterInstance_WaitReadiness(const struct GbClusterInstance *self,
                                     int status, uint32_t timeout_ms);

/* Revision that /status names as in force; 0 if there is none. */
uint64_t GbClusterInstance_ReadRevision(const struct GbClusterInstance *self);

#endif
