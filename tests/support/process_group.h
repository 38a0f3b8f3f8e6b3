#ifndef GB_TEST_PROCESS_GROUP_H
#define GB_TEST_PROCESS_GROUP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* Child process of a test. */
struct GbChildProcess {
    char *name;
    pid_t pid;
    /* File that receives standard output and standard error. */
    char *output_path;
    bool has_exited;
    /* Status from waitpid; valid if has_exited is set. */
    int wait_status;
};

/* Child processes of a test. If the thread that started them ends before
 * Finish, the kernel kills them. */
struct GbProcessGroup {
    char *build_dir;
    /* Temporary directory of the group. */
    char *folder;
    /* Of struct GbChildProcess. */
    GPtrArray *processes;
};

/* build_dir is the directory that programs are started from. */
void GbProcessGroup_Init(struct GbProcessGroup *self, const char *build_dir);

/* Kills the processes that are still running, by their ids, and deletes the
 * output files. */
void GbProcessGroup_Finish(struct GbProcessGroup *self);

/* Starts a program. arguments ends with NULL and doesn't include the name of
 * the program. */
struct GbChildProcess *GbProcessGroup_Start(struct GbProcessGroup *self,
                                            const char *name,
                                            const char *program,
                                            const char *const *arguments);

/* Returns the path of a file in the directory of the group; freed with
 * g_free. */
char *GbProcessGroup_Path(const struct GbProcessGroup *self, const char *name);

void GbChildProcess_Signal(struct GbChildProcess *self, int number);

/* Waits until the process has exited. Returns false after timeout_ms. */
bool GbChildProcess_WaitExit(struct GbChildProcess *self, uint32_t timeout_ms);

/* Returns the exit code; -1 if the process is running or was terminated by a
 * signal. */
int GbChildProcess_ExitCode(const struct GbChildProcess *self);

/* Returns what the process has written so far; freed with g_free. */
char *GbChildProcess_ReadOutput(const struct GbChildProcess *self);

/* Waits until the output has a line with marker, and returns the port number
 * that follows it. Returns 0 after timeout_ms or if the process exits. */
uint16_t GbChildProcess_WaitPort(struct GbChildProcess *self,
                                 const char *marker, uint32_t timeout_ms);

#endif
