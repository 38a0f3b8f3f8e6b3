#ifndef GB_SUPPORT_SIM_TARGET_H
#define GB_SUPPORT_SIM_TARGET_H

#include "coordination/calls/agent.h"
#include "coordination/calls/agent_port.h"
#include "support/sim_events.h"
#include "support/sim_network.h"

#define GB_SIM_KEY_BYTES 32

/* One request that a target ran. */
struct GbSimRun {
    /* Body of the caller. */
    char key[GB_SIM_KEY_BYTES];
    char instance[GB_SIM_NAME_BYTES];
    char service[GB_SIM_NAME_BYTES];
    char operation[GB_SIM_NAME_BYTES];
    int64_t at_us;
    /* Seed of the answer's bytes, which differ between runs so that a mixture
     * of two answers is noticed. */
    uint64_t answer_seed;
    uint32_t answer_bytes;
};

/* What a target does to its agent. */
struct GbSimTargetEvents;

struct GbSimTargetEventsClass {
    void (*answered)(struct GbSimTargetEvents *self, uint64_t work_id,
                     uint16_t target_status);
    void (*sent)(struct GbSimTargetEvents *self, uint64_t work_id,
                 struct GbBytes bytes);
    void (*ended)(struct GbSimTargetEvents *self, uint64_t work_id,
                  enum GbTargetOutcome end);
    /* The target begins to run a request. */
    void (*ran)(struct GbSimTargetEvents *self, const struct GbSimRun *run);
};

struct GbSimTargetEvents {
    const struct GbSimTargetEventsClass *klass;
};

/* Target with slots of its own. It shares no decision with its agent. */
struct GbSimTarget {
    char instance[GB_SIM_NAME_BYTES];
    char service[GB_SIM_NAME_BYTES];
    struct GbSimEvents *events;
    struct GbSimTargetEvents *listener;
    const int64_t *now_us;
    uint64_t *last_seed;
    uint32_t slots;
    int64_t work_us;
    uint32_t pack_bytes;
    /* Requests take ten times as long until then. */
    int64_t cold_until_us;
    /* Refuses with Not-Run. */
    bool is_shedding;
    /* Accepts no connections. */
    bool is_closed;
    /* Closes the connection in the middle of each answer. */
    bool is_cutting;
    uint32_t running;
    /* Struct Work by id. */
    GHashTable *works;
};

void GbSimTarget_Init(struct GbSimTarget *self, struct GbSimEvents *events,
                      struct GbSimTargetEvents *listener,
                      const int64_t *now_us, uint64_t *last_seed);

void GbSimTarget_Finish(struct GbSimTarget *self);

void GbSimTarget_Start(struct GbSimTarget *self,
                       const struct GbTargetRequest *call);

void GbSimTarget_Cancel(struct GbSimTarget *self, uint64_t work_id);

void GbSimTarget_Allow(struct GbSimTarget *self, uint64_t work_id,
                       uint32_t size_bytes);

/* Closes all connections. reports says whether the agent is still there to
 * be told. */
void GbSimTarget_DropAll(struct GbSimTarget *self, bool reports);

/* Writes the bytes of an answer. */
void GbSimRun_FillAnswer(const struct GbSimRun *self, uint8_t *data,
                         uint64_t offset, uint32_t size_bytes);

#endif
