package org.lycheemount.platform.http

import io.ktor.http.HttpMethod
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.platform.TransactionStatus

/** Table service over HTTP. Sends `POST` to `read`, `scan`, `commit` and `find` below [tableUrl]. */
internal class DefaultTableService(
    private val http: PlatformHttp,
    private val tableUrl: String,
) : TableService {
    override suspend fun read(keys: List<String>): TableResult<TableSnapshot> =
        post("read", TableReadBody(keys), TableReadBody.serializer(), TableSnapshot.serializer(), isReadOnly = true)

    override suspend fun scan(
        prefix: String,
        afterKey: String?,
        limit: Int,
    ): TableResult<TableSnapshot> {
        val body = TableScanBody(prefix, afterKey, limit)
        return post("scan", body, TableScanBody.serializer(), TableSnapshot.serializer(), isReadOnly = true)
    }

    override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> =
        post("commit", transaction, TableTransaction.serializer(), CommitOutcome.serializer(), isReadOnly = false)

    override suspend fun findTransaction(transactionId: String): TableResult<TransactionStatus> {
        val body = TableFindBody(transactionId)
        return post("find", body, TableFindBody.serializer(), TransactionStatus.serializer(), isReadOnly = true)
    }

    private suspend fun <Q, A> post(
        operation: String,
        body: Q,
        serializer: SerializationStrategy<Q>,
        deserializer: DeserializationStrategy<A>,
        isReadOnly: Boolean,
    ): TableResult<A> {
        val bytes = http.json.encodeToString(serializer, body).encodeToByteArray()
        val exchange = http.exchange(HttpMethod.Post, "$tableUrl/$operation", bytes)
        return http.toResult(exchange, isReadOnly) { http.decodeJson(it, deserializer) }
    }
}
