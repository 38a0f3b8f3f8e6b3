#include "state/error_text.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

void
GbErrorText_Set(struct GbErrorText *self, const char *format, ...)
{
    va_list arguments;

    if (self == NULL) {
        return;
    }
    va_start(arguments, format);
    vsnprintf(self->text, sizeof(self->text), format, arguments);
    va_end(arguments);
}
