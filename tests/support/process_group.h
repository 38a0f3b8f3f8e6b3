#ifndef GB_TEST_PROCESS_GROUP_H
#define GB_TEST_PROCESS_GROUP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* One process that a test has started. */
struct GbProcess {
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
    /* Struct GbProcess. */
    GPtrArray *processes;
};

/* Programs are started from build_dir. */
void GbProcessGroup_Init(struct GbProcessGroup *self, const char *build_dir);

/* Ends the processes that still run, by their ids, and drops their output. */
void GbProcessGroup_Finish(struct GbProcessGroup *self);

/* Starts a program. arguments ends with NULL and leaves out the program's
 * name. */
struct GbProcess *GbProcessGroup_Start(struct GbProcessGroup *self,
                                       const char *name, const char *program,
                                       const char *const *arguments);

/* Path of a file in the folder of the group; freed with g_free. */
char *GbProcessGroup_Path(const struct GbProcessGroup *self, const char *name);

void GbProcess_Signal(struct GbProcess *self, int number);

/* Waits for the end of the process. Returns false after timeout_ms. */
bool GbProcess_WaitExit(struct GbProcess *self, uint32_t timeout_ms);

/* Exit code; -1 if the process runs or was ended by a signal. */
int GbProcess_ExitCode(const struct GbProcess *self);

/* What the process has written so far; freed with g_free. */
char *GbProcess_Output(const struct GbProcess *self);

/* Waits until the output has a line with marker, and returns the number that
 * follows it. Returns 0 after timeout_ms or when the process ends. */
uint16_t GbProcess_WaitPort(struct GbProcess *self, const char *marker,
                            uint32_t timeout_ms);

#endif
