#ifndef GB_PROGRAMS_COMMAND_H
#define GB_PROGRAMS_COMMAND_H

#include "state/document.h"
#include "transport/settings.h"

/* No exit code: the settings are complete. */
#define GB_COMMAND_GO_ON (-1)

/* One command of the operators' program. */
struct GbCommand {
    const char *name;
    const char *summary;
    /* Returns an exit code. argv[0] is the name of the command. */
    int (*run)(int argc, char **argv);
};

int GbCommand_Audit(int argc, char **argv);
int GbCommand_Call(int argc, char **argv);
int GbCommand_Load(int argc, char **argv);
int GbCommand_Check(int argc, char **argv);
int GbCommand_Diff(int argc, char **argv);
int GbCommand_Explain(int argc, char **argv);
int GbCommand_Promote(int argc, char **argv);
int GbCommand_Status(int argc, char **argv);

/* Reads and checks a document. Errors go to standard error; NULL if there are
 * any. */
struct GbDocument *GbCommand_ReadDocument(const char *program,
                                          const char *path);

/* As GbSettings_Load; the first arguments without dashes are the values of
 * the settings named by positionals. Returns GB_COMMAND_GO_ON or an exit
 * code. */
int GbCommand_LoadSettings(const struct GbSetting *settings, size_t count,
                           const char *const *positionals,
                           size_t positional_count, const char *program,
                           int argc, char **argv, void *values);

#endif
