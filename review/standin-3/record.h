#ifndef STANDIN_RECORD_H
#define STANDIN_RECORD_H

/* Opens the file that takes the record. */
void Record_Open(const char *path);

/* Writes a line that begins with the milliseconds since the start. */
void Record_Line(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

void Record_Close(void);

#endif
