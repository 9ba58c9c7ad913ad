package org.lycheemount.membership

import kotlinx.coroutines.delay
import org.lycheemount.common.EventLog
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction
import java.security.SecureRandom
import java.util.Base64
import java.util.UUID

/**
 * Returns the shared secret of the routers of a fleet, for platforms that do not provide one. The first router writes it to the
 * table. Waits until the table responds. Anyone with read access to the table can act as a router.
 */
suspend fun awaitFleetSecret(table: TableService): ByteArray {
    while (true) {
        val current = table.read(listOf(KEY))
        if (current is TableResult.Response) {
            current.value.find(KEY)?.let { return Base64.getDecoder().decode(it.value) }
            val secret = ByteArray(SECRET_BYTES).also(SecureRandom()::nextBytes)
            val write = RowWrite(KEY, Base64.getEncoder().encodeToString(secret))
            // The next read returns the secret of the router that wrote first.
            table.commit(TableTransaction("$TRANSACTION_NAME-${UUID.randomUUID()}", listOf(RowCheck(KEY, 0)), listOf(write)))
        } else {
            delay(RETRY_MS)
        }
    }
}

/**
 * Writes [secret] to [table] again if it is missing in the first era that the store states, or each time the store has come back from an
 * older copy without it. If the table has another secret by then, of a router that started since the return, that one holds: [onReplaced]
 * gets it. Runs until it is cancelled.
 */
suspend fun keepFleetSecret(
    table: TableService,
    eras: StoreEras,
    secret: ByteArray,
    eventLog: EventLog,
    onReplaced: (ByteArray) -> Unit,
): Nothing {
    var held = secret
    eras.forEachEra { era ->
        var stored: ByteArray? = null
        val update =
            table.updateRow(KEY, TRANSACTION_NAME) { row ->
                stored = row?.let { Base64.getDecoder().decode(it.value) }
                if (row == null) Base64.getEncoder().encodeToString(held) else null
            }
        stored?.takeUnless { it.contentEquals(held) }?.let {
            eventLog.warn("fleet_secret_replaced", "era" to era.value)
            held = it
            onReplaced(it)
        }
        if (update == RowUpdate.WRITTEN) eventLog.info("fleet_secret_written_again", "era" to era.value)
        update != RowUpdate.FAILED
    }
}

private const val KEY = "fleet-secret"
private const val TRANSACTION_NAME = "fleet-secret"
private const val SECRET_BYTES = 32
private const val RETRY_MS = 300L
