package org.lycheemount.common

import kotlinx.serialization.Serializable

/** Names a team, the owner of budgets and the subject of limits. */
@JvmInline
@Serializable
value class TeamId(
    val value: String,
)

/** Names a prepaid token budget of a team. */
@JvmInline
@Serializable
value class BudgetId(
    val value: String,
)

/** Names one caller request; unique over all routers. */
@JvmInline
@Serializable
value class RequestId(
    val value: String,
)

/** The caller's `idempotency-key` header, scoped to its team. */
@JvmInline
@Serializable
value class IdempotencyKey(
    val value: String,
)

/** Names a router process over all of its incarnations. */
@JvmInline
@Serializable
value class RouterId(
    val value: String,
)

/** The platform's name of a VM; never reused for another VM, unlike its address. */
@JvmInline
@Serializable
value class VmId(
    val value: String,
)

/** Names an availability zone. */
@JvmInline
@Serializable
value class ZoneId(
    val value: String,
)

/** Names a region. */
@JvmInline
@Serializable
value class RegionId(
    val value: String,
)

/** Names a model as callers request it. */
@JvmInline
@Serializable
value class ModelId(
    val value: String,
)

/** Names a plain service. */
@JvmInline
@Serializable
value class ServiceId(
    val value: String,
)

/** Names a backend server: one process of a model engine or of a plain service. */
@JvmInline
@Serializable
value class BackendServerId(
    val value: String,
)

/** Names a class of work with its own targets. */
@JvmInline
@Serializable
value class WorkClassId(
    val value: String,
)
