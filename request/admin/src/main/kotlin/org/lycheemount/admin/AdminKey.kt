package org.lycheemount.admin

import org.lycheemount.common.TeamId
import org.lycheemount.config.hashKey
import java.security.MessageDigest

/** What the holder of an administration key may do. Each role includes the ones before it. */
enum class AdminRole {
    /** Reads everything. */
    READ,

    /** Creates and revokes keys of one team. */
    TEAM_ADMIN,

    /** Changes everything. */
    OPERATOR,
}

/**
 * A key of the administration API.
 *
 * @property name stands for the key in the history and in logs.
 * @property keySha256 lower-case hexadecimal SHA-256 of the key.
 * @property teamId team of a team admin; null for the other roles.
 */
data class AdminKey(
    val name: String,
    val role: AdminRole,
    val keySha256: String,
    val teamId: TeamId? = null,
) {
    /** Returns whether the key may do what [requiredRole] allows, for [team] where the operation is about one. */
    fun allows(
        requiredRole: AdminRole,
        team: TeamId? = null,
    ): Boolean = role == AdminRole.OPERATOR || requiredRole == AdminRole.READ || (role == requiredRole && teamId != null && teamId == team)
}

internal class AdminAuthenticator(
    private val keys: List<AdminKey>,
) {
    /** Returns the key that [authorization], the header's value, presents, or null when it presents none. */
    fun authenticate(authorization: String?): AdminKey? {
        val bearerKey = authorization?.takeIf { it.startsWith(SCHEME_PREFIX) }?.removePrefix(SCHEME_PREFIX)?.trim() ?: return null
        val hash = hashKey(bearerKey).toByteArray()
        return keys.filter { MessageDigest.isEqual(it.keySha256.toByteArray(), hash) }.firstOrNull()
    }

    private companion object {
        private const val SCHEME_PREFIX = "Bearer "
    }
}
