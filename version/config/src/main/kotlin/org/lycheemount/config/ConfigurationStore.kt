package org.lycheemount.config

import org.lycheemount.platform.TableResult

/** Changes the durable configuration. Any router can run any operation. */
interface ConfigurationStore {
    /** Applies [request] atomically. An accepted change is durable and active on this router. */
    suspend fun change(request: ChangeRequest): ChangeOutcome

    /**
     * Writes the items that a restored table has lost back to it, under a new version.
     * Returns [ChangeOutcome.Accepted] with the current sequence if the table has lost nothing.
     */
    suspend fun republish(
        changeId: String,
        operator: String,
    ): ChangeOutcome

    /** Returns up to [limit] changes after [afterSequence] in order. */
    suspend fun history(
        afterSequence: Long,
        limit: Int,
    ): TableResult<List<ConfigurationChange>>
}
