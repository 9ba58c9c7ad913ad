package org.lycheemount.admin

import org.lycheemount.common.TeamId
import org.lycheemount.config.hashKey
import java.security.MessageDigest

/** Role of an administration key. [OPERATOR] includes the other roles, and every role may read. */
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
 * @property name identifies the key in the change history and in logs.
 * @property keySha256 lower-case hexadecimal SHA-256 of the key.
 * @property teamId team that a [AdminRole.TEAM_ADMIN] key manages; null for the other roles.
 */
data class AdminKey(
    val name: String,
    val role: AdminRole,
    val keySha256: String,
    val teamId: TeamId? = null,
) {
    /** Returns whether the key may run an operation that needs [requiredRole]. [team] is the team that the operation applies to, if any. */
    fun allows(
        requiredRole: AdminRole,
        team: TeamId? = null,
    ): Boolean = role == AdminRole.OPERATOR || requiredRole == AdminRole.READ || (role == requiredRole && teamId != null && teamId == team)
}

internal class AdminAuthenticator(
    private val keys: List<AdminKey>,
) {
    /** Returns the key for the value of the `Authorization` header, or null if it contains no known key. */
    fun authenticate(authorization: String?): AdminKey? {
        val bearerKey = authorization?.takeIf { it.startsWith(SCHEME_PREFIX) }?.removePrefix(SCHEME_PREFIX)?.trim() ?: return null
        val hash = hashKey(bearerKey).toByteArray()
        return keys.filter { MessageDigest.isEqual(it.keySha256.toByteArray(), hash) }.firstOrNull()
    }

    private companion object {
        private const val SCHEME_PREFIX = "Bearer "
    }
}
