#include "store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab.h"

#define EVENTS_MAX 8192
#define CONNECTIONS_MAX 256
#define REQUEST_BYTES 2048
#define BACKLOG 64
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_GONE 410
#define FIRST_REVISION 100

/* A write. A key's item is its last event. */
struct Event {
    char *key;
    /* NULL if the key was deleted. */
    char *value;
    uint64_t revision;
    uint64_t created;
};

struct Connection {
    int fd;
    char request[REQUEST_BYTES];
    size_t size;
    bool is_watching;
    uint64_t after;
    int64_t deadline_ms;
};

/* Text that grows. */
struct Text {
    char *bytes;
    size_t size;
    size_t capacity;
};

static struct Event events[EVENTS_MAX];
static int event_count;
static uint64_t revision = FIRST_REVISION;
static uint64_t compacted;
static struct Connection *connections[CONNECTIONS_MAX];
static int listener = -1;
static uint16_t port;

static void
append(struct Text *text, const char *bytes)
{
    size_t size = strlen(bytes);

    while (text->size + size + 1 > text->capacity) {
        text->capacity = text->capacity * 2 + 1024;
        text->bytes = realloc(text->bytes, text->capacity);
        if (text->bytes == NULL) {
            Lab_Fail("out of memory");
        }
    }
    memcpy(text->bytes + text->size, bytes, size + 1);
    text->size += size;
}

static void
append_base64(struct Text *text, const char *value)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklm"
                                 "nopqrstuvwxyz0123456789+/";
    size_t size = strlen(value);

    for (size_t i = 0; i < size; i += 3) {
        uint32_t group = (uint32_t)(unsigned char)value[i] << 16;
        char out[5] = "====";

        if (i + 1 < size) {
            group |= (uint32_t)(unsigned char)value[i + 1] << 8;
        }
        if (i + 2 < size) {
            group |= (uint32_t)(unsigned char)value[i + 2];
        }
        out[0] = digits[group >> 18];
        out[1] = digits[group >> 12 & 63];
        if (i + 1 < size) {
            out[2] = digits[group >> 6 & 63];
        }
        if (i + 2 < size) {
            out[3] = digits[group & 63];
        }
        append(text, out);
    }
}

static void
append_event(struct Text *text, const struct Event *event)
{
    char numbers[128];

    append(text, "{\"key\":\"");
    append(text, event->key);
    if (event->value == NULL) {
        snprintf(numbers, sizeof(numbers),
                 "\",\"revision\":%llu,\"deleted\":true}",
                 (unsigned long long)event->revision);
    }
    else {
        append(text, "\",\"value\":\"");
        append_base64(text, event->value);
        snprintf(numbers, sizeof(numbers),
                 "\",\"revision\":%llu,\"created\":%llu,\"lease\":0}",
                 (unsigned long long)event->revision,
                 (unsigned long long)event->created);
    }
    append(text, numbers);
}

static void
close_connection(struct Connection *connection)
{
    Lab_Unwatch(connection->fd);
    close(connection->fd);
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i] == connection) {
            connections[i] = NULL;
        }
    }
    free(connection);
}

static void
send_all(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);

        if (sent <= 0) {
            return;
        }
        bytes += sent;
        size -= (size_t)sent;
    }
}

static void
reply(struct Connection *connection, int status, const char *body)
{
    char head[256];

    snprintf(head, sizeof(head),
             "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\nConnection: close\r\n\r\n",
             status, status == HTTP_OK ? "OK" : "Error", strlen(body));
    send_all(connection->fd, head, strlen(head));
    send_all(connection->fd, body, strlen(body));
    close_connection(connection);
}

/* Returns true if no later event has the key of this one. */
static bool
is_last(int at)
{
    for (int i = at + 1; i < event_count; i++) {
        if (strcmp(events[i].key, events[at].key) == 0) {
            return false;
        }
    }
    return true;
}

static int
compare_keys(const void *a, const void *b)
{
    return strcmp((*(const struct Event *const *)a)->key,
                  (*(const struct Event *const *)b)->key);
}

static void
finish_body(struct Text *text, const char *format)
{
    char tail[96];

    snprintf(tail, sizeof(tail), "],%s\"storeRevision\":%llu}", format,
             (unsigned long long)revision);
    append(text, tail);
}

static void
reply_range(struct Connection *connection, const char *prefix)
{
    const struct Event *found[EVENTS_MAX];
    size_t count = 0;
    struct Text text = {NULL, 0, 0};

    for (int i = 0; i < event_count; i++) {
        if (events[i].value != NULL && is_last(i) &&
            strncmp(events[i].key, prefix, strlen(prefix)) == 0) {
            found[count++] = &events[i];
        }
    }
    qsort((void *)found, count, sizeof(struct Event *), compare_keys);
    append(&text, "{\"items\":[");
    for (size_t i = 0; i < count; i++) {
        append(&text, i > 0 ? "," : "");
        append_event(&text, found[i]);
    }
    finish_body(&text, "\"hasMore\":false,");
    reply(connection, HTTP_OK, text.bytes);
    free(text.bytes);
}

