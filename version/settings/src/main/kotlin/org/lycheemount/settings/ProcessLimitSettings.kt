package org.lycheemount.settings

import kotlinx.serialization.Serializable

/**
 * Limits on what callers and servers can make a process hold.
 *
 * @property memoryShare share of the maximum heap that request bodies, buffered responses and events may hold together.
 * @property maxConnections maximum number of connections of callers; null for half of the file descriptors beyond 200.
 * @property receiveBufferBytes size of the receive buffer of a caller's connection in bytes.
 * @property maxEventBytes size in bytes beyond which an event of a stream counts as one without end.
 */
@Serializable
data class ProcessLimitSettings(
    val memoryShare: Double = 0.3,
    val maxConnections: Int? = null,
    val receiveBufferBytes: Int = 16_384,
    val maxEventBytes: Int = 65_536,
)

internal val processLimitRule =
    FieldRule.Object(
        mapOf(
            "memoryShare" to FieldRule.Decimal(0.05..0.6),
            "maxConnections" to FieldRule.Integer(16L..1_000_000L),
            "receiveBufferBytes" to FieldRule.Integer(4_096L..1_048_576L),
            "maxEventBytes" to FieldRule.Integer(4_096L..1_048_576L),
        ),
        isRequired = false,
    )
