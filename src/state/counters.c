#include "state/counters.h"

#include <assert.h>
#include <string.h>

struct CounterField {
    const char *name;
    const char *help;
};

static const struct CounterField counter_fields[GB_COUNTER_END] = {
    [GB_COUNTER_DATAGRAMS_RECEIVED] = {"datagrams_received_total",
                                       "Datagrams read from sockets."},
    [GB_COUNTER_DATAGRAMS_SENT] = {"datagrams_sent_total",
                                   "Datagrams written to sockets."},
    [GB_COUNTER_DATAGRAMS_MALFORMED] = {"datagrams_malformed_total",
                                        "Datagrams that did not decode."},
    [GB_COUNTER_DATAGRAMS_UNEXPECTED] =
        {"datagrams_unexpected_total",
         "Decoded datagrams of a kind that this process does not handle."},
    [GB_COUNTER_SEND_FAILURES] = {"send_failures_total",
                                  "Datagrams that the operating system "
                                  "failed to send."},
    [GB_COUNTER_TOKENS_FORGED] = {"tokens_forged_total",
                                  "Tokens with a wrong authentication tag."},
    [GB_COUNTER_PATHS_FORGED] =
        {"paths_forged_total",
         "Return paths with a wrong authentication tag."},
    [GB_COUNTER_FORWARDED_BOUND] =
        {"forwarded_bound_total",
         "Datagrams forwarded to the agent of their token."},
    [GB_COUNTER_FORWARDED_UNBOUND] =
        {"forwarded_unbound_total",
         "Datagrams without token, forwarded to the agent of their rank."},
    [GB_COUNTER_RETURNED] = {"returned_total",
                             "Replies forwarded to callers."},
    [GB_COUNTER_NO_INSTANCE] =
        {"no_instance_total", "Unbound datagrams for a service without a live "
                              "instance."},
    [GB_COUNTER_INSTANCES_SUSPECTED] =
        {"instances_suspected_total",
         "Transitions of an instance to suspect."},
    [GB_COUNTER_WRONG_SERVICE] = {"wrong_service_total",
                                  "Datagrams for another service, dropped."},
    [GB_COUNTER_WRONG_INSTANCE] =
        {"wrong_instance_total",
         "Datagrams whose token names another instance, dropped."},
    [GB_COUNTER_REQUESTS_ADMITTED] = {"requests_admitted_total",
                                      "Requests queued or started."},
    [GB_COUNTER_REQUESTS_STARTED] = {"requests_started_total",
                                     "Requests sent to the target."},
    [GB_COUNTER_REQUESTS_FINISHED] = {"requests_finished_total",
                                      "Requests with a complete response."},
    [GB_COUNTER_REQUESTS_FAILED] = {"requests_failed_total",
                                    "Started requests without a complete "
                                    "response."},
    [GB_COUNTER_REQUESTS_NOT_RUN] = {"requests_not_run_total",
                                     "Requests answered NOT_RUN."},
    [GB_COUNTER_REQUESTS_REPEATED] =
        {"requests_repeated_total",
         "Duplicate CALLs answered from the request's record."},
    [GB_COUNTER_FLOWS_REFUSED] = {"flows_refused_total",
                                  "Flows refused by the limit on flows or the "
                                  "limit on their rate."},
    [GB_COUNTER_QUEUE_REFUSED] =
        {"queue_refused_total",
         "Requests refused because the queue was full."},
    [GB_COUNTER_DEADLINE_REFUSED] = {"deadline_refused_total",
                                     "Requests refused because their "
                                     "deadline could not be met."},
    [GB_COUNTER_DRAIN_REFUSED] = {"drain_refused_total",
                                  "Requests refused by a draining target."},
    [GB_COUNTER_FETCHES_DROPPED] =
        {"fetches_dropped_total",
         "FETCHes dropped because too many were pending."},
    [GB_COUNTER_HANDOVERS_SENT] = {"handovers_sent_total",
                                   "CALLs handed over to another agent."},
    [GB_COUNTER_HANDOVERS_RECEIVED] = {"handovers_received_total",
                                       "CALLs handed over by another agent."},
    [GB_COUNTER_LOAD_ASKS] = {"load_asks_total",
                              "Load queries sent to pool members."},
    [GB_COUNTER_WAITING_REFUSED] =
        {"waiting_refused_total",
         "CALLs placed on this agent because the table of waiting CALLs was "
         "full."},
    [GB_COUNTER_MEMBERS_EXCESS] =
        {"members_excess_total",
         "Agents that did not fit into the pool table, counted at each "
         "instance list."},
    [GB_COUNTER_MEMBERS_UNLISTED] =
        {"members_unlisted_total",
         "Messages from agents that are not in the pool table."},
    [GB_COUNTER_HANDOVERS_REPEATED] =
        {"handovers_repeated_total",
         "Duplicate CALLs that were handed over to the same agent again."},
    [GB_COUNTER_MAILBOX_DROPPED] = {"mailbox_dropped_total",
                                    "Messages refused by a full mailbox."},
    [GB_COUNTER_PLATFORM_CALLS] = {"platform_calls_total",
                                   "Calls to the platform."},
    [GB_COUNTER_PLATFORM_FAILURES] = {"platform_failures_total",
                                      "Calls to the platform that failed."},
    [GB_COUNTER_DOCUMENTS_ACCEPTED] = {"documents_accepted_total",
                                       "Documents accepted."},
    [GB_COUNTER_DOCUMENTS_REFUSED] = {"documents_refused_total",
                                      "Documents refused as invalid, as older "
                                      "or by the limit on pending ones."},
    [GB_COUNTER_DOCUMENT_CONFLICTS] =
        {"document_conflicts_total",
         "Documents with the revision of a different document."},
    [GB_COUNTER_PARENT_MISMATCHES] =
        {"document_parent_mismatches_total",
         "Documents whose parent is not the previously accepted one."},
    [GB_COUNTER_INSTANCE_LISTS_ACCEPTED] = {"instance_lists_accepted_total",
                                            "Instance lists accepted."},
    [GB_COUNTER_INSTANCE_LISTS_REFUSED] =
        {"instance_lists_refused_total",
         "Instance lists refused as older or as empty."},
    [GB_COUNTER_INSTANCES_UNUSABLE] =
        {"instances_unusable_total",
         "Entries of the instance list that name no usable instance."},
    [GB_COUNTER_PEER_PULLS] = {"peer_pulls_total",
                               "Document pulls from other processes."},
    [GB_COUNTER_PEER_PULL_FAILURES] = {"peer_pull_failures_total",
                                       "Document pulls from other processes "
                                       "that failed."},
    [GB_COUNTER_REVISIONS_ANNOUNCED] =
        {"revisions_announced_total",
         "Revisions announced to other processes."},
    [GB_COUNTER_REVISIONS_IGNORED] =
        {"revisions_ignored_total",
         "Revisions announced by addresses outside the instance list."},
    [GB_COUNTER_PEER_CONNECTIONS] = {"peer_connections_total",
                                     "Connections accepted from other "
                                     "processes."},
    [GB_COUNTER_PEER_CONNECTIONS_REFUSED] =
        {"peer_connections_refused_total",
         "Connections from other processes refused by the limit."},
    [GB_COUNTER_FRAMES_MALFORMED] = {"frames_malformed_total",
                                     "Frames that did not decode or were too "
                                     "large."},
    [GB_COUNTER_FRAMES_FORGED] = {"frames_forged_total",
                                  "Frames with a wrong authentication tag."},
    [GB_COUNTER_FRAMES_TIMED_OUT] = {"frames_timed_out_total",
                                     "Connections closed because a frame did "
                                     "not arrive in time."},
    [GB_COUNTER_PACKETS_FORWARDED] = {"packets_forwarded_total",
                                      "Client packets forwarded to an agent."},
    [GB_COUNTER_PACKETS_DELIVERED] = {"packets_delivered_total",
                                      "Client packets sent to the target."},
    [GB_COUNTER_PACKETS_REPLIED] = {"packets_replied_total",
                                    "Target packets sent to clients."},
    [GB_COUNTER_PACKETS_RETURNED] = {"packets_returned_total",
                                     "Packets returned by the target."},
    [GB_COUNTER_PACKETS_NO_ROUTE] =
        {"packets_no_route_total", "Packets for an address without a route."},
    [GB_COUNTER_PACKETS_NO_AGENT] =
        {"packets_no_agent_total",
         "Packets for a service without a usable agent."},
    [GB_COUNTER_PACKETS_HOPS_EXCEEDED] =
        {"packets_hops_exceeded_total",
         "Packets dropped because too many agents had forwarded them."},
    [GB_COUNTER_FLOWS_OPENED] =
        {"flows_opened_total",
         "Flows whose SYN packet was sent to the target."},
    [GB_COUNTER_FLOWS_HANDED_OVER] = {"flows_handed_over_total",
                                      "Flows handed over to another agent."},
    [GB_COUNTER_FLOWS_FAILED] = {"flows_failed_total",
                                 "Requests that the target aborted or did "
                                 "not answer."},
    [GB_COUNTER_OPENINGS_HELD] =
        {"openings_held_total",
         "SYN packets queued until a target had a free slot."},
    [GB_COUNTER_OPENINGS_REPEATED] =
        {"openings_repeated_total",
         "Retransmitted SYN packets of flows that are already queued."},
    [GB_COUNTER_FLOWS_ADOPTED] =
        {"flows_adopted_total",
         "Open flows found at the target after a restart."},
    [GB_COUNTER_FLOWS_RESET] = {"flows_reset_total",
                                "RST packets sent to clients."},
    [GB_COUNTER_FLOWS_EVICTED] =
        {"flows_evicted_total",
         "Flows in use that were evicted from the cache."},
    [GB_COUNTER_FLOWS_TABLE_FULL] =
        {"flows_table_full_total",
         "Flows not recorded because the flow table was full."},
    [GB_COUNTER_FLOWS_LOCATED] = {"flows_located_total",
                                  "Flows found at another agent by a lookup."},
    [GB_COUNTER_FLOW_PROBES_SENT] =
        {"flow_probes_sent_total",
         "Packets sent to agents that could not tell whether their target has "
         "the flow."},
    [GB_COUNTER_FLOWS_NOT_LOCATED] = {"flows_not_located_total",
                                      "Flows that no agent held."},
    [GB_COUNTER_LOOKUPS_REFUSED] =
        {"lookups_refused_total",
         "Packets dropped because too many lookups were in progress."},
    [GB_COUNTER_LOOKUPS_PARTIAL] =
        {"lookups_partial_total",
         "Lookups that did not query all agents of the service."},
    [GB_COUNTER_NOTICES_UNLISTED] =
        {"notices_unlisted_total",
         "Notices that name, or come from, an instance that is not listed."},
    [GB_COUNTER_NOTICES_RECEIVED] = {"notices_received_total",
                                     "Notices received from other processes."},
    [GB_COUNTER_STORE_ERAS] = {"store_eras_total",
                               "Changes of the era of the platform's store."},
    [GB_COUNTER_EVACUATIONS_UNUSABLE] =
        {"evacuations_unusable_total",
         "Evacuation entries that name no data centre."},
    [GB_COUNTER_OPENINGS_EVACUATED] =
        {"openings_evacuated_total",
         "SYN packets that reached an agent in an evacuated data centre."},
    [GB_COUNTER_OPENINGS_COLD_DEFERRED] =
        {"openings_cold_deferred_total",
         "SYN packets beyond the warm-up allowance of the target."},
    [GB_COUNTER_OPENINGS_OVERFLOWED] =
        {"openings_overflowed_total",
         "SYN packets that went to another backend because the chosen one was "
         "full."},
    [GB_COUNTER_REQUESTS_SHED] =
        {"requests_shed_total",
         "Requests that a full target refused at once."},
    [GB_COUNTER_PACE_DECREASES] =
        {"pace_decreases_total",
         "Decreases of the limit on flows in flight at the target."},
    [GB_COUNTER_FLOWS_RESET_TARGET_GONE] =
        {"flows_reset_target_gone_total",
         "Flows reset because the target that had them is gone."},
    [GB_COUNTER_OWNERS_FORGOTTEN] = {"owners_forgotten_total",
                                     "Recorded owners of flows that were "
                                     "forgotten because the agent is gone."},
};

void
GbCounters_Init(struct GbCounters *self)
{
    memset(self, 0, sizeof(*self));
}

void
GbCounters_Add(struct GbCounters *self, enum GbCounterId id, uint64_t amount)
{
    assert(id < GB_COUNTER_END);
    self->values[id] += amount;
}

void
GbCounters_Merge(struct GbCounters *self, const struct GbCounters *other)
{
    for (int i = 0; i < GB_COUNTER_END; i++) {
        self->values[i] += other->values[i];
    }
}

const char *
GbCounters_Name(enum GbCounterId id)
{
    assert(id < GB_COUNTER_END);
    return counter_fields[id].name;
}

const char *
GbCounters_Help(enum GbCounterId id)
{
    assert(id < GB_COUNTER_END);
    return counter_fields[id].help;
}
