#include "programs/command_caller.h"

#include <stdio.h>

#include "programs/command.h"
#include "transport/process.h"

/* Interval at which a wait checks for stop signals. */
#define STOP_CHECK_MS 100

int
GbCommandCaller_Open(struct GbCommandCaller *self, const char *program,
                     const struct GbCommandCallerSettings *settings)
{
    struct GbErrorText error;

    self->program = program;
    self->document = GbCommand_ReadDocument(program, settings->document);
    if (self->document == NULL) {
        return GB_EXIT_FAILURE;
    }
    self->service =
        GbDocument_FindServiceByName(self->document, settings->service);
    if (self->service == NULL) {
        fprintf(stderr,
                "%s: setting service is \"%s\", must be a service of the "
                "document\n",
                program, settings->service);
        GbDocument_Unref(self->document);
        return GB_EXIT_USAGE;
    }
    GbSystemClock_Init(&self->clock);
    GbCallerTask_Init(&self->task, self->document, self->service,
                      &self->clock.super);
    for (uint32_t i = 0; i < settings->balancers.count; i++) {
        GbCallerTask_AddBalancer(&self->task, &settings->balancers.items[i]);
    }
    if (GbTask_Open(&self->task.super, &error) != GB_TRANSPORT_OK ||
        GbTask_Start(&self->task.super, &error) != GB_TRANSPORT_OK) {
        fprintf(stderr, "%s: %s\n", program, error.text);
        GbCommandCaller_Close(self);
        return GB_EXIT_FAILURE;
    }
    return GB_EXIT_SUCCESS;
}

const struct GbOperation *
GbCommandCaller_FindOperation(const struct GbCommandCaller *self,
                              const char *name)
{
    const struct GbOperation *operation =
        GbService_FindOperationByName(self->service, name);

    if (operation == NULL) {
        fprintf(stderr,
                "%s: there is no operation \"%s\" of service %s in the "
                "document\n",
                self->program, name, self->service->name);
    }
    return operation;
}

struct GbCallOutcome *
GbCommandCaller_WaitForOutcome(struct GbCommandCaller *self,
                               uint32_t timeout_ms, bool *is_stopped)
{
    struct GbCallOutcome *outcome = NULL;
    uint32_t waited_ms = 0;

    while (outcome == NULL && waited_ms < timeout_ms &&
           !(*is_stopped = GbProcess_IsStopRequested())) {
        uint32_t step_ms = MIN(timeout_ms - waited_ms, STOP_CHECK_MS);

        outcome = GbCallerTask_WaitForOutcome(&self->task, step_ms);
        waited_ms += step_ms;
    }
    return outcome;
}

void
GbCommandCaller_Close(struct GbCommandCaller *self)
{
    GbTask_Close(&self->task.super);
    GbDocument_Unref(self->document);
}

const char *
GbCommandCaller_ReasonName(const struct GbCallerResult *result)
{
    static const char no_reply[] = "NO_REPLY";

    if (result->outcome == GB_OUTCOME_NOT_RUN) {
        return result->not_run_reason != 0
                   ? GbMessage_NotRunName(result->not_run_reason)
                   : no_reply;
    }
    return result->unknown_reason != 0
               ? GbMessage_UnknownName(result->unknown_reason)
               : no_reply;
}
