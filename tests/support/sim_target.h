#ifndef GB_SUPPORT_SIM_TARGET_H
#define GB_SUPPORT_SIM_TARGET_H

#include "coordination/calls/agent.h"
#include "coordination/calls/agent_port.h"
#include "support/sim_event_queue.h"
#include "support/sim_network.h"

#define GB_SIM_KEY_BYTES 32

/* Record of a request that a target ran. */
struct GbSimRun {
    /* Body of the request. */
    char key[GB_SIM_KEY_BYTES];
    char instance[GB_SIM_NAME_BYTES];
    char service[GB_SIM_NAME_BYTES];
    char operation[GB_SIM_NAME_BYTES];
    int64_t at_us;
    /* Seed of the bytes of the response. They differ between runs, so that a
     * mixture of two responses is detected. */
    uint64_t response_seed;
    uint32_t response_bytes;
};

/* Receives the events of a target, on behalf of its agent. */
struct GbSimTargetListener;

struct GbSimTargetListenerClass {
    void (*head_sent)(struct GbSimTargetListener *self, uint64_t work_id,
                      uint16_t target_status);
    void (*bytes_sent)(struct GbSimTargetListener *self, uint64_t work_id,
                       struct GbBytes bytes);
    void (*ended)(struct GbSimTargetListener *self, uint64_t work_id,
                  enum GbTargetOutcome outcome);
    /* The target has started to run a request. */
    void (*run_started)(struct GbSimTargetListener *self,
                        const struct GbSimRun *run);
};

struct GbSimTargetListener {
    const struct GbSimTargetListenerClass *klass;
};

/* Simulated target. It enforces its own slots, independently of its agent. */
struct GbSimTarget {
    char instance[GB_SIM_NAME_BYTES];
    char service[GB_SIM_NAME_BYTES];
    struct GbSimEventQueue *events;
    struct GbSimTargetListener *listener;
    const int64_t *now_us;
    uint64_t *last_response_seed;
    uint32_t slots;
    int64_t service_time_us;
    uint32_t pack_bytes;
    /* Requests that start before this time take ten times as long. */
    int64_t cold_until_us;
    /* Refuses requests with Not-Run. */
    bool is_shedding;
    /* Accepts no connections. */
    bool refuses_connections;
    /* Closes the connection in the middle of each response. */
    bool aborts_responses;
    /* Number of requests that occupy a slot. */
    uint32_t running_count;
    /* Struct TargetRequest by id. */
    GHashTable *requests;
};

void GbSimTarget_Init(struct GbSimTarget *self, struct GbSimEventQueue *events,
                      struct GbSimTargetListener *listener,
                      const int64_t *now_us, uint64_t *last_response_seed);

void GbSimTarget_Finish(struct GbSimTarget *self);

void GbSimTarget_Start(struct GbSimTarget *self,
                       const struct GbTargetRequest *request);

void GbSimTarget_Cancel(struct GbSimTarget *self, uint64_t work_id);

/* Allows the target to send that many more bytes of the response. */
void GbSimTarget_ExtendWindow(struct GbSimTarget *self, uint64_t work_id,
                              uint32_t size_bytes);

/* Closes all connections. If notifies_agent is set, the agent receives the end
 * of each request; clear it if the agent has been killed. */
void GbSimTarget_CloseConnections(struct GbSimTarget *self,
                                  bool notifies_agent);

/* Writes the bytes of the response from offset on. */
void GbSimRun_FillResponse(const struct GbSimRun *self, uint8_t *data,
                           uint64_t offset, uint32_t size_bytes);

#endif
