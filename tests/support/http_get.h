#ifndef GB_TEST_HTTP_GET_H
#define GB_TEST_HTTP_GET_H

#include <glib.h>
#include <stdint.h>

/* Sends a GET request to a server on loopback. Returns the HTTP status, or 0
 * if there was no response within two seconds. Appends the response body to
 * body unless it is NULL. */
int GbHttp_Get(uint16_t port, const char *path, GString *body);

#endif
