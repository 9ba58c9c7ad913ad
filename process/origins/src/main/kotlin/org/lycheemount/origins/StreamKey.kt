package org.lycheemount.origins

import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.ServiceId
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Stands for an attempt at a service: the first 8 bytes of a SHA-256 hash. */
@JvmInline
internal value class StreamKey(
    val value: Long,
)

/** Returns the key of the stream that [attemptId] began at [serviceId]. */
internal fun streamKeyOf(
    attemptId: CallerAttemptId,
    serviceId: ServiceId,
): StreamKey = StreamKey(hashOf("${serviceId.value}\u0000${attemptId.value}"))

/** Returns the first 8 bytes of the SHA-256 hash of [text]. */
internal fun hashOf(text: String): Long = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).long
