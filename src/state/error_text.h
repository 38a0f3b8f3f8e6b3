#ifndef GB_STATE_ERROR_TEXT_H
#define GB_STATE_ERROR_TEXT_H

#define GB_ERROR_TEXT_BYTES 256

/* Text that explains the status of a failed call. The caller owns it; a
 * successful call leaves it unchanged. */
struct GbErrorText {
    char text[GB_ERROR_TEXT_BYTES];
};

/* Sets the text, truncated to the buffer size. self may be NULL. */
void GbErrorText_Set(struct GbErrorText *self, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
