#ifndef GB_TESTS_SUPPORT_AGENT_FIXTURE_H
#define GB_TESTS_SUPPORT_AGENT_FIXTURE_H

#include "coordination/calls/agent.h"

#define FIXTURE_SERVICE 7
#define FIXTURE_EVENTS_MAX 2048

enum FixtureOperation {
    /* Short, idempotent, deadline 1 s. */
    FIXTURE_READ = 1,
    /* Short, not idempotent, deadline 1 s. */
    FIXTURE_WRITE,
    /* Long, idempotent, deadline 30 s. */
    FIXTURE_LONG
};

/* Pool and service of the agent. Zero selects the defaults of
 * agent_fixture_init. */
struct FixtureSetup {
    /* Other agents of the pool. */
    uint32_t members;
    /* Settings of the service. */
    uint32_t slots;
    uint32_t flows;
    uint32_t queue;
    uint32_t rate_per_s;
    uint32_t ramp_ms;
    uint32_t drain_flow_ms;
    /* The service has no operations but FIXTURE_LONG. */
    bool is_long_only;
};

/* Message that the agent has sent to a member. */
struct FixtureSentMessage {
    struct GbAddress to;
    struct GbMessage message;
};

/* Agent with a manual clock and a port that records all its calls. */
struct AgentFixture {
    struct GbAgentPort port;
    struct GbManualClock clock;
    struct GbSeededRandom random;
    struct GbCounters counters;
    struct GbAgent agent;
    struct FixtureSetup setup;
    struct GbMessage replies[FIXTURE_EVENTS_MAX];
    struct GbReturnPath reply_paths[FIXTURE_EVENTS_MAX];
    uint32_t reply_count;
    struct FixtureSentMessage sent[FIXTURE_EVENTS_MAX];
    uint32_t sent_count;
    struct GbTargetRequest started[FIXTURE_EVENTS_MAX];
    uint32_t started_count;
    uint32_t cancelled_count;
};

/* Initialises an agent that has not received anything from its members yet.
 * Zero fields of setup stand for large limits, one slot, no ramp and a
 * drain_flow_ms of 2000. */
void agent_fixture_init(struct AgentFixture *self,
                        const struct FixtureSetup *setup);

void agent_fixture_finish(struct AgentFixture *self);

/* Gives the agent a new view. The bits of leaving mark instances that are
 * leaving: bit 0 the agent itself, bit i member i. */
void agent_fixture_set_view(struct AgentFixture *self, uint64_t leaving);

/* Address and instance id of a member, counted from 1; 0 is the agent. */
struct GbAddress agent_fixture_address(uint32_t member);
uint64_t agent_fixture_instance_id(uint32_t member);

/* Delivers a message from a member to the agent. Fills in the service and the
 * token of the member. */
void agent_fixture_receive_from_member(struct AgentFixture *self,
                                       uint32_t member,
                                       struct GbMessage *message);

/* Delivers an ALIVE from a member. */
void agent_fixture_receive_alive(struct AgentFixture *self, uint32_t member,
                                 const struct GbLoad *load);

/* Delivers a message from a caller to the agent. token may be NULL; operation
 * is used for a CALL only. */
void agent_fixture_receive_from_caller(struct AgentFixture *self,
                                       enum GbMessageKind kind,
                                       uint64_t flow_id, uint32_t request_id,
                                       enum FixtureOperation operation,
                                       const struct GbToken *token);

/* Delivers a CALL from a caller. */
void agent_fixture_call(struct AgentFixture *self, uint64_t flow_id,
                        uint32_t request_id, enum FixtureOperation operation,
                        const struct GbToken *token);

/* Delivers a FETCH that acknowledges the whole response and requests no more
 * data. */
void agent_fixture_acknowledge(struct AgentFixture *self, uint64_t flow_id,
                               uint32_t request_id,
                               const struct GbToken *token);

/* Binds a flow with a CALL of FIXTURE_WRITE and returns its token. */
struct GbToken agent_fixture_bind(struct AgentFixture *self, uint64_t flow_id,
                                  uint32_t request_id);

/* Completes a request at the target with a response of a few bytes. index
 * counts the started requests from 0. */
void agent_fixture_respond(struct AgentFixture *self, uint32_t index);

/* Ends a request at the target with an outcome and without a response. */
void agent_fixture_end_request(struct AgentFixture *self, uint32_t index,
                               enum GbTargetOutcome outcome);

/* Advances the clock and calls GbAgent_Tick whenever a timer is due. */
void agent_fixture_advance(struct AgentFixture *self, int64_t delta_us);

/* Advances the clock without ticks, as if the process had been paused. */
void agent_fixture_pause(struct AgentFixture *self, int64_t delta_us);

/* Latest reply to a caller. Fails the test if there is none. */
const struct GbMessage *
agent_fixture_last_reply(const struct AgentFixture *self);

/* Fail the test unless the latest reply is a NOT_RUN or an UNKNOWN, with this
 * reason and for this request. */
void agent_fixture_assert_not_run(const struct AgentFixture *self,
                                  uint32_t request_id,
                                  enum GbNotRunReason reason);
void agent_fixture_assert_unknown(const struct AgentFixture *self,
                                  uint32_t request_id,
                                  enum GbUnknownReason reason);

/* Number of messages of one kind that the agent has sent to members. */
uint32_t agent_fixture_count_sent(const struct AgentFixture *self,
                                  enum GbMessageKind kind);

/* Latest message of one kind sent to a member; NULL if there is none. */
const struct FixtureSentMessage *
agent_fixture_last_sent(const struct AgentFixture *self,
                        enum GbMessageKind kind);

/* Delivers a LOAD_REPORT from every member that the latest LOAD_ASK was sent
 * to. loads is indexed by member, from 1. */
void agent_fixture_receive_load_reports(struct AgentFixture *self,
                                        const struct GbLoad *loads);

#endif
