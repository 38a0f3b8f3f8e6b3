#ifndef GB_COORDINATION_CALLS_REPLY_H
#define GB_COORDINATION_CALLS_REPLY_H

#include "coordination/calls/agent.h"

/* Replies of an agent to callers. */

/* The submission named by message did not and will not run. A reply for
 * GB_NOT_RUN_BIND carries a token of this agent. */
void GbReply_NotRun(struct GbAgent *agent, const struct GbReturnPath *path,
                    const struct GbMessage *message,
                    enum GbNotRunReason reason);

/* As GbReply_NotRun, for a request that was admitted before. */
void GbReply_RequestNotRun(struct GbAgent *agent,
                           const struct GbRequest *request,
                           enum GbNotRunReason reason);

/* The outcome of the submission named by message cannot be known. */
void GbReply_Unknown(struct GbAgent *agent, const struct GbReturnPath *path,
                     const struct GbMessage *message,
                     enum GbUnknownReason reason);

/* The request is queued or running, or has failed. */
void GbReply_Progress(struct GbAgent *agent, const struct GbRequest *request);

/* Range of the answer. Returns false and sends nothing if the range is not
 * held. A range at the end of a complete answer is empty and is sent. */
bool GbReply_Data(struct GbAgent *agent, const struct GbRequest *request,
                  const struct GbReturnPath *path, uint64_t offset,
                  uint32_t length_bytes);

#endif
