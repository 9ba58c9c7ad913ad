package org.lycheemount.membership

import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.RouterVm

/**
 * One router VM as this router knows it.
 *
 * @property vm null for a router that has been heard but is not in the list yet.
 * @property identity null for a router that has not been heard.
 * @property silentMs time since the last message; null when there was none.
 */
data class Member(
    val vm: RouterVm?,
    val identity: RouterIdentity?,
    val evidence: Evidence,
    val silentMs: Long?,
)
