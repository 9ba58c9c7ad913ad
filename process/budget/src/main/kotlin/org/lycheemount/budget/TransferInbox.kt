package org.lycheemount.budget

import org.lycheemount.common.RouterIdentity

/** Deduplicates transfers: each is decided once, however often and in whatever order its messages arrive. */
internal class TransferInbox {
    private val senders = HashMap<RouterIdentity, Sender>()

    /** Returns the earlier decision on [transfer], or the result of [decide]. `LATER` is not recorded. */
    @Synchronized
    fun decideOnce(
        from: RouterIdentity,
        transfer: TokenMessage.Transfer,
        decide: () -> TransferReply,
    ): TransferReply {
        dropEarlierProcesses(from)
        val sender = senders.getOrPut(from) { Sender() }
        sender.discardBelow(transfer.lowestOpenSequence)
        // The sender has completed all lower sequences, so this is a late duplicate whose reply it ignores.
        if (transfer.sequence < sender.lowestOpenSequence) return TransferReply.APPLIED
        sender.decisions[transfer.sequence]?.let { return it }
        val decision = decide()
        if (decision != TransferReply.LATER) sender.decisions[transfer.sequence] = decision
        return decision
    }

    /**
     * Bounds the memory by dropping earlier processes of [from] without recorded decisions. Late messages of an earlier process are
     * refused by their incarnation only after a message of a later process has arrived.
     */
    private fun dropEarlierProcesses(from: RouterIdentity) {
        if (senders.size <= MAX_SENDERS) return
        senders.keys.removeIf {
            it.routerId == from.routerId && it.incarnation < from.incarnation &&
                senders.getValue(it).decisions.isEmpty()
        }
    }

    private class Sender {
        val decisions = HashMap<Long, TransferReply>()
        var lowestOpenSequence = 0L

        fun discardBelow(sequence: Long) {
            if (sequence <= lowestOpenSequence) return
            lowestOpenSequence = sequence
            decisions.keys.removeIf { it < sequence }
        }
    }

    private companion object {
        private const val MAX_SENDERS = 2_000
    }
}
