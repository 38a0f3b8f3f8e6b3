#include "support/standin_server.h"

#include <signal.h>
#include <stdio.h>

#include "transport/tcp_listener.h"

static void
stop_loop(evutil_socket_t number, short events, void *context)
{
    (void)number;
    (void)events;
    event_base_loopbreak(context);
}

bool
standin_server_listen(struct evhttp *http, struct event_base *base,
                      const struct GbAddress *address, const char *program)
{
    struct GbErrorText error;
    struct evconnlistener *listener =
        GbTcpListener_New(base, address, NULL, NULL, &error);

    if (listener == NULL) {
        fprintf(stderr, "%s: %s\n", program, error.text);
        return false;
    }
    printf("port=%u\n", (unsigned)GbTcpListener_Port(listener));
    fflush(stdout);
    return evhttp_bind_listener(http, listener) != NULL;
}

struct event *
standin_server_stop_on_term(struct event_base *base)
{
    struct event *term = evsignal_new(base, SIGTERM, stop_loop, base);

    event_add(term, NULL);
    return term;
}
