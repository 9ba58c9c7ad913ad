package org.lycheemount.budget

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** Wakes the background work; several signals before it wakes count as one. */
internal class WorkSignals {
    private val work = Channel<Unit>(Channel.CONFLATED)
    private val transfer = Channel<Unit>(Channel.CONFLATED)
    private val ask = Channel<Unit>(Channel.CONFLATED)
    private val replicate = Channel<Unit>(Channel.CONFLATED)

    fun work() {
        work.trySend(Unit)
    }

    fun replicate() {
        replicate.trySend(Unit)
    }

    fun ask() {
        ask.trySend(Unit)
    }

    suspend fun awaitAsk(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { ask.receive() }
    }

    fun transfer() {
        transfer.trySend(Unit)
    }

    suspend fun awaitTransfer(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { transfer.receive() }
    }

    suspend fun awaitWork(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { work.receive() }
    }

    suspend fun awaitReplicate(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { replicate.receive() }
    }
}
