/* Stand-in of the platform for the scripts under review/: its store, the
 * hosts and the clients. It reads commands, one a line, from standard input.
 * Arguments: file of the record, address and port of the store, port of the
 * packets, port of the hosts, port of the nodes for their hosts, deadline of a
 * request in ms. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clients.h"
#include "hosts.h"
#include "record.h"
#include "store.h"

#define POLL_MAX (STORE_POLL_MAX + HOSTS_MAX + CLIENTS_MAX + 1)
#define LINE_BYTES 1024
#define WORDS_MAX 64
#define TICK_MS 5
#define CONFIG_BYTES 16384
#define DECIMAL 10
#define EXIT_BROKEN 1
#define EXIT_NOT_RUN 2

static bool is_over;
static int exit_status;

static int
number(const char *text)
{
    return (int)strtol(text, NULL, DECIMAL);
}

/* config VERSION IDLE_MS TIMEOUT_MS HOST PORT SERVICE... */
static void
put_config(char **words, int count)
{
    static const char service[] =
        "{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":2000,"
        "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":2.0,"
        "\"coldPerS\":0.0}%s";
    char value[CONFIG_BYTES];
    int used = snprintf(value, sizeof(value),
                        "{\"version\":%s,\"limits\":{\"maxHeaderBytes\":16384,"
                        "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
                        "\"idleTimeoutMs\":%s},\"services\":[",
                        words[1], words[2]);

    used += snprintf(value + used, sizeof(value) - (size_t)used, service, "s1",
                     ",");
    used += snprintf(value + used, sizeof(value) - (size_t)used, service, "s2",
                     "],\"routes\":[");
    for (int i = 4; i + 2 < count; i += 3) {
        used += snprintf(
            value + used, sizeof(value) - (size_t)used,
            "%s{\"name\":\"r-%d\",\"host\":\"%s\",\"prefix\":\"/%s/\","
            "\"kind\":\"idempotent\",\"timeoutMs\":%s,\"latencyGoalMs\":300,"
            "\"priority\":1,\"service\":\"%s\",\"maxAttempts\":2}",
            i == 4 ? "" : ",", i, words[i], words[i + 1], words[3],
            words[i + 2]);
    }
    snprintf(value + used, sizeof(value) - (size_t)used, "]}");
    Store_Put("op/config", value);
}

/* put-objects KEY BYTES: a value of at most this size, a list of empty
 * objects. */
static void
put_objects(char **words)
{
    size_t size_bytes = (size_t)number(words[2]);
    char *value = malloc(size_bytes + 1);
    size_t used = 0;

    if (value == NULL) {
        exit(EXIT_NOT_RUN);
    }
    value[used++] = '[';
    while (used + 4 <= size_bytes) {
        memcpy(value + used, "{},", 3);
        used += 3;
    }
    value[used - 1] = ']';
    value[used] = '\0';
    Store_Put(words[1], value);
    free(value);
}

/* check SLACK_MS */
static void
check(char **words)
{
    int broken = Clients_CountBroken(number(words[1]));

    Record_Line("flows that break the rule: %d, requests without answer: %d",
                broken, Clients_CountUnanswered());
    printf("flows that break the rule: %d, requests without answer: %d\n",
           broken, Clients_CountUnanswered());
    fflush(stdout);
    if (broken > 0) {
        exit_status = EXIT_BROKEN;
    }
}

/* check-opened PREFIX */
static void
check_opened(char **words)
{
    int broken = Clients_CountOpenedAt(words[1]);

    Record_Line("flows opened at hosts %s*: %d, open flows: %d", words[1],
                broken, Clients_CountOpen());
    printf("flows opened at hosts %s*: %d, open flows: %d\n", words[1], broken,
           Clients_CountOpen());
    fflush(stdout);
    if (broken > 0) {
        exit_status = EXIT_BROKEN;
    }
}

/* check-drain HOST BOUND_MS */
static void
check_drain(char **words)
{
    int64_t last_ms = Hosts_LastSynMs(words[1]);

    Record_Line("last SYN packet at %s: %" PRId64 " ms after its drain",
                words[1], last_ms);
    printf("last SYN packet at %s: %" PRId64 " ms after its drain\n", words[1],
           last_ms);
    fflush(stdout);
    if (last_ms > number(words[2])) {
        exit_status = EXIT_BROKEN;
    }
}

/* require-open COUNT, require-answered: the case cannot run otherwise. */
static void
require(bool is_met, const char *what)
{
    if (!is_met) {
        Record_Line("the case cannot run: %s", what);
        fprintf(stderr, "the case cannot run: %s\n", what);
        exit(EXIT_NOT_RUN);
    }
}

static void
run_host_command(char **words, int count)
{
    if (strcmp(words[1], "add") == 0 && count == 6) {
        Hosts_Add(words[2], words[3], words[4], words[5]);
    }
    else if (strcmp(words[1], "drain") == 0) {
        Hosts_Drain(words[2]);
    }
    else if (strcmp(words[1], "remove") == 0) {
        Hosts_Remove(words[2]);
    }
    else if (strcmp(words[1], "crash") == 0) {
        Hosts_Crash(words[2]);
    }
    else if (strcmp(words[1], "unlist") == 0) {
        Hosts_RemoveEntry(words[2]);
    }
    else if (strcmp(words[1], "rewrite") == 0) {
        Hosts_WriteEntries();
    }
    else {
        require(false, "unknown command of a host");
    }
}

