#ifndef GB_PROGRAMS_COMMAND_CALLER_H
#define GB_PROGRAMS_COMMAND_CALLER_H

#include "transport/caller_task.h"
#include "transport/settings.h"

/* Settings that the calling commands share. First member of a command's own
 * settings. */
struct GbCommandCallerSettings {
    char document[GB_SETTING_TEXT_BYTES];
    struct GbAddressList balancers;
    char service[GB_SETTING_TEXT_BYTES];
};

#define GB_COMMAND_CALLER_SETTINGS                                            \
    {"document",                                                              \
     GB_SETTING_TEXT,                                                         \
     offsetof(struct GbCommandCallerSettings, document),                      \
     NULL,                                                                    \
     0,                                                                       \
     0,                                                                       \
     "file",                                                                  \
     "Environment document."},                                                \
        {"balancers",                                                         \
         GB_SETTING_ADDRESSES,                                                \
         offsetof(struct GbCommandCallerSettings, balancers),                 \
         NULL,                                                                \
         0,                                                                   \
         0,                                                                   \
         "ipv4:port,...",                                                     \
         "Balancers through which calls are sent."},                          \
    {                                                                         \
        "service", GB_SETTING_TEXT,                                           \
            offsetof(struct GbCommandCallerSettings, service), NULL, 0, 0,    \
            "name", "Service to call."                                        \
    }

/* Caller that a command uses: the document, the called service and the running
 * caller task. */
struct GbCommandCaller {
    const char *program;
    struct GbSystemClock clock;
    struct GbDocument *document;
    const struct GbService *service;
    struct GbCallerTask task;
};

/* Reads the document and starts the caller task. Returns GB_EXIT_SUCCESS, or
 * another exit code after writing an error to standard error. program must
 * outlive self. */
int GbCommandCaller_Open(struct GbCommandCaller *self, const char *program,
                         const struct GbCommandCallerSettings *settings);

/* Returns the named operation of the service, or NULL after writing an error
 * to standard error. */
const struct GbOperation *
GbCommandCaller_FindOperation(const struct GbCommandCaller *self,
                              const char *name);

/* Waits for the outcome of a call. Returns NULL after timeout_ms, or earlier
 * if the process receives a stop signal, and then sets *is_stopped. The caller
 * releases the outcome with GbCallOutcome_Free. */
struct GbCallOutcome *
GbCommandCaller_WaitForOutcome(struct GbCommandCaller *self,
                               uint32_t timeout_ms, bool *is_stopped);

/* Stops the caller task and releases the document. */
void GbCommandCaller_Close(struct GbCommandCaller *self);

/* Returns the name of the reason why a call was not answered. */
const char *GbCommandCaller_ReasonName(const struct GbCallerResult *result);

#endif
