package org.lycheemount.origins

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion
import java.nio.ByteBuffer
import java.util.Base64

/**
 * Row with the origins of streams.
 *
 * @property streams keys of the streams that began on each version, 8 bytes each, in Base64.
 */
@Serializable
internal data class OriginRow(
    val streams: Map<SoftwareVersion, String>,
)

/** Keys of rows in the table of origins. Rows of streams sort by the time at which they were begun, and before those of versions. */
internal object OriginKeys {
    const val PREFIX: String = "origin/"
    const val STREAMS: String = "origin/stream/"
    const val VERSIONS: String = "origin/version/"
    private const val TIME_DIGITS = 14
    private const val HEXADECIMAL = 16

    /** Key of the row of the versions of [serviceId]. Ids may be longer than a key. */
    fun versions(serviceId: ServiceId): String = VERSIONS + hashOf(serviceId.value).toULong().toString(HEXADECIMAL)

    /** First part of the key of a row of streams that was begun at [tableTimeMs]. */
    fun streams(tableTimeMs: Long): String = STREAMS + tableTimeMs.coerceAtLeast(0).toString().padStart(TIME_DIGITS, '0')

    /** Table time at which the row of streams under [key] was begun; null if the key has another form. */
    fun tableTimeMs(key: String): Long? = key.removePrefix(STREAMS).substringBefore('/').toLongOrNull()
}

private val json = Json { ignoreUnknownKeys = true }

internal fun encodeStreams(streams: Map<SoftwareVersion, List<StreamKey>>): String =
    json.encodeToString(OriginRow.serializer(), OriginRow(streams.mapValues { (_, keys) -> pack(keys) }))

/** Returns the version on which each of the streams in [value] began, or null if [value] is unreadable. */
internal fun decodeStreams(value: String): List<Pair<StreamKey, SoftwareVersion>>? =
    decodeOrNull {
        json.decodeFromString(OriginRow.serializer(), value).streams.flatMap { (version, keys) -> unpack(keys).map { it to version } }
    }

internal fun encodeHistory(history: VersionHistory): String = json.encodeToString(VersionHistory.serializer(), history)

/** Returns the history in [value], or null if it is unreadable. */
internal fun decodeHistory(value: String): VersionHistory? = decodeOrNull { json.decodeFromString(VersionHistory.serializer(), value) }

private fun <T> decodeOrNull(decode: () -> T): T? =
    try {
        decode()
    } catch (unreadable: SerializationException) {
        null
    } catch (unreadable: IllegalArgumentException) {
        null
    }

private fun pack(keys: List<StreamKey>): String {
    val bytes = ByteBuffer.allocate(keys.size * Long.SIZE_BYTES)
    keys.forEach { bytes.putLong(it.value) }
    return Base64.getEncoder().withoutPadding().encodeToString(bytes.array())
}

private fun unpack(text: String): List<StreamKey> {
    val bytes = Base64.getDecoder().decode(text)
    require(bytes.size % Long.SIZE_BYTES == 0) { "${bytes.size} bytes are no whole keys" }
    val buffer = ByteBuffer.wrap(bytes)
    return List(bytes.size / Long.SIZE_BYTES) { StreamKey(buffer.getLong()) }
}
