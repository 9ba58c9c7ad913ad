package org.lycheemount.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.lycheemount.common.Refusal
import org.lycheemount.common.RefusalReason
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.ConfigurationView
import org.lycheemount.config.Team
import org.lycheemount.config.hashKey

/** Looks up the team of a bearer key by the SHA-256 of the key. Thread-safe. */
internal class TeamAuthenticator(
    configuration: ConfigurationView,
) {
    private val index = ConfigurationIndex(configuration, ::KeyIndex)

    fun authenticate(authorization: String?): Result<Team, Refusal> {
        val key = authorization?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.substring(SCHEME.length)?.trim()
        if (key.isNullOrEmpty()) return unauthenticated("a bearer key is required")
        val hash = hashKey(key)
        return index.current().teamsByKeyHash[hash]?.let(::Ok) ?: unauthenticated("the bearer key is unknown")
    }

    private fun unauthenticated(detail: String) = Err(Refusal(RefusalReason.UNAUTHENTICATED, detail))

    private class KeyIndex(
        snapshot: ConfigurationSnapshot,
    ) {
        val teamsByKeyHash =
            snapshot.teams.values
                .flatMap { team -> team.keyHashes.map { it to team } }
                .toMap()
    }

    private companion object {
        private const val SCHEME = "Bearer "
    }
}
