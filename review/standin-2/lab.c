#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define WATCHES_MAX 512
#define TICKERS_MAX 16
#define PROCESSES_MAX 64
#define TICK_MS 5
#define MS_PER_SECOND 1000
#define NS_PER_MS 1000000
#define PROGRAM "target/guavabend-platform"
#define KILL_WAIT_US 20000

struct Watch {
    int fd;
    LabCallback callback;
    void *context;
};

struct Ticker {
    void (*tick)(void *context);
    void *context;
};

static struct Watch watches[WATCHES_MAX];
static int watch_count;
static struct Ticker tickers[TICKERS_MAX];
static int ticker_count;
static struct LabProcess *processes[PROCESSES_MAX];
static int process_count;
static FILE *record;
static char folder_path[LAB_PATH_BYTES];
static int64_t started_ms;

static int64_t
read_clock_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * MS_PER_SECOND + now.tv_nsec / NS_PER_MS;
}

static void
write_line(const char *format, va_list arguments)
{
    FILE *out = record != NULL ? record : stderr;

    fprintf(out, "%7lld ", (long long)Lab_NowMs());
    vfprintf(out, format, arguments);
    fputc('\n', out);
    fflush(out);
}

static void
end_processes(void)
{
    for (int i = 0; i < process_count; i++) {
        if (processes[i]->pid > 0) {
            kill(processes[i]->pid, SIGCONT);
            kill(processes[i]->pid, SIGKILL);
            waitpid(processes[i]->pid, NULL, 0);
            processes[i]->pid = 0;
        }
    }
}

static void
remove_folder(void)
{
    for (int i = 0; i < process_count; i++) {
        unlink(processes[i]->settings);
        unlink(processes[i]->log);
    }
    if (getenv("KEEP") == NULL) {
        rmdir(folder_path);
    }
}

static void
on_stop_signal(int number)
{
    (void)number;
    for (int i = 0; i < process_count; i++) {
        if (processes[i]->pid > 0) {
            kill(processes[i]->pid, SIGKILL);
        }
    }
    _exit(LAB_FAILED);
}

void
Lab_Open(const char *folder)
{
    char path[LAB_PATH_BYTES];
    const char *base = getenv("TMPDIR");

    started_ms = read_clock_ms();
    signal(SIGPIPE, SIG_IGN);
    signal(SIGTERM, on_stop_signal);
    signal(SIGINT, on_stop_signal);
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record = fopen(path, "w");
    snprintf(folder_path, sizeof(folder_path), "%s/review-XXXXXX",
             base != NULL ? base : "/tmp");
    if (record == NULL || mkdtemp(folder_path) == NULL) {
        Lab_Fail("cannot open the record or a temporary folder");
    }
}

int
Lab_Close(int code)
{
    static const char *const words[] = {"the rule held", "the rule was broken",
                                        "the case could not run"};

    end_processes();
    if (getenv("KEEP") == NULL) {
        remove_folder();
    }
    Lab_Record("result: %s", words[code]);
    printf("%s\n", words[code]);
    fclose(record);
    return code;
}

int64_t
Lab_NowMs(void)
{
    return read_clock_ms() - started_ms;
}

void
Lab_Record(const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    write_line(format, arguments);
    va_end(arguments);
}

void
Lab_Fail(const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    write_line(format, arguments);
    va_end(arguments);
    end_processes();
    fprintf(stderr, "the case could not run\n");
    exit(LAB_FAILED);
}

void
Lab_Watch(int fd, LabCallback callback, void *context)
{
    if (watch_count == WATCHES_MAX) {
        Lab_Fail("too many descriptors");
    }
    watches[watch_count++] = (struct Watch){fd, callback, context};
}

void
Lab_Unwatch(int fd)
{
    for (int i = 0; i < watch_count; i++) {
        if (watches[i].fd == fd) {
            watches[i] = watches[--watch_count];
            return;
        }
    }
}

void
Lab_AddTicker(void (*tick)(void *context), void *context)
{
    if (ticker_count == TICKERS_MAX) {
        Lab_Fail("too many tickers");
    }
    tickers[ticker_count++] = (struct Ticker){tick, context};
}

/* A callback may change the list, so that the watch is looked up again. */
static void
call_back(int fd)
{
    for (int i = 0; i < watch_count; i++) {
        if (watches[i].fd == fd) {
            watches[i].callback(fd, watches[i].context);
            return;
        }
    }
}

static void
poll_once(void)
{
    struct pollfd items[WATCHES_MAX];
    int count = watch_count;

    for (int i = 0; i < count; i++) {
        items[i] = (struct pollfd){.fd = watches[i].fd, .events = POLLIN};
    }
    if (poll(items, (nfds_t)count, TICK_MS) <= 0) {
        return;
    }
    for (int i = 0; i < count; i++) {
        if (items[i].revents != 0) {
            call_back(items[i].fd);
        }
    }
}

void
Lab_RunUntil(int64_t at_ms)
{
    static int64_t next_tick_ms;

    while (Lab_NowMs() < at_ms) {
        poll_once();
        if (Lab_NowMs() >= next_tick_ms) {
            next_tick_ms = Lab_NowMs() + TICK_MS;
            for (int i = 0; i < ticker_count; i++) {
                tickers[i].tick(tickers[i].context);
            }
        }
    }
}

const char *
Lab_Folder(void)
{
    return folder_path;
}

struct sockaddr_in
Lab_Address(const char *ip, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    if (inet_pton(AF_INET, ip, &address.sin_addr) != 1) {
        Lab_Fail("not an address: %s", ip);
    }
    address.sin_port = htons(port);
    return address;
}

int
Lab_BindUdp(const char *ip, uint16_t port)
{
    struct sockaddr_in address = Lab_Address(ip, port);
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    if (fd >= 0 &&
        bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Runs in the child. */
static void
run_program(struct LabProcess *process)
{
    char variable[LAB_PATH_BYTES + 32];
    char *arguments[] = {PROGRAM, (char *)process->role, NULL};
    char *environment[] = {variable, "PATH=/usr/bin:/bin", "HOME=/tmp",
                           "LANG=C", NULL};
    int fd =
        open(process->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

    snprintf(variable, sizeof(variable), "GUAVABEND_NODE_FILE=%s",
             process->settings);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execve(PROGRAM, arguments, environment);
    _exit(127);
}

void
Lab_Start(struct LabProcess *process)
{
    bool is_new = true;

    for (int i = 0; i < process_count; i++) {
        is_new = is_new && processes[i] != process;
    }
    if (is_new && process_count < PROCESSES_MAX) {
        processes[process_count++] = process;
    }
    process->pid = fork();
    if (process->pid < 0) {
        Lab_Fail("cannot start %s: %s", process->name, strerror(errno));
    }
    if (process->pid == 0) {
        run_program(process);
    }
    Lab_Record("start %s (%s %s) pid %d", process->name, PROGRAM,
               process->role, (int)process->pid);
}

void
Lab_Signal(struct LabProcess *process, int number)
{
    Lab_Record("signal %d to %s", number, process->name);
    if (process->pid > 0) {
        kill(process->pid, number);
    }
}

bool
Lab_HasEnded(struct LabProcess *process)
{
    int status;

    if (process->pid > 0 &&
        waitpid(process->pid, &status, WNOHANG) == process->pid) {
        Lab_Record("%s has ended: %s %d", process->name,
                   WIFEXITED(status) ? "exit code" : "signal",
                   WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
        process->pid = 0;
    }
    return process->pid == 0;
}
