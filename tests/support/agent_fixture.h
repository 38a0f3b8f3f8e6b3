#ifndef GB_TESTS_SUPPORT_AGENT_FIXTURE_H
#define GB_TESTS_SUPPORT_AGENT_FIXTURE_H

#include "coordination/calls/agent.h"

#define FIXTURE_SERVICE 7
#define FIXTURE_EVENTS_MAX 2048

enum FixtureOperation {
    /* Short, idempotent, deadline 1 s. */
    FIXTURE_LOOK = 1,
    /* Short, not idempotent, deadline 1 s. */
    FIXTURE_BUY,
    /* Long, idempotent, deadline 30 s. */
    FIXTURE_PACK
};

struct FixtureSetup {
    uint32_t members;
    uint32_t slots;
    uint32_t flows;
    uint32_t queue;
    uint32_t rate_per_s;
    uint32_t ramp_ms;
    uint32_t drain_flow_ms;
    /* The service has FIXTURE_PACK only. */
    bool is_long_only;
};

/* Message that the agent has sent to a member. */
struct FixtureSent {
    struct GbAddress to;
    struct GbMessage message;
};

/* Agent with a manual clock and a port that records what it is asked for. */
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
    struct FixtureSent sent[FIXTURE_EVENTS_MAX];
    uint32_t sent_count;
    struct GbTargetRequest started[FIXTURE_EVENTS_MAX];
    uint32_t started_count;
    uint32_t cancelled_count;
};

/* Starts an agent, with zero fields of setup replaced by large limits, one
 * slot and no ramp. No member has been heard yet. */
void agent_fixture_init(struct AgentFixture *self,
                        const struct FixtureSetup *setup);

void agent_fixture_finish(struct AgentFixture *self);

/* Publishes a view. A bit of leaving marks an instance; bit 0 is the agent
 * itself and bit i the member i. */
void agent_fixture_set_view(struct AgentFixture *self, uint64_t leaving);

/* Address and instance id of a member, from 1. */
struct GbAddress agent_fixture_address(uint32_t member);
uint64_t agent_fixture_instance_id(uint32_t member);

/* Delivers a message of a member. */
void agent_fixture_receive(struct AgentFixture *self, uint32_t member,
                           struct GbMessage *message);

/* Delivers an ALIVE of a member. */
void agent_fixture_alive(struct AgentFixture *self, uint32_t member,
                         const struct GbLoad *load);

/* Delivers a message of a caller under token, which may be NULL. */
void agent_fixture_send(struct AgentFixture *self, enum GbMessageKind kind,
                        uint64_t flow_id, uint32_t request_id,
                        enum FixtureOperation operation,
                        const struct GbToken *token);

/* Delivers a CALL of a caller. */
void agent_fixture_call(struct AgentFixture *self, uint64_t flow_id,
                        uint32_t request_id, enum FixtureOperation operation,
                        const struct GbToken *token);

/* Delivers a FETCH that acknowledges the whole answer and asks for nothing. */
void agent_fixture_acknowledge(struct AgentFixture *self, uint64_t flow_id,
                               uint32_t request_id,
                               const struct GbToken *token);

/* Binds a flow with FIXTURE_BUY and returns its token. */
struct GbToken agent_fixture_bind(struct AgentFixture *self, uint64_t flow_id,
                                  uint32_t request_id);

/* The target answers work with a few bytes and ends it. The index counts
 * works in the order of their start. */
void agent_fixture_answer(struct AgentFixture *self, uint32_t index);

void agent_fixture_end(struct AgentFixture *self, uint32_t index,
                       enum GbTargetOutcome end);

/* Moves the clock and ticks whenever the agent asks for it. */
void agent_fixture_advance(struct AgentFixture *self, int64_t delta_us);

/* Moves the clock without ticks, as when the process was paused. */
void agent_fixture_pause(struct AgentFixture *self, int64_t delta_us);

/* Latest reply to a caller; fails the test if there is none. */
const struct GbMessage *
agent_fixture_last_reply(const struct AgentFixture *self);

/* Fails the test unless the latest reply is a NOT_RUN or an UNKNOWN with this
 * reason for the request. */
void agent_fixture_assert_not_run(const struct AgentFixture *self,
                                  uint32_t request_id,
                                  enum GbNotRunReason reason);
void agent_fixture_assert_unknown(const struct AgentFixture *self,
                                  uint32_t request_id,
                                  enum GbUnknownReason reason);

/* Messages of one kind sent to members since the start. */
uint32_t agent_fixture_count_sent(const struct AgentFixture *self,
                                  enum GbMessageKind kind);

/* Latest message of one kind sent to a member; NULL if there is none. */
const struct FixtureSent *
agent_fixture_last_sent(const struct AgentFixture *self,
                        enum GbMessageKind kind);

/* Answers the latest question for load in the name of every member asked.
 * loads is indexed by member, from 1. */
void agent_fixture_report(struct AgentFixture *self,
                          const struct GbLoad *loads);

#endif
