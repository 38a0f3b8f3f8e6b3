#ifndef REVIEW_STANDIN_WORLD_H
#define REVIEW_STANDIN_WORLD_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/* Everything around the programs under test: the store, the hosts, the
 * clients, the routers and the supervisor of the processes. One thread, one
 * event loop, real clock, loopback addresses only. */

#define NODES_MAX 16
#define HOSTS_MAX 8
#define HOST_FLOWS_MAX 4096
#define CLIENTS_MAX 16
#define FLOWS_MAX 16384
#define EVENTS_MAX 4096
#define CONNECTIONS_MAX 256
#define ZONES 2
#define NAME_BYTES 32
#define KEY_BYTES 64
#define VALUE_BYTES 4096
#define PATH_BYTES 512
#define PAYLOAD_BYTES 512

/* Bounds of the site addis-hints, in milliseconds. */
#define STABLE_WINDOW_MS 4000
#define DRAIN_MS 3000
#define CONFIG_APPLY_MS 3000
#define GRACE_MS 6000
#define BEAT_INTERVAL_MS 1200
#define FLOW_TTL_MS 60000

/* Flags of a packet. */
#define FLAG_BOUNCED 1
#define FLAG_SYN 2
#define FLAG_FIN 4
#define FLAG_ACK 16
#define FLAG_RST 128

struct FlowKey {
    uint32_t client_ipv4;
    uint32_t route_ipv4;
    uint16_t client_port;
    uint16_t route_port;
};

struct Packet {
    uint32_t sequence;
    uint32_t acknowledgement;
    uint32_t source;
    uint32_t destination;
    uint16_t source_port;
    uint16_t destination_port;
    uint8_t flags;
    uint8_t pad;
    uint16_t length;
    uint32_t sum;
    uint32_t echo;
    char data[1200];
};

#define HEADER_BYTES 32

/* world.c: time, record, addresses and packets. */
struct World {
    char directory[PATH_BYTES];
    FILE *record;
    int64_t start_ms;
    uint32_t network;
    uint16_t packet_port;
    uint16_t outbound_port;
    uint16_t target_port;
    uint16_t readiness_port;
    uint16_t control_port;
    uint16_t peer_port;
    uint16_t store_port;
    uint32_t sum_key;
    uint32_t idle_timeout_ms;
    uint32_t work_ms;
    /* The seeds of the settings are machines that are gone. */
    bool has_stale_seeds;
    uint32_t forged_packets;
    bool has_trouble;
};

extern struct World world;

