package org.lycheemount.budget

import org.lycheemount.common.RouterIdentity

/** Decides each transfer of each sending process once, however often and in whatever order its message arrives. */
internal class TransferInbox {
    private val senders = HashMap<RouterIdentity, Sender>()

    /** Returns the earlier decision on [transfer], or the one that [decide] makes now. `LATER` is not remembered. */
    @Synchronized
    fun decideOnce(
        from: RouterIdentity,
        transfer: TokenMessage.Transfer,
        decide: () -> TransferAnswer,
    ): TransferAnswer {
        dropEarlierProcesses(from)
        val sender = senders.getOrPut(from) { Sender() }
        sender.forgetBelow(transfer.lowestOpenSequence)
        // The sender has an answer for every sequence below; this is a late repetition whose answer it ignores.
        if (transfer.sequence < sender.answeredBelow) return TransferAnswer.APPLIED
        sender.decisions[transfer.sequence]?.let { return it }
        val decision = decide()
        if (decision != TransferAnswer.LATER) sender.decisions[transfer.sequence] = decision
        return decision
    }

    /** A late message of an earlier process is refused by its incarnation only if a later one was heard; the record stays small. */
    private fun dropEarlierProcesses(from: RouterIdentity) {
        if (senders.size <= MAX_SENDERS) return
        senders.keys.removeIf {
            it.routerId == from.routerId && it.incarnation < from.incarnation &&
                senders.getValue(it).decisions.isEmpty()
        }
    }

    private class Sender {
        val decisions = HashMap<Long, TransferAnswer>()
        var answeredBelow = 0L

        fun forgetBelow(sequence: Long) {
            if (sequence <= answeredBelow) return
            answeredBelow = sequence
            decisions.keys.removeIf { it < sequence }
        }
    }

    private companion object {
        private const val MAX_SENDERS = 2_000
    }
}