static void
run_store_command(const char *word)
{
    if (strcmp(word, "copy") == 0) {
        Store_Copy();
    }
    else if (strcmp(word, "restore") == 0) {
        Store_Restore();
    }
    else {
        Store_SetDown(strcmp(word, "down") == 0);
    }
}

static void
run_command(char *line)
{
    char *words[WORDS_MAX] = {NULL};
    int count = 0;

    Record_Line("> %s", line);
    for (char *word = strtok(line, " "); word != NULL && count < WORDS_MAX;
         word = strtok(NULL, " ")) {
        words[count++] = word;
    }
    if (count == 0) {
        return;
    }
    if (strcmp(words[0], "config") == 0 && count >= 7) {
        put_config(words, count);
    }
    else if (strcmp(words[0], "put") == 0 && count == 3) {
        Store_Put(words[1], words[2]);
    }
    else if (strcmp(words[0], "put-objects") == 0 && count == 3) {
        put_objects(words);
    }
    else if (strcmp(words[0], "delete") == 0 && count == 2) {
        Store_Put(words[1], NULL);
    }
    else if (strcmp(words[0], "store") == 0 && count == 2) {
        run_store_command(words[1]);
    }
    else if (strcmp(words[0], "host") == 0 && count >= 2) {
        run_host_command(words, count);
    }
    else if (strcmp(words[0], "balancers") == 0) {
        Clients_SetBalancers(words + 1, count - 1);
    }
    else if (strcmp(words[0], "open") == 0 && count == 5) {
        Clients_Open(words[1], (uint16_t)number(words[2]), words[3],
                     (uint16_t)number(words[4]));
    }
    else if (strcmp(words[0], "request") == 0 && count == 2) {
        Clients_Request((uint16_t)number(words[1]));
    }
    else if (strcmp(words[0], "mark") == 0) {
        Clients_Mark();
    }
    else if (strcmp(words[0], "check") == 0 && count == 2) {
        check(words);
    }
    else if (strcmp(words[0], "traffic") == 0 && count == 4) {
        Clients_SetTraffic(number(words[1]), words[2],
                           (uint16_t)number(words[3]));
    }
    else if (strcmp(words[0], "check-drain") == 0 && count == 3) {
        check_drain(words);
    }
    else if (strcmp(words[0], "check-opened") == 0 && count == 2) {
        check_opened(words);
    }
    else if (strcmp(words[0], "require-open") == 0 && count == 2) {
        require(Clients_CountOpen() == number(words[1]), "flows not open");
    }
    else if (strcmp(words[0], "require-answered") == 0) {
        require(Clients_CountUnanswered() == 0, "requests not answered");
    }
    else if (strcmp(words[0], "note") != 0) {
        require(false, "unknown command");
    }
}

/* Runs the lines that are complete. */
static void
read_commands(void)
{
    static char buffer[LINE_BYTES];
    static size_t used;
    ssize_t count = read(STDIN_FILENO, buffer + used, sizeof(buffer) - used);
    char *end;

    if (count <= 0) {
        is_over = true;
        return;
    }
    used += (size_t)count;
    while ((end = memchr(buffer, '\n', used)) != NULL) {
        size_t line_bytes = (size_t)(end - buffer) + 1;
        char line[LINE_BYTES];

        memcpy(line, buffer, line_bytes);
        line[line_bytes - 1] = '\0';
        used -= line_bytes;
        memmove(buffer, end + 1, used);
        run_command(line);
    }
}

int
main(int argc, char **argv)
{
    static struct pollfd fds[POLL_MAX];
    struct HostPorts ports;

    if (argc != 8) {
        fprintf(stderr, "see the comment in main.c\n");
        return EXIT_NOT_RUN;
    }
    Record_Open(argv[1]);
    ports.app = (uint16_t)number(argv[5]);
    ports.outbound = (uint16_t)number(argv[6]);
    Hosts_Init(&ports);
    Clients_Init((uint16_t)number(argv[4]), number(argv[7]));
    if (!Store_Open(argv[2], (uint16_t)number(argv[3]))) {
        perror("store");
        return EXIT_NOT_RUN;
    }
    while (!is_over) {
        int store_count = Store_Poll(fds);
        int host_count = Hosts_Poll(fds + store_count);
        int client_count = Clients_Poll(fds + store_count + host_count);
        int count = store_count + host_count + client_count;

        fds[count] = (struct pollfd){.fd = STDIN_FILENO, .events = POLLIN};
        poll(fds, (nfds_t)count + 1, TICK_MS);
        Store_Handle(fds, store_count);
        Hosts_Handle(fds + store_count, host_count);
        Clients_Handle(fds + store_count + host_count, client_count);
        if (fds[count].revents != 0) {
            read_commands();
        }
        Store_Tick();
        Hosts_Tick();
        Clients_Tick();
    }
    Record_Close();
    return exit_status;
}
