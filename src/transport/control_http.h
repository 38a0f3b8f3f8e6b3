#ifndef GB_TRANSPORT_CONTROL_HTTP_H
#define GB_TRANSPORT_CONTROL_HTTP_H

#include "transport/control_task.h"

/* Answers an operator's request: appends the body and returns the HTTP
 * status. */
int GbControlHttp_Answer(struct GbControlTask *control, const char *path,
                         GString *body);

#endif
