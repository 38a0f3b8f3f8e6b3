#ifndef GB_TEST_ENVIRONMENT_H
#define GB_TEST_ENVIRONMENT_H

#include "state/document.h"
#include "support/process_group.h"

#define GB_ENVIRONMENT_MEMBERS_MAX 24
#define GB_ENVIRONMENT_ARGUMENTS_MAX 24

struct GbPoolConfig {
    const char *service;
    uint32_t hosts;
    /* Flags of the target stand-in; ends with NULL. */
    const char *target_arguments[GB_ENVIRONMENT_ARGUMENTS_MAX];
};

struct GbEnvironmentConfig {
    const char *build_dir;
    /* The "services" of the document, in JSON. */
    const char *services_json;
    /* Flags beyond those that every process needs; end with NULL. */
    const char *balancer_arguments[GB_ENVIRONMENT_ARGUMENTS_MAX];
    const char *agent_arguments[GB_ENVIRONMENT_ARGUMENTS_MAX];
    uint32_t balancers;
    const struct GbPoolConfig *pools;
    uint32_t pool_count;
};

/* Balancer or agent that the instance list names. */
struct GbMember {
    struct GbProcess *process;
    struct GbAddress address;
    uint16_t http_port;
    bool is_leaving;
};

/* Target with its agent. */
struct GbHost {
    const struct GbPoolConfig *pool;
    struct GbProcess *target;
    uint16_t target_port;
    struct GbMember agent;
};

/* A whole system on loopback: the platform stand-in, balancers, and targets
 * with their agents, each in a process of its own. */
struct GbEnvironment {
    struct GbProcessGroup group;
    const struct GbEnvironmentConfig *config;
    struct GbProcess *platform;
    uint16_t platform_port;
    struct GbMember balancers[GB_ENVIRONMENT_MEMBERS_MAX];
    uint32_t balancer_count;
    struct GbHost hosts[GB_ENVIRONMENT_MEMBERS_MAX];
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
void GbEnvironment_Start(struct GbEnvironment *self,
                         const struct GbEnvironmentConfig *config);

/* Ends every process that was started. */
void GbEnvironment_Finish(struct GbEnvironment *self);

/* Starts one more balancer and lists it. */
struct GbMember *GbEnvironment_AddBalancer(struct GbEnvironment *self);

/* Writes the instance list anew: a member is live or leaving. */
void GbEnvironment_PublishInstances(struct GbEnvironment *self);

/* Writes a document with the next revision; the platform serves it from then
 * on. */
void GbEnvironment_PublishDocument(struct GbEnvironment *self);

/* The document as published, decoded; owned by the test. */
struct GbDocument *GbEnvironment_ReadDocument(struct GbEnvironment *self);

/* Waits until /readyz gives this status. Returns false after timeout_ms. */
bool GbMember_WaitReadiness(const struct GbMember *self, int status,
                            uint32_t timeout_ms);

/* Revision that /status names as in force; 0 if there is none. */
uint64_t GbMember_Revision(const struct GbMember *self);

#endif
