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

static int
wait_for(const sigset_t *set)
{
    int number = 0;

    while (sigwait(set, &number) != 0) {
    }
    return number;
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

    stop_signals(&set);
    return wait_for(&set);
}

void
GbProcess_BlockReload(void)
{
    sigset_t set;

    GbProcess_BlockSignals();
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

int
GbProcess_WaitForSignal(void)
{
    sigset_t set;

    stop_signals(&set);
    sigaddset(&set, SIGHUP);
    return wait_for(&set);
}

bool
GbProcess_IsStopAsked(void)
{
    static const struct timespec at_once = {0, 0};
    sigset_t set;

    stop_signals(&set);
    return sigtimedwait(&set, NULL, &at_once) > 0;
}