void world_init(const char *directory, bool has_trouble);
int64_t now_ms(void);
void record_line(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
const char *ip_text(uint32_t ipv4, char buffer[INET_ADDRSTRLEN]);
uint32_t address_of(unsigned host_part);
/* Opens a datagram socket, or exits with 2. */
int open_udp(uint32_t ipv4, uint16_t port);
void send_udp(int fd, uint32_t ipv4, uint16_t port, const void *data,
              size_t size_bytes);
uint32_t random_32(void);
void encode_packet(struct Packet *packet, uint8_t out[HEADER_BYTES + 1200]);
/* Computes the sum of the sender, then encodes. */
void sign_packet(struct Packet *packet);
bool decode_packet(struct Packet *packet, const uint8_t *data,
                   size_t size_bytes);
bool has_valid_sum(const struct Packet *packet);
bool key_equal(const struct FlowKey *a, const struct FlowKey *b);
/* Removes the settings and logs of the processes unless KEEP_LOGS is set. */
void world_remove_directory(void);
/* Ends the program because the case could not run. */
void cannot_run(const char *reason) __attribute__((noreturn));

/* loop.c */
void loop_add(int fd, void (*readable)(void *context), void *context);
void loop_remove(int fd);
void loop_run_for(int64_t duration_ms);
/* Runs until the condition holds; false after the time limit. */
bool loop_run_until(bool (*condition)(void), int64_t limit_ms);

/* store.c */
void store_init(void);
void store_tick(void);
uint64_t store_put(const char *key, const char *value);
uint64_t store_delete(const char *key);

/* hosts.c */
struct HostFlow {
    struct FlowKey key;
    uint32_t own_sequence;
    uint32_t own_next;
    uint32_t client_next;
    bool is_open;
    bool is_ended;
    bool has_sent_reset;
    int64_t syn_taken_ms;
    int64_t opened_ms;
    /* Request in progress or last response. */
    bool is_working;
    int64_t work_end_ms;
    uint32_t response_sequence;
    uint16_t response_bytes;
    char response[PAYLOAD_BYTES];
    bool is_response_unacked;
    int64_t resend_ms;
    int64_t resend_interval_ms;
    int resends;
};

struct Host {
    char id[NAME_BYTES];
    const char *service;
    unsigned zone;
    uint32_t ipv4;
    int fd;
    bool is_up;
    bool is_draining;
    int boot;
    int64_t born_ms;
    int64_t draining_acked_ms;
    int64_t next_beat_ms;
    uint64_t beats;
    int64_t cold_until_ms;
    uint32_t busy;
    uint32_t runs;
    struct HostFlow flows[HOST_FLOWS_MAX];
    uint32_t flow_count;
};

/* Entry of a host in the store that expires without beats. */
struct Host *host_add(const char *id, const char *service, unsigned zone,
                      unsigned host_part);
extern struct Host hosts[HOSTS_MAX];
extern unsigned host_count;
void hosts_tick(void);
void host_crash(struct Host *host);
/* Starts a crashed host again under another id at the same address. */
void host_restart(struct Host *host, const char *id);
void host_drain(struct Host *host);
void host_leave(struct Host *host);
/* Returns the host that holds the flow open, or NULL. */
struct Host *host_of_flow(const struct FlowKey *key, struct HostFlow **flow);
/* Called when a host takes the opening packet of a flow. */
extern void (*host_took_opening)(struct Host *host, struct HostFlow *flow);

/* nodes.c */
struct Node {
    char name[NAME_BYTES];
    bool is_agent;
    unsigned zone;
    uint32_t ipv4;
    pid_t pid;
    int starts;
    int64_t restart_at_ms;
    int64_t term_ms;
    bool is_ready;
    int misses;
    int probe_fd;
    int64_t next_probe_ms;
    int64_t probe_deadline_ms;
    int unexpected_ends;
};

extern struct Node nodes[NODES_MAX];
extern unsigned node_count;
struct Node *node_add_balancer(unsigned zone, unsigned host_part);
struct Node *node_add_agent(const struct Host *host);
void nodes_start(void);
void nodes_tick(void);
void nodes_kill_all(void);
/* SIGTERM; the supervisor starts the process again after it has ended. */
void node_terminate(struct Node *node);
bool nodes_are_ready(void);
struct Node *node_at(uint32_t ipv4);
/* Sends a client's packet to one of the balancers, as the routers do. */
void route_packet(const struct Packet *packet, unsigned zone);

/* clients.c */
enum FlowState {
    FLOW_OPENING,
    FLOW_OPEN,
    FLOW_CLOSING,
    FLOW_CLOSED,
    FLOW_FAILED,
    FLOW_RESET
};

struct ClientFlow {
    struct FlowKey key;
    unsigned client;
    enum FlowState state;
    uint32_t initial_sequence;
    uint32_t next;
    uint32_t acked;
    int syn_copies;
    int64_t syn_sent_ms;
    int64_t opened_ms;
    int64_t last_packet_ms;
    /* Time without packets before the current request. */
    int64_t idle_ms;
    bool is_waiting;
    bool closes_after_response;
    bool is_given_up;
    unsigned request_count;
    unsigned answer_count;
    char request[PAYLOAD_BYTES];
    char request_id[NAME_BYTES];
    uint16_t request_bytes;
    int64_t request_ms;
    int64_t resend_ms;
    int64_t resend_interval_ms;
};

extern struct ClientFlow flows[FLOWS_MAX];
extern unsigned flow_count;
void clients_init(unsigned count, unsigned zone, unsigned host_part);
void clients_tick(void);
struct ClientFlow *client_open(unsigned client, uint16_t route_port);
void client_request(struct ClientFlow *flow);
void client_close(struct ClientFlow *flow);
/* Resets of open flows that their hosts did not send. */
extern unsigned foreign_resets;
/* Resets that arrived while the flow was not open. */
extern unsigned early_resets;

/* Cases: 0 if the rule held, 1 if it was broken. */
int case_kept_flows(bool with_agent_restart);
int case_drain(bool with_odd_entry);
int case_roll(bool is_variant);
/* Numbers of processes in each zone. Each host has an agent. */
struct Deployment {
    unsigned balancers[ZONES];
    unsigned hosts[ZONES];
};

/* Starts a small deployment. Waits until all processes are ready and in
 * touch. */
void start_deployment(const struct Deployment *deployment);

#endif
