#include "record.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "wire.h"

static FILE *file;
static int64_t started_ms;

void
Record_Open(const char *path)
{
    file = fopen(path, "w");
    if (file == NULL) {
        perror(path);
        exit(2);
    }
    started_ms = Clock_Ms();
}

void
Record_Line(const char *format, ...)
{
    va_list arguments;

    fprintf(file, "%6" PRId64 " ", Clock_Ms() - started_ms);
    va_start(arguments, format);
    vfprintf(file, format, arguments);
    va_end(arguments);
    fputc('\n', file);
    fflush(file);
}

void
Record_Close(void)
{
    fclose(file);
}
