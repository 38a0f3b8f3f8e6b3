#ifndef GB_SUPPORT_SIMULATION_H
#define GB_SUPPORT_SIMULATION_H

#include "support/sim_process.h"

/* Points at which an observer may step in. */
enum GbSimStep {
    GB_SIM_BEFORE_SEND,
    GB_SIM_AFTER_SEND,
    GB_SIM_BEFORE_RECEIVE,
    GB_SIM_AFTER_RECEIVE,
    /* The agent gives a request to its target. */
    GB_SIM_BEFORE_START,
    GB_SIM_AFTER_START,
    /* The target has begun to run it. */
    GB_SIM_RUN,
    /* The agent hears of the target: head, bytes, end. */
    GB_SIM_BEFORE_TARGET_EVENT,
    GB_SIM_AFTER_TARGET_EVENT,
    /* The caller's program gets the outcome. */
    GB_SIM_DELIVER,
    GB_SIM_STEP_END
};

struct GbSimObserver;

struct GbSimObserverClass {
    /* process is in the middle of a step. It may be killed or paused here. */
    void (*step)(struct GbSimObserver *self, enum GbSimStep step,
                 struct GbSimProcess *process, struct GbBytes datagram);
};

struct GbSimObserver {
    const struct GbSimObserverClass *klass;
};

/* Call of a caller's program and its outcome. */
struct GbSimCall {
    char key[GB_SIM_KEY_BYTES];
    char label[GB_SIM_NAME_BYTES];
    struct GbSimProcess *caller;
    char operation[GB_SIM_NAME_BYTES];
    char service[GB_SIM_NAME_BYTES];
    bool is_idempotent;
    int64_t started_us;
    int64_t ended_us;
    uint32_t deliveries;
    /* The caller was killed: nobody waits for the outcome. */
    bool is_abandoned;
    enum GbCallerOutcome outcome;
    enum GbNotRunReason not_run;
    enum GbUnknownReason unknown;
    uint32_t submissions;
};

/* Many processes, their targets, network and platform in one thread, driven
 * by one seed. Every violation of an invariant is noted as it happens. */
struct GbSimulation {
    uint64_t seed;
    struct GbSeededRandom random;
    int64_t now_us;
    struct GbKeys keys;
    struct GbSimEventQueue events;
    struct GbSimNetwork network;
    struct GbSimPlatform platform;
    /* Struct GbSimProcess, in order of creation. */
    GPtrArray *processes;
    /* Struct GbSimRun: what all targets ran. */
    GArray *runs;
    /* Struct GbSimCall. */
    GPtrArray *calls;
    /* Text of each violation. */
    GPtrArray *violations;
    uint64_t last_response_seed;
    struct GbSimObserver *observer;
    /* Lines of everything that happened; NULL keeps none. */
    GString *trace;
};

/* keeps_trace costs time and memory. */
void GbSimulation_Init(struct GbSimulation *self, uint64_t seed,
                       bool keeps_trace);

void GbSimulation_Finish(struct GbSimulation *self);

/* Adds and starts a process and enters it into the platform's list. Returns
 * NULL if the name is taken by a process that runs. */
struct GbSimProcess *GbSimulation_StartProcess(struct GbSimulation *self,
                                               enum GbSimRole role,
                                               const char *name,
                                               const char *service);

/* As GbSimulation_StartProcess, at the address of a process that has ended. */
struct GbSimProcess *
GbSimulation_StartProcessAt(struct GbSimulation *self, enum GbSimRole role,
                            const char *name, const char *service,
                            const struct GbAddress *address);

/* Starts a process that has ended, after delay_us. */
void GbSimulation_RestartLater(struct GbSimulation *self,
                               struct GbSimProcess *process, int64_t delay_us);

/* Resumes a process after delay_us. */
void GbSimulation_ResumeLater(struct GbSimulation *self,
                              struct GbSimProcess *process, int64_t delay_us);

/* Removes all faults of the network after delay_us. */
void GbSimulation_HealLater(struct GbSimulation *self, int64_t delay_us);

/* Lets a target take work again after delay_us. */
void GbSimulation_RestoreTargetLater(struct GbSimulation *self,
                                     struct GbSimProcess *agent,
                                     int64_t delay_us);

/* Process by name; NULL if there is none. */
struct GbSimProcess *GbSimulation_FindProcess(const struct GbSimulation *self,
                                              const char *name);

/* Marks an instance as leaving in the platform's list, or takes it out. */
void GbSimulation_SetLeaving(struct GbSimulation *self, const char *name);
void GbSimulation_RemoveInstance(struct GbSimulation *self, const char *name);

/* Starts a call; NULL if its caller does not run. */
struct GbSimCall *GbSimulation_StartCall(struct GbSimulation *self,
                                         struct GbSimProcess *caller,
                                         const char *session,
                                         const char *operation,
                                         const char *label);

/* Runs everything up to and including a time. */
void GbSimulation_RunUntil(struct GbSimulation *self, int64_t at_us);

/* Runs until all calls have ended, or until a time. */
void GbSimulation_RunUntilCallsEnd(struct GbSimulation *self,
                                   int64_t until_us);

/* Adds what can only be said at the end: calls that did not end, processes
 * that have an old document in force. */
void GbSimulation_CheckFinalState(struct GbSimulation *self);

/* Runs of one call at targets. */
uint32_t GbSimulation_CountRuns(const struct GbSimulation *self,
                                const char *key);

/* For processes: notes what happened. */
void GbSimulation_Trace(struct GbSimulation *self, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
void GbSimulation_RecordViolation(struct GbSimulation *self,
                                  const char *format, ...) G_GNUC_PRINTF(2, 3);
void GbSimulation_NotifyObserver(struct GbSimulation *self,
                                 enum GbSimStep step,
                                 struct GbSimProcess *process,
                                 struct GbBytes datagram);
void GbSimulation_RecordRun(struct GbSimulation *self,
                            struct GbSimProcess *agent,
                            const struct GbSimRun *run);
void GbSimulation_RecordOutcome(struct GbSimulation *self,
                                struct GbSimCall *call,
                                const struct GbCallerResult *result);

#endif
