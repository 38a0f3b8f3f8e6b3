#include "transport/process.h"

#include <pthread.h>
#include <signal.h>

static void
init_stop_signals(sigset_t *set)
{
    sigemptyset(set);
    sigaddset(set, SIGTERM);
    sigaddset(set, SIGINT);
}

static int
wait_for_signal(const sigset_t *set)
{
    int signal_number = 0;

    while (sigwait(set, &signal_number) != 0) {
    }
    return signal_number;
}

void
GbProcess_BlockStopSignals(void)
{
    sigset_t set;

    init_stop_signals(&set);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

int
GbProcess_WaitForStopSignal(void)
{
    sigset_t set;

    init_stop_signals(&set);
    return wait_for_signal(&set);
}

void
GbProcess_BlockStopAndReloadSignals(void)
{
    sigset_t set;

    GbProcess_BlockStopSignals();
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

int
GbProcess_WaitForStopOrReloadSignal(void)
{
    sigset_t set;

    init_stop_signals(&set);
    sigaddset(&set, SIGHUP);
    return wait_for_signal(&set);
}

bool
GbProcess_IsStopRequested(void)
{
    static const struct timespec no_wait = {0, 0};
    sigset_t set;

    init_stop_signals(&set);
    return sigtimedwait(&set, NULL, &no_wait) > 0;
}
