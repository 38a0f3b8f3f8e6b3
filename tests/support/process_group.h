#ifndef GB_TEST_PROCESS_GROUP_H
#define GB_TEST_PROCESS_GROUP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* One process that a test has started. */
struct GbChildProcess {
    char *name;
    pid_t pid;
    /* File with its standard output and standard error. */
    char *output_path;
    bool has_exited;
    /* As waitpid gives it; set once it has exited. */
    int wait_status;
};

/* Processes that a test has started. They end with the test in any case: the
 * kernel ends them when the test's thread ends before Finish. */
struct GbProcessGroup {
    char *build_dir;
    char *folder;
    /* Struct GbChildProcess. */
    GPtrArray *processes;
};

/* Programs are started from build_dir. */
void GbProcessGroup_Init(struct GbProcessGroup *self, const char *build_dir);

/* Ends the processes that still run, by their ids, and drops their output. */
void GbProcessGroup_Finish(struct GbProcessGroup *self);

/* Starts a program. arguments ends with NULL and leaves out the program's
 * name. */
struct GbChildProcess *GbProcessGroup_Start(struct GbProcessGroup *self,
                                            const char *name,
                                            const char *program,
                                            const char *const *arguments);

/* Path of a file in the folder of the group; freed with g_free. */
char *GbProcessGroup_Path(const struct GbProcessGroup *self, const char *name);

void GbChildProcess_Signal(struct GbChildProcess *self, int number);

/* Waits for the end of the process. Returns false after timeout_ms. */
bool GbChildProcess_WaitExit(struct GbChildProcess *self, uint32_t timeout_ms);

/* Exit code; -1 if the process runs or was ended by a signal. */
int GbChildProcess_ExitCode(const struct GbChildProcess *self);

/* What the process has written so far; freed with g_free. */
char *GbChildProcess_ReadOutput(const struct GbChildProcess *self);

/* Waits until the output has a line with marker, and returns the number that
 * follows it. Returns 0 after timeout_ms or when the process ends. */
uint16_t GbChildProcess_WaitPort(struct GbChildProcess *self,
                                 const char *marker, uint32_t timeout_ms);

#endif
