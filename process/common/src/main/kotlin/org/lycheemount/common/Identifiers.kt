package org.lycheemount.common

import kotlinx.serialization.Serializable

/** Identifier of a team, the owner of budgets and the subject of limits. */
@JvmInline
@Serializable
value class TeamId(
    val value: String,
)

/** Identifier of a prepaid token budget of a team. */
@JvmInline
@Serializable
value class BudgetId(
    val value: String,
)

/** Identifier of a caller request; unique across all routers. */
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

/** Identifier of a router process across all of its incarnations. */
@JvmInline
@Serializable
value class RouterId(
    val value: String,
)

/** Identifier of a VM, assigned by the platform. Unlike its address, it is never reused for another VM. */
@JvmInline
@Serializable
value class VmId(
    val value: String,
)

/**
 * Version of the software that a backend server runs. Versions have no order, and what two versions of a service write does not fit
 * together.
 */
@JvmInline
@Serializable
value class SoftwareVersion(
    val value: String,
) {
    /** Versions that stand for the absence of one. */
    companion object {
        /** The version of all servers where servers state none. */
        val UNSTATED: SoftwareVersion = SoftwareVersion("")
    }
}

/** Identifier that a caller gave to one attempt of a request. */
@JvmInline
@Serializable
value class CallerAttemptId(
    val value: String,
)

/** Identifier of an availability zone. */
@JvmInline
@Serializable
value class ZoneId(
    val value: String,
)

/** Identifier of a region. */
@JvmInline
@Serializable
value class RegionId(
    val value: String,
)

/** Identifier of a model, as callers request it. */
@JvmInline
@Serializable
value class ModelId(
    val value: String,
)

/** Identifier of a plain service. */
@JvmInline
@Serializable
value class ServiceId(
    val value: String,
)

/** Identifier of a backend server: one process of a model engine or of a plain service. */
@JvmInline
@Serializable
value class BackendServerId(
    val value: String,
)

/** Identifier of a work class, which has its own latency targets. */
@JvmInline
@Serializable
value class WorkClassId(
    val value: String,
)
