package org.lycheemount.origins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.common.SoftwareVersion

/** Origins that the receiver is to keep for the sender. */
@Serializable
private data class OriginCopyMessage(
    @SerialName("s") val streams: List<CopiedStream>,
)

/**
 * One of these origins. Carries an age, since the clocks of the routers differ.
 *
 * @property isUnwritten whether the receiver is to write the record itself.
 */
@Serializable
private data class CopiedStream(
    @SerialName("k") val key: Long,
    @SerialName("v") val version: SoftwareVersion,
    @SerialName("a") val ageMs: Long,
    @SerialName("u") val isUnwritten: Boolean,
)

private val cbor = Cbor { ignoreUnknownKeys = true }

internal fun encodeCopies(
    copies: List<OriginCopy>,
    nowMs: Long,
): ByteArray {
    val streams = copies.map { CopiedStream(it.key.value, it.version, nowMs - it.atMs, it.isUnwritten) }
    return cbor.encodeToByteArray(OriginCopyMessage.serializer(), OriginCopyMessage(streams))
}

/** Returns the origins in [payload], or null if it is unreadable. */
internal fun decodeCopies(
    payload: ByteArray,
    nowMs: Long,
): List<OriginCopy>? =
    try {
        cbor.decodeFromByteArray(OriginCopyMessage.serializer(), payload).streams.map {
            OriginCopy(StreamKey(it.key), it.version, nowMs - maxOf(0, it.ageMs), it.isUnwritten)
        }
    } catch (unreadable: SerializationException) {
        null
    }
