#include "store.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "record.h"
#include "wire.h"

#define KEYS_MAX 512
#define EVENTS_MAX 4096
#define KEY_BYTES 200
#define REQUEST_BYTES 2048
#define CONNECTIONS_MAX (STORE_POLL_MAX - 1)
#define BODY_BYTES (4 * 1024 * 1024)
#define BACKLOG 128
#define DECIMAL 10

struct Item {
    char key[KEY_BYTES + 1];
    /* NULL if the key was removed. */
    char *value;
    uint64_t revision;
};

struct Connection {
    int fd;
    size_t size_bytes;
    char request[REQUEST_BYTES];
    /* Time until which a watch waits; 0 if the connection is no watch. */
    int64_t wait_until_ms;
    uint64_t after;
};

struct Content {
    struct Item items[KEYS_MAX];
    int item_count;
    struct Item events[EVENTS_MAX];
    int event_count;
    uint64_t revision;
};

static struct Content content = {.revision = 100};
static struct Content copy;
static int era = 1;
static bool is_store_down;
static int listener = -1;
static struct Connection connections[CONNECTIONS_MAX];
static char body[BODY_BYTES];

static const char base64_digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static size_t
append_base64(char *out, const char *text)
{
    size_t size_bytes = strlen(text);
    size_t used = 0;

    for (size_t i = 0; i < size_bytes; i += 3) {
        uint32_t group = (uint32_t)(uint8_t)text[i] << 16;

        if (i + 1 < size_bytes) {
            group |= (uint32_t)(uint8_t)text[i + 1] << 8;
        }
        if (i + 2 < size_bytes) {
            group |= (uint8_t)text[i + 2];
        }
        out[used++] = base64_digits[group >> 18];
        out[used++] = base64_digits[group >> 12 & 63];
        out[used++] =
            i + 1 < size_bytes ? base64_digits[group >> 6 & 63] : '=';
        out[used++] = i + 2 < size_bytes ? base64_digits[group & 63] : '=';
    }
    return used;
}

static size_t
append_item(char *out, const struct Item *item)
{
    size_t used = (size_t)sprintf(out, "{\"key\":\"%s\",\"revision\":%" PRIu64,
                                  item->key, item->revision);

    if (item->value == NULL) {
        return used + (size_t)sprintf(out + used, ",\"deleted\":true}");
    }
    used += (size_t)sprintf(
        out + used, ",\"created\":%" PRIu64 ",\"lease\":0,\"value\":\"",
        item->revision);
    used += append_base64(out + used, item->value);
    return used + (size_t)sprintf(out + used, "\"}");
}

static void
close_connection(struct Connection *connection)
{
    close(connection->fd);
    connection->fd = -1;
}

static void
reply(struct Connection *connection, int status, size_t size_bytes)
{
    char head[256];
    int used =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d Reply\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\nStore-Era: %d\r\n"
                 "Connection: close\r\n\r\n",
                 status, size_bytes, era);

    (void)send(connection->fd, head, (size_t)used, MSG_NOSIGNAL);
    (void)send(connection->fd, body, size_bytes, MSG_NOSIGNAL);
    close_connection(connection);
}

static void
reply_range(struct Connection *connection, const char *prefix)
{
    size_t used = (size_t)sprintf(body, "{\"items\":[");
    bool is_first = true;

    for (int i = 0; i < content.item_count; i++) {
        const struct Item *item = &content.items[i];

        if (item->value == NULL ||
            strncmp(item->key, prefix, strlen(prefix)) != 0) {
            continue;
        }
        used += (size_t)sprintf(body + used, is_first ? "" : ",");
        used += append_item(body + used, item);
        is_first = false;
    }
    used += (size_t)sprintf(
        body + used, "],\"hasMore\":false,\"storeRevision\":%" PRIu64 "}",
        content.revision);
    reply(connection, 200, used);
}

/* Returns false if there is no event yet. */
static bool
reply_events(struct Connection *connection)
{
    size_t used = (size_t)sprintf(body, "{\"events\":[");
    bool is_first = true;

    for (int i = 0; i < content.event_count; i++) {
        const struct Item *event = &content.events[i];

        if (event->revision > connection->after) {
            used += (size_t)sprintf(body + used, is_first ? "" : ",");
            used += append_item(body + used, event);
            is_first = false;
        }
    }
    if (is_first && Clock_Ms() < connection->wait_until_ms) {
        return false;
    }
    used += (size_t)sprintf(body + used, "],\"storeRevision\":%" PRIu64 "}",
                            content.revision);
    reply(connection, 200, used);
    return true;
}

/* Copies a parameter of the query. */
static void
get_parameter(const char *request, const char *name, char *out, size_t max)
{
    const char *at = strstr(request, name);
    size_t used = 0;

    for (at = at != NULL ? at + strlen(name) : "";
         *at != '\0' && *at != '&' && *at != ' ' && used + 1 < max; at++) {
        out[used++] = *at;
    }
    out[used] = '\0';
}

