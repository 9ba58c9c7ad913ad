package org.lycheemount.standin

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendTarget
import org.lycheemount.settings.RouterSettings
import org.lycheemount.settings.parseRouterSettings
import org.lycheemount.standin.check.parseConfiguration
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ShippedDeploymentsTest {
    private class DeploymentFiles(
        name: String,
    ) {
        private val directory = File("../../deployments/$name")
        val platform = standInJson.decodeFromString(PlatformStandInSettings.serializer(), read("platform.json"))
        val engines = standInJson.decodeFromString(EnginesSettings.serializer(), read("engines.json"))
        val services = standInJson.decodeFromString(ServicesSettings.serializer(), read("services.json"))
        val configuration = parseConfiguration(read("configuration.json"))
        val budgetIds: Set<String> =
            standInJson
                .parseToJsonElement(read("configuration.json"))
                .jsonObject
                .getValue("budgets")
                .jsonArray
                .mapTo(HashSet()) {
                    it.jsonObject
                        .getValue("budgetId")
                        .jsonPrimitive.content
                }
        val routers: List<RouterSettings> =
            directory.resolve("routers").listFiles().orEmpty().sorted().map { file ->
                parseRouterSettings(file.readText()).getOrElse { error("${file.name}: $it") }
            }

        private fun read(file: String) = directory.resolve(file).readText()

        fun ports(): List<Int> =
            listOf(platform.port, engines.controlPort, services.controlPort) + platform.zonePorts.values +
                engines.engines.map { it.port } + services.servers.map { it.port } +
                routers.flatMap { listOf(it.callers.port, it.admin.port, it.peers.port) }

        fun hosts(): Set<String> =
            setOf(platform.host, engines.host, services.host) + engines.engines.map { it.host } + services.servers.map { it.host } +
                routers.flatMap { listOf(it.callers.host, it.admin.host, it.peers.host) }
    }

    private val association = DeploymentFiles("association")
    private val tartanmaat = DeploymentFiles("tartanmaat")

    @Nested
    inner class `the settings files` {
        @Test
        fun `use each loopback port once, over both deployments`() {
            val ports = association.ports() + tartanmaat.ports()

            assertEquals(ports.distinct(), ports)
            assertEquals(setOf("127.0.0.1"), association.hosts() + tartanmaat.hosts())
        }

        @Test
        fun `list every router and backend server with its port and connect each router to the table of its zone`() {
            for (files in listOf(association, tartanmaat)) {
                val backendPorts = (files.engines.engines.map { it.port } + files.services.servers.map { it.port }).toSet()
                val listed = files.platform.vms

                assertEquals(files.routers.map { it.vmId to it.peers.port }, listed.routers.map { it.vmId to it.peerPort })
                assertEquals(backendPorts, listed.backendServers.map { it.port }.toSet())
                assertTrue(files.routers.all { it.platform.tableUrl.contains(":${files.platform.zonePorts.getValue(it.zoneId)}/") })
            }
        }

        @Test
        fun `contain a server for every configured model and service and refer only to known work classes and budgets`() {
            for (files in listOf(association, tartanmaat)) {
                val configuration = files.configuration
                val targets =
                    configuration.models.keys.map { BackendTarget.Model(it) } +
                        configuration.services.keys.map { BackendTarget.Service(it) }
                val served =
                    files.platform.vms.backendServers
                        .flatMap { it.targets }
                val classes =
                    configuration.models.values.map { it.defaultWorkClassId } + configuration.services.values.map { it.defaultWorkClassId }

                assertTrue(served.containsAll(targets))
                assertTrue(configuration.workClasses.keys.containsAll(classes))
                assertEquals(
                    configuration.teams.values
                        .map { it.budgetId.value }
                        .toSet(),
                    files.budgetIds,
                )
                assertEquals(10, configuration.teams.size)
            }
        }
    }
}
