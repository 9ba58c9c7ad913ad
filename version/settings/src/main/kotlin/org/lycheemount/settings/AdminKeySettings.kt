package org.lycheemount.settings

import kotlinx.serialization.Serializable
import org.lycheemount.common.TeamId

/**
 * A key of the administration API. The settings contain only its hash.
 *
 * @property name identifies the key in the change history and in logs.
 * @property role `read`, `team_admin` or `operator`.
 * @property keySha256 lower-case hexadecimal SHA-256 of the key.
 * @property teamId team whose keys a `team_admin` may create and revoke; null for the other roles.
 */
@Serializable
data class AdminKeySettings(
    val name: String,
    val role: String,
    val keySha256: String,
    val teamId: TeamId? = null,
)