static void
start_watch(struct Connection *connection)
{
    char text[32];

    get_parameter(connection->request, "after=", text, sizeof(text));
    connection->after = strtoull(text, NULL, DECIMAL);
    get_parameter(connection->request, "waitMs=", text, sizeof(text));
    connection->wait_until_ms = Clock_Ms() + strtol(text, NULL, DECIMAL);
    if (connection->after > content.revision) {
        reply(connection, 410, (size_t)sprintf(body, "{}"));
        return;
    }
    (void)reply_events(connection);
}

static void
handle_request(struct Connection *connection)
{
    char prefix[KEY_BYTES + 1];

    if (is_store_down) {
        return;
    }
    if (strncmp(connection->request, "GET /-/kv-watch", 15) == 0) {
        start_watch(connection);
    }
    else if (strncmp(connection->request, "GET /-/kv-range", 15) == 0) {
        get_parameter(connection->request, "prefix=", prefix, sizeof(prefix));
        reply_range(connection, prefix);
    }
    else {
        reply(connection, 404, (size_t)sprintf(body, "{}"));
    }
}

static void
read_connection(struct Connection *connection)
{
    ssize_t count =
        recv(connection->fd, connection->request + connection->size_bytes,
             REQUEST_BYTES - 1 - connection->size_bytes, MSG_DONTWAIT);

    if (count <= 0) {
        close_connection(connection);
        return;
    }
    connection->size_bytes += (size_t)count;
    connection->request[connection->size_bytes] = '\0';
    if (connection->wait_until_ms == 0 &&
        strstr(connection->request, "\r\n\r\n") != NULL) {
        handle_request(connection);
    }
}

static void
accept_connection(void)
{
    int fd = accept(listener, NULL, NULL);
    int at = 0;

    while (at < CONNECTIONS_MAX && connections[at].fd >= 0) {
        at++;
    }
    if (fd < 0 || at == CONNECTIONS_MAX) {
        close(fd);
        return;
    }
    memset(&connections[at], 0, sizeof(connections[at]));
    connections[at].fd = fd;
}

static struct Item *
find_or_add_item(const char *key)
{
    struct Item *item;

    for (int i = 0; i < content.item_count; i++) {
        if (strcmp(content.items[i].key, key) == 0) {
            return &content.items[i];
        }
    }
    if (content.item_count == KEYS_MAX || content.event_count == EVENTS_MAX) {
        fprintf(stderr, "the store is full\n");
        exit(2);
    }
    item = &content.items[content.item_count++];
    snprintf(item->key, sizeof(item->key), "%s", key);
    return item;
}

bool
Store_Open(const char *ip, uint16_t port)
{
    static const int on = 1;
    struct sockaddr_in address = {.sin_family = AF_INET};

    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        connections[i].fd = -1;
    }
    listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    address.sin_addr.s_addr = htonl(Ip_Parse(ip));
    address.sin_port = htons(port);
    return bind(listener, (struct sockaddr *)&address, sizeof(address)) == 0 &&
           listen(listener, BACKLOG) == 0;
}

uint64_t
Store_Put(const char *key, const char *value)
{
    struct Item *item = find_or_add_item(key);

    /* The copy shares the old value. */
    item->value = value != NULL ? strdup(value) : NULL;
    item->revision = ++content.revision;
    content.events[content.event_count++] = *item;
    Record_Line("store revision=%" PRIu64 " %s %.500s", item->revision, key,
                value != NULL ? value : "removed");
    Store_Tick();
    return item->revision;
}

void
Store_Copy(void)
{
    copy = content;
    Record_Line("store copied at revision=%" PRIu64, copy.revision);
}

void
Store_Restore(void)
{
    content = copy;
    era++;
    Record_Line("store restored at revision=%" PRIu64 " era=%d",
                content.revision, era);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i].fd >= 0) {
            close_connection(&connections[i]);
        }
    }
}

void
Store_SetDown(bool is_down)
{
    is_store_down = is_down;
    Record_Line("store %s", is_down ? "down" : "up");
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i].fd >= 0) {
            close_connection(&connections[i]);
        }
    }
}

int
Store_Poll(struct pollfd *fds)
{
    int count = 0;

    fds[count++] = (struct pollfd){.fd = listener, .events = POLLIN};
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i].fd >= 0) {
            fds[count++] =
                (struct pollfd){.fd = connections[i].fd, .events = POLLIN};
        }
    }
    return count;
}

void
Store_Handle(const struct pollfd *fds, int count)
{
    for (int i = 0; i < count; i++) {
        if (fds[i].revents == 0) {
            continue;
        }
        if (fds[i].fd == listener) {
            accept_connection();
            continue;
        }
        for (int at = 0; at < CONNECTIONS_MAX; at++) {
            if (connections[at].fd == fds[i].fd) {
                read_connection(&connections[at]);
                break;
            }
        }
    }
}

void
Store_Tick(void)
{
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i].fd >= 0 && connections[i].wait_until_ms != 0) {
            (void)reply_events(&connections[i]);
        }
    }
}
