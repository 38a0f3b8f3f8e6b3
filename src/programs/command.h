#ifndef GB_PROGRAMS_COMMAND_H
#define GB_PROGRAMS_COMMAND_H

#include "state/document.h"

/* One command of the operators' program. */
struct GbCommand {
    const char *name;
    const char *summary;
    /* Returns an exit code. argv[0] is the name of the command. */
    int (*run)(int argc, char **argv);
};

int GbCommand_Call(int argc, char **argv);
int GbCommand_Load(int argc, char **argv);

/* Reads and checks a document. Errors go to standard error; NULL if there are
 * any. */
struct GbDocument *GbCommand_ReadDocument(const char *program,
                                          const char *path);

#endif
