package org.lycheemount.membership

import kotlinx.coroutines.delay
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction
import java.security.SecureRandom
import java.util.Base64
import java.util.UUID

/**
 * Returns the secret that the routers of a fleet share, for platforms that hand out none: the first router writes it to the table.
 * Waits until the table has answered. Whoever reads the table can act as a router.
 */
suspend fun awaitFleetSecret(table: TableService): ByteArray {
    while (true) {
        val current = table.read(listOf(KEY))
        if (current is TableResult.Answered) {
            current.value.find(KEY)?.let { return Base64.getDecoder().decode(it.value) }
            val secret = ByteArray(SECRET_BYTES).also(SecureRandom()::nextBytes)
            val write = RowWrite(KEY, Base64.getEncoder().encodeToString(secret))
            // Whether this write or another router's came first shows in the next read.
            table.commit(TableTransaction("fleet-secret-${UUID.randomUUID()}", listOf(RowCheck(KEY, 0)), listOf(write)))
        } else {
            delay(RETRY_MS)
        }
    }
}

private const val KEY = "fleet-secret"
private const val SECRET_BYTES = 32
private const val RETRY_MS = 300L
