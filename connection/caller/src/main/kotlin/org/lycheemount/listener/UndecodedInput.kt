package org.lycheemount.listener

import io.netty.buffer.ByteBuf

/** Bytes that were passed to the HTTP decoder since the last message. */
internal class UndecodedInput {
    /** Number of bytes, except for those that arrived in one buffer with the end of the last message. */
    var bytes = 0
        private set
    private var lines = 0

    /** Adds a part of [size]. */
    fun add(size: InputSize) {
        bytes += size.bytes
        lines += size.lines
    }

    /** A message has been decoded. */
    fun clear() {
        bytes = 0
        lines = 0
    }

    /** Whether the caller has sent more than [limits] permit for one message. */
    fun exceeds(limits: ConnectionLimits): Boolean = bytes > limits.maxUndecodedBytes || lines > limits.maxUndecodedLines
}

/**
 * Size of a part of the input.
 *
 * @property lines number of ends of lines.
 */
internal class InputSize(
    val bytes: Int,
    val lines: Int,
) {
    companion object {
        private const val LINE_FEED = '\n'.code.toByte()

        /** Returns the size of the readable part of [buffer]. */
        fun of(buffer: ByteBuf): InputSize {
            var lines = 0
            buffer.forEachByte { byte ->
                if (byte == LINE_FEED) lines++
                true
            }
            return InputSize(buffer.readableBytes(), lines)
        }
    }
}
