#include <poll.h>

#include "world.h"

#define FDS_MAX 512
#define POLL_MS 2

struct Watch {
    void (*readable)(void *context);
    void *context;
};

static struct pollfd fds[FDS_MAX];
static struct Watch watches[FDS_MAX];
static nfds_t fd_count;

void
loop_add(int fd, void (*readable)(void *context), void *context)
{
    if (fd_count == FDS_MAX) {
        cannot_run("too many sockets");
    }
    fds[fd_count] = (struct pollfd){.fd = fd, .events = POLLIN};
    watches[fd_count] = (struct Watch){readable, context};
    fd_count++;
}

void
loop_remove(int fd)
{
    for (nfds_t i = 0; i < fd_count; i++) {
        if (fds[i].fd == fd) {
            fd_count--;
            fds[i] = fds[fd_count];
            watches[i] = watches[fd_count];
            return;
        }
    }
}

static void
turn(void)
{
    struct pollfd ready[FDS_MAX];
    nfds_t count = fd_count;

    if (poll(fds, fd_count, POLL_MS) > 0) {
        for (nfds_t i = 0; i < count; i++) {
            ready[i] = fds[i];
        }
        for (nfds_t i = 0; i < count; i++) {
            if (ready[i].revents == 0) {
                continue;
            }
            /* A callback may have removed or moved an entry. */
            for (nfds_t at = 0; at < fd_count; at++) {
                if (fds[at].fd == ready[i].fd) {
                    watches[at].readable(watches[at].context);
                    break;
                }
            }
        }
    }
    store_tick();
    hosts_tick();
    nodes_tick();
    clients_tick();
}

void
loop_run_for(int64_t duration_ms)
{
    int64_t end_ms = now_ms() + duration_ms;

    while (now_ms() < end_ms) {
        turn();
    }
}

bool
loop_run_until(bool (*condition)(void), int64_t limit_ms)
{
    int64_t end_ms = now_ms() + limit_ms;

    while (!condition()) {
        if (now_ms() >= end_ms) {
            return false;
        }
        turn();
    }
    return true;
}
