package org.lycheemount.caller.routed

import org.lycheemount.common.CallerAttemptId

/** Hash of [attemptId] that is the same on all routers, uniformly distributed from 0 (inclusive) to 1 (exclusive). */
internal fun uniformHash(attemptId: CallerAttemptId): Double {
    var hash = FNV_OFFSET
    for (byte in attemptId.value.encodeToByteArray()) hash = (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME
    hash = (hash xor (hash ushr 33)) * -0xae502812aa7333L
    hash = (hash xor (hash ushr 33)) * -0x3b314601e57a13adL
    hash = hash xor (hash ushr 33)
    return (hash ushr (Long.SIZE_BITS - DOUBLE_BITS)).toDouble() / (1L shl DOUBLE_BITS)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val BYTE_MASK = 0xffL
private const val DOUBLE_BITS = 53
