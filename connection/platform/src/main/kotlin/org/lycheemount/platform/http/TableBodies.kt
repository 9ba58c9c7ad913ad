package org.lycheemount.platform.http

import kotlinx.serialization.Serializable
import org.lycheemount.common.ModelId
import org.lycheemount.platform.TableService

/** Body of `POST read`; the response is a [org.lycheemount.platform.TableSnapshot]. */
@Serializable
data class TableReadBody(
    val keys: List<String>,
)

/** Body of `POST scan`; the response is a [org.lycheemount.platform.TableSnapshot]. */
@Serializable
data class TableScanBody(
    val prefix: String,
    val afterKey: String? = null,
    val limit: Int = TableService.DEFAULT_SCAN_LIMIT,
)

/** Body of `POST find`; the response is a [org.lycheemount.platform.TransactionStatus]. */
@Serializable
data class TableFindBody(
    val transactionId: String,
)

/** Body of `POST load` at the weight store; the response is a [org.lycheemount.platform.WeightLoadPermit]. */
@Serializable
data class WeightLoadBody(
    val modelId: ModelId,
    val version: String,
)
