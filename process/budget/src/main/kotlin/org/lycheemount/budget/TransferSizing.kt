package org.lycheemount.budget

/**
 * State of a router that is asked for tokens.
 *
 * @property ratePerMs measured spend in tokens per millisecond.
 * @property shortfallTokens tokens that one of its own waiting requests lacks; 0 for none.
 * @property yieldsOnTie whether this router gives way to a peer that lacks the same number of tokens.
 */
internal data class SenderState(
    val usableTokens: Long,
    val ratePerMs: Double,
    val shortfallTokens: Long,
    val yieldsOnTie: Boolean,
)

/**
 * Tokens to transfer to a peer. Waiting requests of the peer take precedence over future requests of the sender, because they would
 * otherwise certainly be refused. Beyond that, the sender shares tokens that it does not need soon.
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
    val keptTokens = (sender.ratePerMs * options.expectedOutageMs / KEPT_OUTAGE_DIVISOR).toLong()
    val spareTokens = ((sender.usableTokens - urgentTokens - keptTokens) / 2).coerceAtLeast(0)
    return urgentTokens + minOf(spareTokens, tokenRequest.plannedTokens)
}

/** Parts of [lackingTokens] to request from peers, the richest first, as far as the [keptTokens] of each of them cover it. */
internal fun <T> partsOfRest(
    lackingTokens: Long,
    keptTokens: Map<T, Long>,
): Map<T, Long> {
    var restTokens = lackingTokens
    return buildMap {
        for ((peer, tokens) in keptTokens.entries.sortedByDescending { it.value }) {
            if (restTokens <= 0 || tokens <= 0) return@buildMap
            put(peer, minOf(restTokens, tokens))
            restTokens -= tokens
        }
    }
}

/** Tokens to request from peers during a table outage before this router runs out; 0 while its own tokens suffice. */
internal fun plannedTransferTokens(
    meter: SpendMeter,
    usableTokens: Long,
    options: BudgetOptions,
): Long {
    val lowWaterTokens = (meter.ratePerMs * options.expectedOutageMs / LOW_WATER_OUTAGE_DIVISOR).toLong()
    return if (usableTokens < lowWaterTokens) lowWaterTokens * 2 - usableTokens else 0
}

private const val LOW_WATER_OUTAGE_DIVISOR = 12
private const val KEPT_OUTAGE_DIVISOR = 6
