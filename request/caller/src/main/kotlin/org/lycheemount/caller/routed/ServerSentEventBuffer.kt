package org.lycheemount.caller.routed

/**
 * Splits a byte stream of server-sent events into complete events and extracts their ids. Not thread-safe.
 *
 * Only complete events are relayed, because a server may fail in the middle of an event and a partial event cannot be resumed.
 *
 * @param resumedAfterEventId id of the event after which the caller resumes the stream, or null.
 * @param isResumable whether the id of each event is the one after that of the event before. Otherwise ids only increase.
 */
internal class ServerSentEventBuffer(
    private val resumedAfterEventId: Long? = null,
    private val isResumable: Boolean = false,
) {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var scannedBytes = 0

    /** Id of the last event that the caller has received or been sent, or null. */
    var lastEventId: Long? = resumedAfterEventId
        private set

    /** Whether an event of the current attempt did not follow the one before it. That event and all later ones are discarded. */
    var isOutOfOrder = false
        private set

    /** Whether the first event of the attempt must follow [lastEventId]. */
    private var hasPredecessor = false

    /** Number of complete events with an id. */
    var eventCount = 0
        private set

    /** Number of buffered bytes of an incomplete event. */
    val pendingBytes: Int get() = size

    /** Number of bytes that the buffer occupies beyond its initial size. */
    val extraBytes: Int get() = buffer.size - INITIAL_BYTES

    /** Whether the beginning of an event has arrived without its end in this attempt. */
    val hasIncompleteEvent: Boolean get() = size > 0 || isIncompleteEventDiscarded
    private var isIncompleteEventDiscarded = false

    /** Discards an incomplete event and frees its memory. */
    fun discardIncompleteEvent() {
        isIncompleteEventDiscarded = hasIncompleteEvent
        size = 0
        scannedBytes = 0
        buffer = ByteArray(INITIAL_BYTES)
    }

    /**
     * Discards an incomplete event before the events of the next attempt.
     *
     * @param isResumed whether the attempt continues after [lastEventId]; otherwise the events of earlier attempts count as discarded.
     */
    fun startAttempt(isResumed: Boolean) {
        discardIncompleteEvent()
        isIncompleteEventDiscarded = false
        isOutOfOrder = false
        if (!isResumed) lastEventId = resumedAfterEventId
        hasPredecessor = isResumed || resumedAfterEventId != null
    }

    /** Appends [length] bytes and returns all events that are now complete; empty if there are none. */
    fun append(
        bytes: ByteArray,
        length: Int,
    ): ByteArray {
        if (size + length > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, size + length))
        bytes.copyInto(buffer, size, 0, length)
        size += length
        val end = endOfLastEvent()
        if (end == 0) return EMPTY
        val acceptedEvents = buffer.copyOf(acceptEvents(end))
        buffer.copyInto(buffer, 0, end, size)
        size -= end
        scannedBytes = 0
        return acceptedEvents
    }

    /** Returns the offset after the last complete event. An event ends with an empty line; lines end with LF or CR LF. */
    private fun endOfLastEvent(): Int {
        val earliest = maxOf(scannedBytes - 2, 1)
        for (index in size - 1 downTo earliest) {
            if (buffer[index] != LF) continue
            val previous = if (buffer[index - 1] == CR) index - 2 else index - 1
            if (previous >= 0 && buffer[previous] == LF) return index + 1
        }
        scannedBytes = size
        return 0
    }

    /** Reads the ids of the complete events up to [end]. Returns the offset of the first one that is out of order, or [end]. */
    private fun acceptEvents(end: Int): Int {
        var eventStart = 0
        var lineStart = 0
        var id: Long? = null
        var hasFields = false
        for (index in 0 until end) {
            if (buffer[index] != LF) continue
            val lineEnd = if (index > lineStart && buffer[index - 1] == CR) index - 1 else index
            if (lineEnd == lineStart) {
                if (isOutOfOrder || !accept(id, hasFields)) return eventStart
                eventStart = index + 1
                id = null
                hasFields = false
            } else if (buffer[lineStart] != COMMENT) {
                hasFields = true
                id = readId(lineStart, lineEnd) ?: id
            }
            lineStart = index + 1
        }
        return end
    }

    private fun accept(
        id: Long?,
        hasFields: Boolean,
    ): Boolean {
        if (hasFields && !isInOrder(id)) {
            isOutOfOrder = true
            return false
        }
        if (id != null) {
            lastEventId = id
            eventCount++
        }
        return true
    }

    private fun isInOrder(id: Long?): Boolean {
        val previousId = lastEventId
        return when {
            hasPredecessor -> id == previousId?.plus(1)
            id == null || previousId == null -> true
            isResumable -> id == previousId + 1
            else -> id > previousId
        }
    }

    private fun readId(
        start: Int,
        end: Int,
    ): Long? {
        if (end - start <= ID_FIELD.size || ID_FIELD.indices.any { buffer[start + it] != ID_FIELD[it] }) return null
        return buffer.decodeToString(start + ID_FIELD.size, end).trim().toLongOrNull()
    }

    private companion object {
        private const val INITIAL_BYTES = 1_024
        private const val LF = '\n'.code.toByte()
        private const val CR = '\r'.code.toByte()
        private const val COMMENT = ':'.code.toByte()
        private val ID_FIELD = "id:".encodeToByteArray()
        private val EMPTY = ByteArray(0)
    }
}
