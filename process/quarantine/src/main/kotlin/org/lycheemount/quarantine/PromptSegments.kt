package org.lycheemount.quarantine

import kotlinx.serialization.Serializable

/** Identifies a segment of prompts. Segments with the same id have the same text. */
@Serializable
@JvmInline
value class SegmentId(
    val value: Long,
) {
    override fun toString(): String = value.toULong().toString(HEXADECIMAL)

    private companion object {
        private const val HEXADECIMAL = 16
    }
}

/**
 * Segments of the prompt of one request.
 *
 * @property shared segments that other requests may have as well, in prompt order.
 * @property own last segment, which belongs to the request or its session alone.
 */
@Serializable
data class PromptSegments(
    val shared: List<SegmentId>,
    val own: SegmentId,
) {
    /** All segments in prompt order. */
    val all: List<SegmentId> get() = shared + own
}
