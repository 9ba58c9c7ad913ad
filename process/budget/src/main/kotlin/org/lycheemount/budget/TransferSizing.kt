package org.lycheemount.budget

/**
 * A router that is asked for tokens.
 *
 * @property shortfallTokens tokens that a waiting request of its own lacks; 0 for none.
 * @property yieldsOnTie order between two routers that lack the same.
 */
internal data class SenderState(
    val usableTokens: Long,
    val ratePerMs: Double,
    val shortfallTokens: Long,
    val yieldsOnTie: Boolean,
)

/**
 * Tokens to hand to a peer. What a waiting request lacks goes before the sender's own future requests, since refusing a request
 * that waits is certain harm. Beyond that the sender shares what it will not need soon.
 */
internal fun transferableTokens(
    sender: SenderState,
    tokenRequest: TokenMessage.TokenRequest,
    options: BudgetOptions,
): Long {
    val ownShortfallTokens = sender.shortfallTokens
    val keepsOnTie = ownShortfallTokens == tokenRequest.shortfallTokens && !sender.yieldsOnTie
    if (ownShortfallTokens > 0 && (ownShortfallTokens < tokenRequest.shortfallTokens || keepsOnTie)) return 0
    val urgentTokens = minOf(tokenRequest.shortfallTokens, sender.usableTokens)
    val keptTokens = (sender.ratePerMs * options.expectedOutageMs / KEPT_OUTAGE_PARTS).toLong()
    val spareTokens = ((sender.usableTokens - urgentTokens - keptTokens) / 2).coerceAtLeast(0)
    return urgentTokens + minOf(spareTokens, tokenRequest.plannedTokens)
}

/** Tokens to ask of peers during an outage of the table before the own ones run out; 0 while they last. */
internal fun plannedTransferTokens(
    meter: SpendMeter,
    usableTokens: Long,
    options: BudgetOptions,
): Long {
    val lowWaterTokens = (meter.ratePerMs * options.expectedOutageMs / LOW_OUTAGE_PARTS).toLong()
    return if (usableTokens < lowWaterTokens) lowWaterTokens * 2 - usableTokens else 0
}

private const val LOW_OUTAGE_PARTS = 12
private const val KEPT_OUTAGE_PARTS = 6
