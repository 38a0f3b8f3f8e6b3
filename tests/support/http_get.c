#include "support/http_get.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_S 2
#define READ_BYTES 4096
#define NUMBER_BASE 10

static int
open_connection(uint16_t port)
{
    static const struct timeval timeout = {TIMEOUT_S, 0};
    struct sockaddr_in server = {0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    server.sin_family = AF_INET;
    server.sin_port = htons(port);
    server.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    if (connect(fd, (struct sockaddr *)&server, sizeof(server)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
GbHttp_Get(uint16_t port, const char *path, GString *body)
{
    GString *answer = g_string_new(NULL);
    char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: local\r\nConnection: close\r\n\r\n", path);
    int fd = open_connection(port);
    int status = 0;
    const char *space;
    const char *head_end;

    if (fd >= 0 && send(fd, request, strlen(request), MSG_NOSIGNAL) ==
                       (ssize_t)strlen(request)) {
        char data[READ_BYTES];
        ssize_t size_bytes;

        while ((size_bytes = recv(fd, data, sizeof(data), 0)) > 0) {
            g_string_append_len(answer, data, size_bytes);
        }
    }
    if (fd >= 0) {
        close(fd);
    }
    space = strchr(answer->str, ' ');
    head_end = strstr(answer->str, "\r\n\r\n");
    if (space != NULL && head_end != NULL) {
        status = (int)strtol(space, NULL, NUMBER_BASE);
        if (body != NULL) {
            g_string_append(body, head_end + strlen("\r\n\r\n"));
        }
    }
    g_string_free(answer, TRUE);
    g_free(request);
    return status;
}
