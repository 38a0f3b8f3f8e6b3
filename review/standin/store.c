#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

/* The platform's store: linearizable, with a history that is long enough for
 * a case. An answer takes 4 ms, as the sites say. */

#define ANSWER_MS 4
#define REQUEST_BYTES 2048
#define BODY_BYTES (1024 * 1024)
#define ITEMS_MAX 128
#define BASE64_BYTES (2 * VALUE_BYTES)

struct Item {
    char key[KEY_BYTES];
    char value[VALUE_BYTES];
    uint64_t revision;
    uint64_t created;
};

struct Event {
    struct Item item;
    bool is_deleted;
};

struct Connection {
    int fd;
    char request[REQUEST_BYTES];
    size_t request_bytes;
    bool is_received;
    int64_t answer_ms;
    bool is_watch;
    uint64_t watch_after;
    int64_t watch_end_ms;
    char prefix[KEY_BYTES];
};

static struct Item items[ITEMS_MAX];
static unsigned item_count;
static struct Event *events;
static unsigned event_count;
static uint64_t revision = 100;
static struct Connection *connections[CONNECTIONS_MAX];
static char body[BODY_BYTES];

static void
encode_base64(const char *text, char out[BASE64_BYTES])
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
                                 "qrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    size_t at = 0;

    for (size_t i = 0; i < size; i += 3) {
        uint32_t bits = (uint32_t)(uint8_t)text[i] << 16;

        if (i + 1 < size) {
            bits |= (uint32_t)(uint8_t)text[i + 1] << 8;
        }
        if (i + 2 < size) {
            bits |= (uint8_t)text[i + 2];
        }
        out[at++] = digits[bits >> 18];
        out[at++] = digits[bits >> 12 & 63];
        out[at++] = i + 1 < size ? digits[bits >> 6 & 63] : '=';
        out[at++] = i + 2 < size ? digits[bits & 63] : '=';
    }
    out[at] = '\0';
}

static size_t
append_item(size_t at, const struct Item *item, bool is_deleted)
{
    static char text[BASE64_BYTES];

    if (is_deleted) {
        return at + (size_t)snprintf(
                        body + at, BODY_BYTES - at,
                        "{\"key\":\"%s\",\"revision\":%llu,\"deleted\":true}",
                        item->key, (unsigned long long)item->revision);
    }
    encode_base64(item->value, text);
    return at + (size_t)snprintf(
                    body + at, BODY_BYTES - at,
                    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":"
                    "%llu,\"created\":%llu,\"lease\":0}",
                    item->key, text, (unsigned long long)item->revision,
                    (unsigned long long)item->created);
}

static struct Item *
find_item(const char *key)
{
    for (unsigned i = 0; i < item_count; i++) {
        if (strcmp(items[i].key, key) == 0) {
            return &items[i];
        }
    }
    return NULL;
}

static void
append_event(const struct Item *item, bool is_deleted)
{
    if (event_count == EVENTS_MAX) {
        cannot_run("too many changes in the store");
    }
    events[event_count].item = *item;
    events[event_count++].is_deleted = is_deleted;
}

uint64_t
store_put(const char *key, const char *value)
{
    struct Item *item = find_item(key);

    revision++;
    if (item == NULL) {
        if (item_count == ITEMS_MAX) {
            cannot_run("too many items in the store");
        }
        item = &items[item_count++];
        snprintf(item->key, sizeof(item->key), "%s", key);
        item->created = revision;
    }
    snprintf(item->value, sizeof(item->value), "%s", value);
    item->revision = revision;
    append_event(item, false);
    record_line("store: %s = %s (revision %llu)", key, value,
                (unsigned long long)revision);
    return revision;
}

uint64_t
store_delete(const char *key)
{
    struct Item *item = find_item(key);

    if (item == NULL) {
        return revision;
    }
    item->revision = ++revision;
    append_event(item, true);
    *item = items[--item_count];
    record_line("store: %s removed (revision %llu)", key,
                (unsigned long long)revision);
    return revision;
}

static bool
has_prefix(const char *text, const char *prefix)
{
    return strncmp(text, prefix, strlen(prefix)) == 0;
}

static void
close_connection(unsigned at)
{
    loop_remove(connections[at]->fd);
    close(connections[at]->fd);
    free(connections[at]);
    connections[at] = NULL;
}

static void
send_answer(unsigned at, int status, size_t size_bytes)
{
    char head[256];
    int head_bytes =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                 status, status == 200 ? "OK" : "Not Found", size_bytes);

    (void)!write(connections[at]->fd, head, (size_t)head_bytes);
    (void)!write(connections[at]->fd, body, size_bytes);
    close_connection(at);
}

/* Copies the value of a parameter of the query, without escapes. */
static void
read_parameter(const char *path, const char *name, char out[KEY_BYTES])
{
    const char *at = strchr(path, '?');
    size_t name_bytes = strlen(name);
    size_t size = 0;

    out[0] = '\0';
    while (at != NULL) {
        at++;
        if (strncmp(at, name, name_bytes) == 0 && at[name_bytes] == '=') {
            at += name_bytes + 1;
            while (*at != '\0' && *at != '&' && *at != ' ' &&
                   size < KEY_BYTES - 1) {
                out[size++] = *at++;
            }
            out[size] = '\0';
            return;
        }
        at = strchr(at, '&');
    }
}

