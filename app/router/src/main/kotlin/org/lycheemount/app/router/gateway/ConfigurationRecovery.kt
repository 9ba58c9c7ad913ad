package org.lycheemount.app.router.gateway

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.lycheemount.common.RouterId
import org.lycheemount.config.ConfigurationView

/**
 * Reads the configuration from a peer if the store has an older one, which happens after it has come back from an older copy (decision
 * 0049).
 *
 * @param awaitCurrent returns true once all versions that the store had before the call are active, or false if it does not respond.
 * @param request returns the configuration of a peer that is newer than the given version, or null.
 * @param load activates a configuration if it is newer than the active one.
 */
internal class ConfigurationRecovery(
    private val configuration: ConfigurationView,
    private val lag: ConfigurationLag,
    private val awaitCurrent: suspend () -> Boolean,
    private val request: suspend (RouterId, Long) -> ByteArray?,
    private val load: (ByteArray, RouterId) -> Unit,
) {
    /** The peer that has reported a newer version last. */
    private val reports = Channel<RouterId>(Channel.CONFLATED)

    /** The peer [from] has [version]. */
    fun onPeerVersion(
        from: RouterId,
        version: Long,
    ) {
        lag.onPeerVersion(from, version)
        if (version > configuration.current().sequence) reports.trySend(from)
    }

    /** Runs until it is cancelled. */
    suspend fun run() {
        for (peer in reports) {
            delay(MIN_LAG_MS)
            if (lag.isBehind && awaitCurrent() && lag.isBehind) {
                request(peer, configuration.current().sequence)?.let { load(it, peer) }
            }
        }
    }

    private companion object {
        // The store normally delivers a new version earlier, and awaitCurrent is a call to it.
        private const val MIN_LAG_MS = 500L
    }
}
