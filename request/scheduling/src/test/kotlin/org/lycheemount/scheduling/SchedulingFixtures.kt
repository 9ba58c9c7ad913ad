package org.lycheemount.scheduling

import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.WorkClassId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.WorkClass

internal val model = BackendTarget.Model(ModelId("loft-model"))
internal val urgentClass = WorkClass(WorkClassId("counter"), firstTokenTargetMs = 1_000, completionTargetMs = 5_000)
internal val delayTolerantClass =
    WorkClass(WorkClassId("assessment"), firstTokenTargetMs = 30_000, completionTargetMs = 60_000, mustFinish = true)

internal fun server(
    index: Int,
    leaving: Boolean = false,
    version: SoftwareVersion = SoftwareVersion.UNSTATED,
) = BackendServer(BackendServerId("s$index"), VmId("vm$index"), ZoneId("z${index % 2}"), "127.0.0.1", 1, setOf(model), leaving, version)

internal fun item(
    id: String,
    team: String = "team-a",
    workClass: WorkClass = urgentClass,
    arrivedAtMs: Long = 0,
    deadlineAtMs: Long? = null,
    prefixHashes: List<Long> = emptyList(),
    excluded: Set<BackendServerId> = emptySet(),
    versions: Set<SoftwareVersion>? = null,
) = WorkItem(
    RequestId(id),
    TeamId(team),
    workClass.workClassId,
    model,
    promptTokens = maxOf(32, prefixHashes.size * 32),
    maxOutputTokens = 16,
    prefixHashes = prefixHashes,
    arrivedAtMs = arrivedAtMs,
    deadlineAtMs = deadlineAtMs,
    excludedServers = excluded,
    allowedVersions = versions,
)

internal fun scheduler(
    servers: List<BackendServer>,
    seed: Long = 1,
): DefaultRequestScheduler {
    val scheduler = DefaultRequestScheduler(ZoneId("z0"), seed)
    scheduler.onWorkClasses(listOf(urgentClass, delayTolerantClass))
    scheduler.onBackendServers(servers, 0)
    return scheduler
}

internal fun DefaultRequestScheduler.startsAt(nowMs: Long): List<SchedulerAction.Start> =
    poll(nowMs).filterIsInstance<SchedulerAction.Start>()
