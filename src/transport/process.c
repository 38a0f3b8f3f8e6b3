#include "transport/process.h"

#include <pthread.h>
#include <signal.h>

static void
stop_signals(sigset_t *set)
{
    sigemptyset(set);
    sigaddset(set, SIGTERM);
    sigaddset(set, SIGINT);
}

void
GbProcess_BlockSignals(void)
{
    sigset_t set;

    stop_signals(&set);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

int
GbProcess_WaitForStop(void)
{
    sigset_t set;
    int number = 0;

    stop_signals(&set);
    while (sigwait(&set, &number) != 0) {
    }
    return number;
}

bool
GbProcess_IsStopAsked(void)
{
    static const struct timespec at_once = {0, 0};
    sigset_t set;

    stop_signals(&set);
    return sigtimedwait(&set, NULL, &at_once) > 0;
}
