package org.lycheemount.claims

import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RouterIdentity

/** What the primary does about a claim. */
internal sealed interface ClaimDecision {
    /** Answer at once. */
    class Answer(
        val reply: ClaimReply,
    ) : ClaimDecision

    /** Grant when the secondary has recorded [record]; [isNew] is false when this request may have been granted before. */
    class Record(
        val record: ClaimRecord,
        val isNew: Boolean,
    ) : ClaimDecision
}

/**
 * One router's part in one partition. Pure; the owner makes one call at a time.
 *
 * Only the primary of the newest epoch makes records, and a claim is granted only after the secondary of the same epoch
 * has recorded it. The next epoch begins with the records of one of the two, which ignores the old epoch from then on,
 * so every granted claim is known in the next epoch.
 */
internal class PartitionState(
    private val self: RouterIdentity,
    val partition: Int,
    private val lifetimeMs: Long,
) {
    private val records = LinkedHashMap<ClaimKey, ClaimRecord>()
    private val incoming = HashMap<Int, List<ClaimRecord>>()
    private var incomingId: String? = null
    private var lastSequence = 0L

    /** Newest row seen; rows of older epochs, as from a restored table, are ignored. */
    @Volatile
    var view: PartitionRow? = null
        private set

    /** Whether this member holds all claims of the partition. */
    var synced = false
        private set

    /** Whether the secondary holds all claims, as far as the primary knows. */
    var secondarySynced = false

    val isPrimary: Boolean get() = view?.primary == self
    val isSecondary: Boolean get() = view?.secondary == self
    val canDecide: Boolean get() = isPrimary && synced
    val canRecord: Boolean get() = isSecondary && synced

    /** Takes in a row from the table or a peer; returns true when it is newer than the one known. */
    fun adopt(row: PartitionRow): Boolean {
        val known = view
        if (known != null && row.epoch <= known.epoch) return false
        val brings = synced && row.primary == self && !row.fromTable && !row.closed
        val startsEmpty = known == null && row.epoch == FIRST_EPOCH
        view = row
        synced = (isPrimary || isSecondary) && (brings || startsEmpty)
        secondarySynced = startsEmpty
        if (!synced) records.clear()
        incoming.clear()
        return true
    }

    /** Decides a claim at the primary. [isGone] tells whether a router has certainly ended. */
    fun decide(
        request: ClaimRequest,
        nowMs: Long,
        isGone: (RouterIdentity) -> Boolean,
    ): ClaimDecision {
        check(canDecide) { "only a synced primary decides" }
        val known = current(request.key, nowMs, isGone)
        val outcome = known?.outcome
        if (known == null || (outcome is RecordedOutcome.NotRun && known.request.requestId != request.requestId)) {
            return if (isUnknown(nowMs) && known == null) unknownKey() else record(request, nowMs)
        }
        val reply =
            when {
                isOtherRequest(known.request, request) -> ClaimReply.Refused(otherRequest())
                outcome != null -> ClaimReply.Finished(outcome)
                known.request.requestId == request.requestId -> return ClaimDecision.Record(known, isNew = false)
                else -> ClaimReply.Running(known.request.requestId)
            }
        return ClaimDecision.Answer(reply)
    }

    /** Records the end of a request at the primary; returns the record to replicate, or null when nothing changes. */
    fun finish(
        request: ClaimRequest,
        outcome: RecordedOutcome,
        nowMs: Long,
    ): ClaimRecord? {
        val known = records[request.key]
        // Without a record, a release still has to stop a delayed claim of the same request.
        val isOpen = known == null || known.outcome == null || known.outcome is RecordedOutcome.Unknown
        if (!isOpen || (known != null && known.request.requestId != request.requestId)) return null
        return store(ClaimRecord(known?.request ?: request, epoch(), ++lastSequence, nowMs, outcome))
    }

    /** Records what the primary of the same epoch made. */
    fun apply(record: ClaimRecord) {
        val known = records[record.request.key]
        if (known == null || record.isNewerThan(known)) records[record.request.key] = record
        if (record.epoch == epoch()) lastSequence = maxOf(lastSequence, record.sequence)
    }

    /** Takes in a page of all claims; true when this member is synced. */
    fun receive(page: ClaimMessage.Sync): Boolean {
        if (synced) return true
        if (incomingId != page.transferId) {
            incomingId = page.transferId
            incoming.clear()
        }
        incoming[page.page] = page.records
        if (incoming.size < page.pages) return false
        install(incoming.values.flatten())
        incoming.clear()
        return true
    }

    /** Starts with [recovered] records: from the primary, or from the table when all members were lost. */
    fun install(recovered: List<ClaimRecord>) {
        records.clear()
        recovered.forEach { records[it.request.key] = it }
        synced = true
    }

    /** Ends this member's part in the epoch, so that nothing is granted while the row that closes the pair is written. */
    fun retire() {
        synced = false
    }

    /** Returns all records. */
    fun all(): List<ClaimRecord> = records.values.toList()

    /** Forgets outcomes whose lifetime is over and returns them; running requests stay. */
    fun removeExpired(nowMs: Long): List<ClaimRecord> {
        val expired = records.values.filter { it.outcome != null && it.atMs + lifetimeMs < nowMs }
        expired.forEach { records.remove(it.request.key) }
        return expired
    }

    /** Returns the record as it stands now: a holder that is gone, or silent for a whole lifetime, leaves it unknown. */
    private fun current(
        key: ClaimKey,
        nowMs: Long,
        isGone: (RouterIdentity) -> Boolean,
    ): ClaimRecord? {
        val known = records[key] ?: return null
        if (known.outcome != null) return known.takeIf { it.atMs + lifetimeMs >= nowMs }
        if (known.atMs + lifetimeMs >= nowMs && !isGone(known.request.holder)) return known
        val refusal =
            Refusal(RefusalReason.BACKEND_FAILED, "the router that ran request ${known.request.requestId.value} ended before it answered")
        return store(known.copy(epoch = epoch(), sequence = ++lastSequence, atMs = nowMs, outcome = RecordedOutcome.Unknown(refusal)))
    }

    private fun record(
        request: ClaimRequest,
        nowMs: Long,
    ) = ClaimDecision.Record(store(ClaimRecord(request, epoch(), ++lastSequence, nowMs)), isNew = true)

    private fun store(record: ClaimRecord): ClaimRecord = record.also { records[it.request.key] = it }

    private fun epoch() = view?.epoch ?: 0

    private fun isUnknown(nowMs: Long) = nowMs < (view?.unknownUntilMs ?: 0)

    private fun unknownKey(): ClaimDecision {
        val refusal = Refusal(RefusalReason.CLAIM_UNAVAILABLE, "the record of earlier requests with this idempotency key may be lost")
        return ClaimDecision.Answer(ClaimReply.Finished(RecordedOutcome.Unknown(refusal)))
    }

    /** The end of a request whose claim was lost is recorded without a fingerprint. */
    private fun isOtherRequest(
        known: ClaimRequest,
        request: ClaimRequest,
    ) = known.fingerprint.isNotEmpty() && known.fingerprint != request.fingerprint

    private fun otherRequest() = Refusal(RefusalReason.IDEMPOTENCY_CONFLICT, "the idempotency key was used for another request")
}
