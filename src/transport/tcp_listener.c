#include "transport/tcp_listener.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define BACKLOG 128

struct evconnlistener *
GbTcpListener_New(struct event_base *base, const struct GbAddress *address,
                  evconnlistener_cb callback, void *context,
                  struct GbErrorText *error)
{
    struct sockaddr_in socket_address = {.sin_family = AF_INET};
    struct evconnlistener *listener;
    char text[GB_ADDRESS_TEXT_BYTES];

    socket_address.sin_addr.s_addr = htonl(address->ipv4);
    socket_address.sin_port = htons(address->port);
    listener = evconnlistener_new_bind(
        base, callback, context,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        BACKLOG, (struct sockaddr *)&socket_address, sizeof(socket_address));
    if (listener == NULL) {
        GbErrorText_Set(error, "cannot listen on TCP address %s: %s",
                        GbAddress_Format(address, text), strerror(errno));
    }
    return listener;
}

uint16_t
GbTcpListener_Port(struct evconnlistener *listener)
{
    struct sockaddr_in socket_address = {0};
    socklen_t size_bytes = sizeof(socket_address);

    getsockname(evconnlistener_get_fd(listener),
                (struct sockaddr *)&socket_address, &size_bytes);
    return ntohs(socket_address.sin_port);
}
