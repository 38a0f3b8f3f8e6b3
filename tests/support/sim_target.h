#ifndef GB_SUPPORT_SIM_TARGET_H
#define GB_SUPPORT_SIM_TARGET_H

#include "coordination/calls/agent.h"
#include "coordination/calls/agent_port.h"
#include "support/sim_event_queue.h"
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
    uint64_t response_seed;
    uint32_t response_bytes;
};

/* What a target does to its agent. */
struct GbSimTargetListener;

struct GbSimTargetListenerClass {
    void (*head_sent)(struct GbSimTargetListener *self, uint64_t work_id,
                      uint16_t target_status);
    void (*bytes_sent)(struct GbSimTargetListener *self, uint64_t work_id,
                       struct GbBytes bytes);
    void (*ended)(struct GbSimTargetListener *self, uint64_t work_id,
                  enum GbTargetOutcome end);
    /* The target begins to run a request. */
    void (*run_started)(struct GbSimTargetListener *self,
                        const struct GbSimRun *run);
};

struct GbSimTargetListener {
    const struct GbSimTargetListenerClass *klass;
};

/* Target with slots of its own. It shares no decision with its agent. */
struct GbSimTarget {
    char instance[GB_SIM_NAME_BYTES];
    char service[GB_SIM_NAME_BYTES];
    struct GbSimEventQueue *events;
    struct GbSimTargetListener *listener;
    const int64_t *now_us;
    uint64_t *last_response_seed;
    uint32_t slots;
    int64_t work_us;
    uint32_t pack_bytes;
    /* Requests take ten times as long until then. */
    int64_t cold_until_us;
    /* Refuses with Not-Run. */
    bool is_shedding;
    /* Accepts no connections. */
    bool refuses_connections;
    /* Closes the connection in the middle of each answer. */
    bool aborts_responses;
    uint32_t running_count;
    /* Struct Work by id. */
    GHashTable *requests;
};

void GbSimTarget_Init(struct GbSimTarget *self, struct GbSimEventQueue *events,
                      struct GbSimTargetListener *listener,
                      const int64_t *now_us, uint64_t *last_seed);

void GbSimTarget_Finish(struct GbSimTarget *self);

void GbSimTarget_Start(struct GbSimTarget *self,
                       const struct GbTargetRequest *call);

void GbSimTarget_Cancel(struct GbSimTarget *self, uint64_t work_id);

void GbSimTarget_ExtendWindow(struct GbSimTarget *self, uint64_t work_id,
                              uint32_t size_bytes);

/* Closes all connections. reports says whether the agent is still there to
 * be told. */
void GbSimTarget_CloseConnections(struct GbSimTarget *self, bool reports);

/* Writes the bytes of an answer. */
void GbSimRun_FillResponse(const struct GbSimRun *self, uint8_t *data,
                           uint64_t offset, uint32_t size_bytes);

#endif
