package org.lycheemount.budget

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** Wakes the background loops. Signals are conflated until the loop wakes. */
internal class WorkSignals {
    private val tableWork = Channel<Unit>(Channel.CONFLATED)
    private val transfer = Channel<Unit>(Channel.CONFLATED)
    private val peerRequest = Channel<Unit>(Channel.CONFLATED)
    private val replication = Channel<Unit>(Channel.CONFLATED)

    fun signalTableWork() {
        tableWork.trySend(Unit)
    }

    fun signalReplication() {
        replication.trySend(Unit)
    }

    fun signalPeerRequest() {
        peerRequest.trySend(Unit)
    }

    suspend fun awaitPeerRequest(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { peerRequest.receive() }
    }

    fun signalTransfer() {
        transfer.trySend(Unit)
    }

    suspend fun awaitTransfer(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { transfer.receive() }
    }

    suspend fun awaitTableWork(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { tableWork.receive() }
    }

    suspend fun awaitReplication(timeoutMs: Long) {
        withTimeoutOrNull(timeoutMs) { replication.receive() }
    }
}
