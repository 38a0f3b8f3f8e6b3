#ifndef GB_COORDINATION_CALLS_CALL_TRANSFER_H
#define GB_COORDINATION_CALLS_CALL_TRANSFER_H

#include "coordination/calls/call.h"

/* Transfer of the answer of an accepted submission. */

/* Takes a range of the answer, and asks for more or ends the call. */
void GbCallTransfer_Receive(struct GbCall *call, const struct GbMessage *data);

/* Asks again for what was lost, and for more as far as the window goes. */
void GbCallTransfer_FetchMore(struct GbCall *call);

/* Asks whether the answer has begun. */
void GbCallTransfer_Poll(struct GbCall *call);

#endif