static void
reply_events(struct Connection *connection)
{
    struct Text text = {NULL, 0, 0};
    bool is_first = true;

    append(&text, "{\"events\":[");
    for (int i = 0; i < event_count; i++) {
        if (events[i].revision > connection->after) {
            append(&text, is_first ? "" : ",");
            append_event(&text, &events[i]);
            is_first = false;
        }
    }
    finish_body(&text, "");
    reply(connection, HTTP_OK, text.bytes);
    free(text.bytes);
}

static void
answer_watch(struct Connection *connection)
{
    if (connection->after < compacted) {
        reply(connection, HTTP_GONE, "{}");
    }
    else if (revision > connection->after ||
             Lab_NowMs() >= connection->deadline_ms) {
        reply_events(connection);
    }
}

static void
tick(void *context)
{
    (void)context;
    for (int i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i] != NULL && connections[i]->is_watching) {
            answer_watch(connections[i]);
        }
    }
}

/* Returns the value of a parameter of the query, up to the next one. */
static void
read_parameter(const char *request, const char *name, char *value, size_t size)
{
    const char *at = strstr(request, name);
    size_t used = 0;

    if (at != NULL) {
        at += strlen(name);
        while (used + 1 < size && *at != '\0' && *at != '&' && *at != ' ') {
            value[used++] = *at++;
        }
    }
    value[used] = '\0';
}

static void
handle_request(struct Connection *connection)
{
    char value[256];

    if (strstr(connection->request, "/-/kv-range") != NULL) {
        read_parameter(connection->request, "prefix=", value, sizeof(value));
        reply_range(connection, value);
    }
    else if (strstr(connection->request, "/-/kv-watch") != NULL) {
        connection->is_watching = true;
        read_parameter(connection->request, "after=", value, sizeof(value));
        connection->after = strtoull(value, NULL, 10);
        read_parameter(connection->request, "waitMs=", value, sizeof(value));
        connection->deadline_ms = Lab_NowMs() + strtoll(value, NULL, 10);
        answer_watch(connection);
    }
    else {
        reply(connection, HTTP_NOT_FOUND, "{}");
    }
}

static void
on_readable(int fd, void *context)
{
    struct Connection *connection = context;
    ssize_t size = recv(fd, connection->request + connection->size,
                        sizeof(connection->request) - connection->size - 1, 0);

    if (size <= 0) {
        close_connection(connection);
        return;
    }
    connection->size += (size_t)size;
    connection->request[connection->size] = '\0';
    if (!connection->is_watching &&
        strstr(connection->request, "\r\n\r\n") != NULL) {
        handle_request(connection);
    }
}

static void
on_connection(int fd, void *context)
{
    int accepted = accept(fd, NULL, NULL);

    (void)context;
    for (int i = 0; accepted >= 0 && i < CONNECTIONS_MAX; i++) {
        if (connections[i] == NULL) {
            connections[i] = calloc(1, sizeof(struct Connection));
            if (connections[i] == NULL) {
                Lab_Fail("out of memory");
            }
            connections[i]->fd = accepted;
            Lab_Watch(accepted, on_readable, connections[i]);
            return;
        }
    }
    if (accepted >= 0) {
        close(accepted);
    }
}

void
Store_Open(void)
{
    struct sockaddr_in address = Lab_Address("127.0.0.1", 0);
    socklen_t size = sizeof(address);

    listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(listener, (struct sockaddr *)&address, size) != 0 ||
        listen(listener, BACKLOG) != 0 ||
        getsockname(listener, (struct sockaddr *)&address, &size) != 0) {
        Lab_Fail("the store cannot listen");
    }
    port = ntohs(address.sin_port);
    Lab_Watch(listener, on_connection, NULL);
    Lab_AddTicker(tick, NULL);
}

uint16_t
Store_Port(void)
{
    return port;
}

static uint64_t
write_event(const char *key, const char *value)
{
    struct Event *event = &events[event_count];

    if (event_count == EVENTS_MAX) {
        Lab_Fail("too many writes");
    }
    event->key = strdup(key);
    event->value = value != NULL ? strdup(value) : NULL;
    event->revision = ++revision;
    event->created = event->revision;
    for (int i = 0; i < event_count; i++) {
        if (strcmp(events[i].key, key) == 0 && events[i].value != NULL) {
            event->created = events[i].created;
        }
    }
    event_count++;
    Lab_Record("store: revision %llu %s = %s", (unsigned long long)revision,
               key, value != NULL ? value : "(deleted)");
    tick(NULL);
    return revision;
}

uint64_t
Store_Put(const char *key, const char *value)
{
    return write_event(key, value);
}

uint64_t
Store_Delete(const char *key)
{
    return write_event(key, NULL);
}

void
Store_Compact(void)
{
    compacted = revision;
    Lab_Record("store: history dropped up to %llu",
               (unsigned long long)revision);
    tick(NULL);
}
