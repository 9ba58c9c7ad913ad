package org.lycheemount.app.router.gateway

/** Whether a router may get requests, by what it has read and done since its start. */
internal class GatewayReadiness(
    private val hasConfiguration: () -> Boolean,
    private val isConfigurationChecked: () -> Boolean,
    private val hasServers: () -> Boolean,
    private val isWarmedUp: () -> Boolean,
    private val hasBudgets: () -> Boolean,
    private val hasStreamOrigins: () -> Boolean,
) {
    /** Returns why no request can be served, as codes; empty if requests can be. */
    fun cannotServeReasons(): List<String> =
        listOfNotNull(
            "no_configuration".takeIf { !hasConfiguration() },
            "configuration_unchecked".takeIf { hasConfiguration() && !isConfigurationChecked() },
            "no_servers".takeIf { !hasServers() },
        )

    /** Returns why the readiness check fails, as codes; empty if it succeeds. */
    fun notReadyReasons(): List<String> =
        cannotServeReasons() +
            listOfNotNull(
                "warming_up".takeIf { !isWarmedUp() },
                "no_budgets".takeIf { !hasBudgets() },
                "no_stream_origins".takeIf { !hasStreamOrigins() },
            )
}
