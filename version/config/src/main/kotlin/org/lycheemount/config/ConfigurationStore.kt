package org.lycheemount.config

import org.lycheemount.platform.TableResult

/** Changes the durable configuration. Every operation may be called on any router. */
interface ConfigurationStore {
    /** Applies [request] as a whole or not at all; an accepted change is durable and in force on this router. */
    suspend fun change(request: ChangeRequest): ChangeOutcome

    /**
     * Writes the items that a restored table has lost back to it, under a new version.
     * Accepted with the sequence in force when there was nothing to write.
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
