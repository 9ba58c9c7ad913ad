package org.lycheemount.budget

import kotlinx.serialization.Serializable
import org.lycheemount.common.RouterIdentity

/**
 * Row by which a router states that it has written all that it held in earlier eras.
 *
 * @property peers routers to which it was connected since the copy was made, or shortly before.
 * @property isWitness whether it was running when the copy was made.
 * @property standsForPredecessors whether it has written the final rows of all grants of earlier processes on its VM as well.
 */
@Serializable
internal data class HoldingsRow(
    val router: RouterIdentity,
    val era: Long,
    val peers: Set<RouterIdentity>,
    val isWitness: Boolean,
    val standsForPredecessors: Boolean,
)

/** Key of the row of [router]. */
internal fun holdingsKey(router: RouterIdentity) = HOLDINGS_PREFIX + router.processName

/** Prefix of the keys of all such rows. */
internal const val HOLDINGS_PREFIX = "holdings/"
