#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "programs/command.h"
#include "transport/process.h"

#define PROGRAM "guavabend"

static const struct GbCommand commands[] = {
    {"audit", "Show the audit records of balancers and agents.",
     GbCommand_Audit},
    {"call", "Call an operation of a service through balancers.",
     GbCommand_Call},
    {"load", "Generate a bounded load of calls and report the results.",
     GbCommand_Load},
    {"check", "Validate a document and report all errors.", GbCommand_Check},
    {"diff", "Show the differences between two documents.", GbCommand_Diff},
    {"explain", "Show the history of a flow from logs on standard input.",
     GbCommand_Explain},
    {"promote",
     "Check that a document in force in trial may go to production.",
     GbCommand_Promote},
    {"status", "Show which document is in force on balancers and agents.",
     GbCommand_Status},
};

static void
print_usage(FILE *out)
{
    fprintf(out, "Usage: %s COMMAND [--SETTING VALUE]...\n\n", PROGRAM);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].summary);
    }
    fprintf(out, "\n%s COMMAND --help lists the settings of a command.\n",
            PROGRAM);
}

int
main(int argc, char **argv)
{
    if (sodium_init() < 0) {
        return GB_EXIT_FAILURE;
    }
    GbProcess_BlockStopSignals();
    for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return commands[i].run(argc - 1, argv + 1);
        }
    }
    if (argc > 1 && strcmp(argv[1], "--version") == 0) {
        printf("%s %s\n", PROGRAM, GB_VERSION);
        return GB_EXIT_SUCCESS;
    }
    if (argc > 1 && strcmp(argv[1], "--help") == 0) {
        print_usage(stdout);
        return GB_EXIT_SUCCESS;
    }
    print_usage(stderr);
    return GB_EXIT_USAGE;
}
