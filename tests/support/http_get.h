#ifndef GB_TEST_HTTP_GET_H
#define GB_TEST_HTTP_GET_H

#include <glib.h>
#include <stdint.h>

/* Reads a path from a server on loopback. Returns the HTTP status, or 0 if
 * there was no answer within two seconds. body may be NULL. */
int GbHttp_Get(uint16_t port, const char *path, GString *body);

#endif
