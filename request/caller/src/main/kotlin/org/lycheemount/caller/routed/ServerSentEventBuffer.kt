package org.lycheemount.caller.routed

/**
 * Splits a byte stream of server-sent events into complete events and extracts their ids. Not thread-safe.
 *
 * Only complete events are relayed, because a server may fail in the middle of an event and a partial event cannot be resumed.
 */
internal class ServerSentEventBuffer {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var scannedBytes = 0

    /** Id of the last complete event, or null. */
    var lastEventId: Long? = null
        private set

    /** Id of the first event since the last call of [startAttempt], or null. */
    var firstEventId: Long? = null
        private set

    /** Number of complete events with an id. */
    var eventCount = 0
        private set

    /** Number of buffered bytes of an incomplete event. */
    val pendingBytes: Int get() = size

    /** Discards an incomplete event before the events of the next attempt. */
    fun startAttempt() {
        size = 0
        scannedBytes = 0
        firstEventId = null
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
        val completeEvents = buffer.copyOf(end)
        buffer.copyInto(buffer, 0, end, size)
        size -= end
        scannedBytes = 0
        readIds(completeEvents)
        return completeEvents
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

    private fun readIds(events: ByteArray) {
        var lineStart = 0
        for (index in events.indices) {
            if (events[index] != LF) continue
            if (startsWithId(events, lineStart, index)) readId(events, lineStart + ID_FIELD.size, index)
            lineStart = index + 1
        }
    }

    private fun startsWithId(
        events: ByteArray,
        start: Int,
        end: Int,
    ): Boolean = end - start > ID_FIELD.size && ID_FIELD.indices.all { events[start + it] == ID_FIELD[it] }

    private fun readId(
        events: ByteArray,
        start: Int,
        end: Int,
    ) {
        val id = events.decodeToString(start, end).trim().toLongOrNull() ?: return
        if (firstEventId == null) firstEventId = id
        lastEventId = id
        eventCount++
    }

    private companion object {
        private const val INITIAL_BYTES = 1_024
        private const val LF = '\n'.code.toByte()
        private const val CR = '\r'.code.toByte()
        private val ID_FIELD = "id:".encodeToByteArray()
        private val EMPTY = ByteArray(0)
    }
}
