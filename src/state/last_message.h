#ifndef GB_STATE_LAST_MESSAGE_H
#define GB_STATE_LAST_MESSAGE_H

#define GB_LAST_MESSAGE_BYTES 256

/* Text that explains the last status of a call that failed. The caller owns
 * it; a call that succeeds leaves it alone. */
struct GbLastMessage {
    char text[GB_LAST_MESSAGE_BYTES];
};

/* Sets the text, cut to the size of the buffer. self may be NULL. */
void GbLastMessage_Set(struct GbLastMessage *self, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
