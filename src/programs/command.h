#ifndef GB_PROGRAMS_COMMAND_H
#define GB_PROGRAMS_COMMAND_H

#include "state/document.h"
#include "transport/settings.h"

/* Result of GbCommand_LoadSettings that is not an exit code: all settings are
 * loaded and the command continues. */
#define GB_COMMAND_CONTINUE (-1)

/* Command of the operators' program. */
struct GbCommand {
    const char *name;
    const char *summary;
    /* Runs the command and returns its exit code. argv[0] is the name of the
     * command. */
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

/* Reads and validates the document in the file at path. Returns NULL after
 * writing the errors to standard error. The caller releases the document with
 * GbDocument_Unref. */
struct GbDocument *GbCommand_ReadDocument(const char *program,
                                          const char *path);

/* Like GbSettings_Load, but also accepts positional arguments: leading
 * arguments that don't begin with a dash are the values of the settings named
 * in positionals, in that order. Returns GB_COMMAND_CONTINUE, or the exit code
 * with which the command ends. */
int GbCommand_LoadSettings(const struct GbSetting *settings, size_t count,
                           const char *const *positionals,
                           size_t positional_count, const char *program,
                           int argc, char **argv, void *values);

#endif
