package org.lycheemount.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.lycheemount.common.Clock
import org.lycheemount.common.Refusal
import org.lycheemount.common.TeamId
import org.lycheemount.config.Team
import java.util.concurrent.atomic.AtomicBoolean

/** Admits requests within the limits of their team and refuses new ones during the drain. Thread-safe. */
internal class AdmissionController(
    private val drain: DrainState,
    private val clock: Clock,
) {
    private val limiter = TeamLimiter()
    private val retryBudgets = HashMap<Pair<TeamId, String>, RetryBudget>()

    fun admit(
        team: Team,
        route: String,
        expiresAtMs: Long = Long.MAX_VALUE,
    ): Result<Admission, Refusal> {
        if (!drain.tryAdmit(expiresAtMs)) return Err(drainingRefusal(retryAfterMs = 1_000))
        val refusal =
            synchronized(this) {
                limiter.tryAcquire(team.teamId, team.limits, clock.monotonicMs())
                    ?: null.also { retryBudgetOf(team.teamId, route).onRequest() }
            }
        if (refusal == null) return Ok(Admission(team, route))
        drain.release()
        return Err(refusal)
    }

    @Synchronized
    fun runningRequests(): Map<TeamId, Int> = limiter.runningRequests()

    private fun retryBudgetOf(
        teamId: TeamId,
        route: String,
    ) = retryBudgets.getOrPut(teamId to route) { RetryBudget() }

    /** One admitted request. */
    inner class Admission(
        val team: Team,
        private val route: String,
    ) {
        private val released = AtomicBoolean()

        fun tryRetry(): Boolean = synchronized(this@AdmissionController) { retryBudgetOf(team.teamId, route).tryRetry() }

        /** Ends the request; idempotent. */
        fun release() {
            if (!released.compareAndSet(false, true)) return
            synchronized(this@AdmissionController) { limiter.release(team.teamId) }
            drain.release()
        }
    }
}
