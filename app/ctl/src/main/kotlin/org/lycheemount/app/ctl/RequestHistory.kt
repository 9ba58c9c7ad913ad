package org.lycheemount.app.ctl

/**
 * Collects the log lines of all routers that explain one request. These are the lines of the request itself, and the last lines before
 * its arrival about the store, the configuration, the budget and the servers that were tried, from each router that handled it. Lines
 * of one source must be added in their order.
 */
internal class RequestHistory(
    private val requestId: String,
) {
    private val currentState = HashMap<String, LinkedHashMap<String, LogLine>>()
    private val stateAtArrival = LinkedHashMap<String, List<LogLine>>()
    private val requestLines = mutableListOf<LogLine>()

    fun add(line: LogLine) {
        if (line.fields["request_id"] == requestId || line.fields["requestId"] == requestId) {
            stateAtArrival.getOrPut(line.source) { currentState[line.source]?.values?.toList().orEmpty() }
            requestLines += line
        } else {
            for (subject in subjectsOf(line)) currentState.getOrPut(line.source) { LinkedHashMap() }.putLast(subject, line)
        }
    }

    /** Returns the lines that explain the request, ordered by time; empty if no line mentions it. */
    fun lines(): List<LogLine> {
        val mentionedWords = requestLines.flatMap { it.fields.values }.flatMap { WORD.findAll(it).map { word -> word.value } }.toSet()
        val relevant =
            stateAtArrival.values.flatten().filter { line ->
                subjectsOf(line).any { subject ->
                    ALWAYS_RELEVANT.any(subject::startsWith) || subject.substringAfter(':') in mentionedWords
                }
            }
        // The sort is stable, so at equal times the state of a router precedes its decision.
        return (relevant.distinct() + requestLines).sortedBy { it.time }
    }

    /** Subjects whose state the line reports. */
    private fun subjectsOf(line: LogLine): List<String> =
        when (line.event) {
            "store_reachable", "store_unreachable" -> listOf("store:${line.fields["rows"]}")
            "configuration_in_force" -> listOf("configuration")
            "router_started", "drain_started" -> listOf("process")
            "servers_changed" ->
                SERVER_LIST_FIELDS
                    .flatMap {
                        line.fields[it].orEmpty().split(
                            ',',
                        )
                    }.filter(String::isNotEmpty)
                    .map { "server:$it" }
            "grant_refilled", "grant_reduced", "grant_returned", "grant_stranded" -> listOf("grant:${line.fields["budget"]}")
            else -> emptyList()
        }

    private fun LinkedHashMap<String, LogLine>.putLast(
        subject: String,
        line: LogLine,
    ) {
        remove(subject)
        put(subject, line)
    }

    private companion object {
        private val WORD = Regex("[A-Za-z0-9_.-]+")
        private val ALWAYS_RELEVANT = listOf("store:", "configuration", "process")
        private val SERVER_LIST_FIELDS = listOf("added", "removed", "leaving")
    }
}