static void
answer_key(unsigned at, const char *path)
{
    char key[KEY_BYTES];
    struct Item *item;
    size_t size;

    read_parameter(path, "key", key);
    item = find_item(key);
    if (item == NULL) {
        size = (size_t)snprintf(body, BODY_BYTES, "{}");
        send_answer(at, 404, size);
        return;
    }
    size = append_item(0, item, false) - 1;
    size += (size_t)snprintf(body + size, BODY_BYTES - size,
                             ",\"storeRevision\":%llu}",
                             (unsigned long long)revision);
    send_answer(at, 200, size);
}

static void
answer_range(unsigned at, const char *path)
{
    char prefix[KEY_BYTES];
    bool is_first = true;
    size_t size = (size_t)snprintf(body, BODY_BYTES, "{\"items\":[");

    read_parameter(path, "prefix", prefix);
    for (unsigned i = 0; i < item_count; i++) {
        if (has_prefix(items[i].key, prefix)) {
            body[size] = ',';
            size = append_item(size + (is_first ? 0 : 1), &items[i], false);
            is_first = false;
        }
    }
    size += (size_t)snprintf(body + size, BODY_BYTES - size,
                             "],\"hasMore\":false,\"storeRevision\":%llu}",
                             (unsigned long long)revision);
    send_answer(at, 200, size);
}

/* Answers a watch if there is an event, or if its time is over. */
static void
answer_watch(unsigned at)
{
    const struct Connection *connection = connections[at];
    size_t size = (size_t)snprintf(body, BODY_BYTES, "{\"events\":[");
    bool is_first = true;

    for (unsigned i = 0; i < event_count; i++) {
        if (events[i].item.revision > connection->watch_after &&
            has_prefix(events[i].item.key, connection->prefix)) {
            body[size] = ',';
            size = append_item(size + (is_first ? 0 : 1), &events[i].item,
                               events[i].is_deleted);
            is_first = false;
        }
    }
    if (is_first && now_ms() < connection->watch_end_ms) {
        return;
    }
    size += (size_t)snprintf(body + size, BODY_BYTES - size,
                             "],\"storeRevision\":%llu}",
                             (unsigned long long)revision);
    send_answer(at, 200, size);
}

static void
start_watch(unsigned at, const char *path)
{
    struct Connection *connection = connections[at];
    char text[KEY_BYTES];

    read_parameter(path, "prefix", connection->prefix);
    read_parameter(path, "after", text);
    connection->watch_after = strtoull(text, NULL, 10);
    read_parameter(path, "waitMs", text);
    connection->watch_end_ms = now_ms() + strtol(text, NULL, 10);
    connection->is_watch = true;
    answer_watch(at);
}

static void
answer(unsigned at)
{
    char *path = strchr(connections[at]->request, ' ');
    char *end = path != NULL ? strchr(path + 1, ' ') : NULL;

    if (end == NULL) {
        close_connection(at);
        return;
    }
    *end = '\0';
    path++;
    if (has_prefix(path, "/-/kv-key?")) {
        answer_key(at, path);
    }
    else if (has_prefix(path, "/-/kv-range?")) {
        answer_range(at, path);
    }
    else if (has_prefix(path, "/-/kv-watch?")) {
        start_watch(at, path);
    }
    else {
        send_answer(at, 404, 0);
    }
}

static void
connection_readable(void *context)
{
    struct Connection *connection = context;
    unsigned at = 0;
    ssize_t size;

    while (connections[at] != connection) {
        at++;
    }
    size =
        read(connection->fd, connection->request + connection->request_bytes,
             REQUEST_BYTES - 1 - connection->request_bytes);
    if (size < 0 && errno == EAGAIN) {
        return;
    }
    if (size <= 0) {
        close_connection(at);
        return;
    }
    connection->request_bytes += (size_t)size;
    connection->request[connection->request_bytes] = '\0';
    if (!connection->is_received &&
        strstr(connection->request, "\r\n\r\n") != NULL) {
        connection->is_received = true;
        connection->answer_ms = now_ms() + ANSWER_MS;
    }
}

static void
accept_connection(void *context)
{
    int listener = *(int *)context;
    int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    if (fd < 0) {
        return;
    }
    for (unsigned i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i] == NULL) {
            connections[i] = calloc(1, sizeof(struct Connection));
            connections[i]->fd = fd;
            loop_add(fd, connection_readable, connections[i]);
            return;
        }
    }
    close(fd);
}

void
store_init(void)
{
    static int listener;
    struct sockaddr_in address = {.sin_family = AF_INET};
    int on = 1;

    events = calloc(EVENTS_MAX, sizeof(*events));
    address.sin_addr.s_addr = htonl(address_of(250));
    address.sin_port = htons(world.store_port);
    listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, 64) != 0) {
        cannot_run("cannot listen as the store");
    }
    loop_add(listener, accept_connection, &listener);
}

void
store_tick(void)
{
    int64_t now = now_ms();

    for (unsigned i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i] == NULL || !connections[i]->is_received) {
            continue;
        }
        if (connections[i]->is_watch) {
            answer_watch(i);
        }
        else if (now >= connections[i]->answer_ms) {
            answer(i);
        }
    }
}
