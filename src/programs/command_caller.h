#ifndef GB_PROGRAMS_COMMAND_CALLER_H
#define GB_PROGRAMS_COMMAND_CALLER_H

#include "transport/caller_task.h"
#include "transport/settings.h"

/* Settings of the commands that call; first member of their own. */
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
         "Balancers to send through."},                                       \
    {                                                                         \
        "service", GB_SETTING_TEXT,                                           \
            offsetof(struct GbCommandCallerSettings, service), NULL, 0, 0,    \
            "name", "Service to call."                                        \
    }

/* Caller's side of a command: the document, its service and a running
 * task. */
struct GbCommandCaller {
    const char *program;
    struct GbSystemClock clock;
    struct GbDocument *document;
    const struct GbService *service;
    struct GbCallerTask task;
};

/* Reads the document and starts the task. Returns GB_EXIT_SUCCESS, or the exit
 * code after a line to standard error. */
int GbCommandCaller_Open(struct GbCommandCaller *self, const char *program,
                         const struct GbCommandCallerSettings *settings);

/* Operation of the service; NULL after a line to standard error. */
const struct GbOperation *
GbCommandCaller_Operation(const struct GbCommandCaller *self,
                          const char *name);

/* Waits for an outcome. NULL after timeout_ms, or earlier when the process is
 * asked to stop; *is_stopped tells. */
struct GbCallOutcome *GbCommandCaller_Wait(struct GbCommandCaller *self,
                                           uint32_t timeout_ms,
                                           bool *is_stopped);

/* Ends the task. */
void GbCommandCaller_Close(struct GbCommandCaller *self);

/* Word for the reason of an outcome that is not an answer. */
const char *GbCommandCaller_Reason(const struct GbCallerResult *result);

#endif
