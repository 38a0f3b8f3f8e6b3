#ifndef GB_TRANSPORT_CONTROL_HTTP_H
#define GB_TRANSPORT_CONTROL_HTTP_H

#include "transport/control_task.h"

/* Handles a GET request of an operator: appends the response body and returns
 * the HTTP status. */
int GbControlHttp_HandleRequest(struct GbControlTask *control,
                                const char *path, GString *body);

#endif
