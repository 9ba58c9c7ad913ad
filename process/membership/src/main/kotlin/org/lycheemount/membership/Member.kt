package org.lycheemount.membership

import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.RouterVm

/**
 * State of one router VM as observed by this router.
 *
 * @property vm null for a router that has sent messages but is not in the VM list yet.
 * @property identity null for a router from which no message has arrived.
 * @property silentMs time since the last message; null without one.
 */
data class Member(
    val vm: RouterVm?,
    val identity: RouterIdentity?,
    val evidence: Evidence,
    val silentMs: Long?,
)
