#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* Event loop, child processes and record of a case. All times are in
 * milliseconds of the monotonic clock since the start of the case. */

#define LAB_PATH_BYTES 512
#define LAB_IP_BYTES 24

/* Exit codes of a case. */
#define LAB_HELD 0
#define LAB_BROKEN 1
#define LAB_FAILED 2

typedef void (*LabCallback)(int fd, void *context);

struct LabProcess {
    char name[64];
    char settings[LAB_PATH_BYTES];
    char log[LAB_PATH_BYTES];
    const char *role;
    pid_t pid;
};

/* Opens record.txt in folder and makes a temporary folder. */
void Lab_Open(const char *folder);

/* Ends all processes, removes the temporary folder, closes the record and
 * returns the code. */
int Lab_Close(int code);

int64_t Lab_NowMs(void);

/* Appends a line to the record. */
void Lab_Record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Records the reason and exits with LAB_FAILED. */
void Lab_Fail(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

/* Calls back when fd can be read. */
void Lab_Watch(int fd, LabCallback callback, void *context);

void Lab_Unwatch(int fd);

/* Calls back every 5 ms. */
void Lab_AddTicker(void (*tick)(void *context), void *context);

void Lab_RunUntil(int64_t at_ms);

const char *Lab_Folder(void);

struct sockaddr_in Lab_Address(const char *ip, uint16_t port);

/* Returns a bound UDP socket, or -1. */
int Lab_BindUdp(const char *ip, uint16_t port);

/* Starts target/guavabend-platform with the settings file of the process. */
void Lab_Start(struct LabProcess *process);

void Lab_Signal(struct LabProcess *process, int number);

/* Returns true if the process has ended, and reaps it. */
bool Lab_HasEnded(struct LabProcess *process);

#endif
