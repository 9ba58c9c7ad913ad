package org.lycheemount.app.router.gateway

import com.github.michaelbull.result.fold
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.PublishedConfiguration
import org.lycheemount.platform.adapter.decodeConfiguration

/** A configuration of the given [version] as the operator wrote it. */
internal class ConfigurationDocument(
    val version: Long,
    val value: ByteArray,
)

/** Decodes configurations of the operator and activates each that is newer than the active one. Thread-safe. */
internal class ConfigurationLoader(
    private val configuration: PublishedConfiguration,
    private val clock: Clock,
    private val eventLog: EventLog,
    private val onAccepted: () -> Unit,
) {
    /** The active configuration; null before the first. */
    @Volatile
    var document: ConfigurationDocument? = null
        private set

    /** Loads the configuration in [value]. The fields of [origin] are logged. */
    fun load(
        value: ByteArray,
        vararg origin: Pair<String, Any?>,
    ) {
        val startedAtMs = clock.monotonicMs()
        decodeConfiguration(value).fold(
            {
                eventLog.info(
                    "configuration_read",
                    "version" to it.sequence,
                    "in_force" to configuration.current().sequence,
                    "bytes" to value.size,
                    "decode_ms" to clock.monotonicMs() - startedAtMs,
                    *origin,
                )
                if (activate(it, value)) onAccepted()
            },
            { eventLog.warn("configuration_unreadable", "error" to it, "in_force" to configuration.current().sequence, *origin) },
        )
    }

    @Synchronized
    private fun activate(
        snapshot: ConfigurationSnapshot,
        value: ByteArray,
    ): Boolean {
        if (!configuration.accept(snapshot)) return false
        document = ConfigurationDocument(snapshot.sequence, value)
        return true
    }
}
