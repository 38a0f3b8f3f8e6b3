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
connect_loopback(uint16_t port)
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
    GString *response = g_string_new(NULL);
    char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: local\r\nConnection: close\r\n\r\n", path);
    int fd = connect_loopback(port);
    int status = 0;
    const char *status_separator;
    const char *header_end;

    if (fd >= 0 && send(fd, request, strlen(request), MSG_NOSIGNAL) ==
                       (ssize_t)strlen(request)) {
        char data[READ_BYTES];
        ssize_t size_bytes;

        while ((size_bytes = recv(fd, data, sizeof(data), 0)) > 0) {
            g_string_append_len(response, data, size_bytes);
        }
    }
    if (fd >= 0) {
        close(fd);
    }
    status_separator = strchr(response->str, ' ');
    header_end = strstr(response->str, "\r\n\r\n");
    if (status_separator != NULL && header_end != NULL) {
        status = (int)strtol(status_separator, NULL, NUMBER_BASE);
        if (body != NULL) {
            g_string_append(body, header_end + strlen("\r\n\r\n"));
        }
    }
    g_string_free(response, TRUE);
    g_free(request);
    return status;
}
