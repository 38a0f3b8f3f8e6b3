#ifndef GB_TEST_CLUSTER_H
#define GB_TEST_CLUSTER_H

#include "state/document.h"
#include "support/process_group.h"

#define GB_CLUSTER_INSTANCES_MAX 24
#define GB_CLUSTER_ARGUMENTS_MAX 24

/* Hosts that serve one service. */
struct GbClusterPoolConfig {
    const char *service;
    uint32_t hosts;
    /* Flags of the target stand-in, terminated by NULL. */
    const char *target_arguments[GB_CLUSTER_ARGUMENTS_MAX];
};

struct GbTestClusterConfig {
    const char *build_dir;
    /* Value of "services" in the environment document, in JSON. */
    const char *services_json;
    /* Additional flags, each list terminated by NULL. */
    const char *balancer_arguments[GB_CLUSTER_ARGUMENTS_MAX];
    const char *agent_arguments[GB_CLUSTER_ARGUMENTS_MAX];
    uint32_t balancers;
    const struct GbClusterPoolConfig *pools;
    uint32_t pool_count;
};

/* Balancer or agent in the instance list. */
struct GbClusterInstance {
    struct GbChildProcess *process;
    struct GbAddress address;
    uint16_t http_port;
    bool is_leaving;
};

/* Host: a target and the agent beside it. */
struct GbClusterHost {
    const struct GbClusterPoolConfig *pool;
    struct GbChildProcess *target;
    uint16_t target_port;
    struct GbClusterInstance agent;
};

/* A complete system on loopback: the platform stand-in, balancers, and targets
 * with their agents, each in its own process. */
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
    /* Random; part of the keys and of the request bodies. Ports are reused: a
     * caller of another test run may still send to the port of a stopped
     * balancer that now belongs to this cluster. The id distinguishes the
     * requests of this cluster from those. */
    uint64_t id;
};

/* Starts all processes and waits until every balancer and agent is ready.
 * config must outlive self. */
void GbTestCluster_Start(struct GbTestCluster *self,
                         const struct GbTestClusterConfig *config);

/* Kills the processes and frees the cluster. */
void GbTestCluster_Finish(struct GbTestCluster *self);

/* Starts another balancer and adds it to the instance list. */
struct GbClusterInstance *
GbTestCluster_AddBalancer(struct GbTestCluster *self);

/* Publishes the next version of the instance list, with the instances marked
 * as live or leaving. */
void GbTestCluster_PublishInstances(struct GbTestCluster *self);

/* Publishes a document with the next revision. */
void GbTestCluster_PublishDocument(struct GbTestCluster *self);

/* Returns the published document, decoded; owned by the caller. */
struct GbDocument *GbTestCluster_ReadDocument(struct GbTestCluster *self);

/* Waits until /readyz returns this HTTP status. Returns false after
 * timeout_ms. */
bool GbClusterInstance_WaitReadiness(const struct GbClusterInstance *self,
                                     int status, uint32_t timeout_ms);

/* Returns the revision in force according to /status; 0 if there is none. */
uint64_t GbClusterInstance_ReadRevision(const struct GbClusterInstance *self);

#endif
