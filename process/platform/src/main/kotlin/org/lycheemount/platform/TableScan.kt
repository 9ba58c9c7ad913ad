package org.lycheemount.platform

/** Reads all rows whose keys start with [prefix], in pages, which are not of one moment. Returns null if the table did not respond. */
suspend fun TableService.scanAll(prefix: String): List<TableRow>? {
    val rows = mutableListOf<TableRow>()
    while (true) {
        val page = scan(prefix, rows.lastOrNull()?.key)
        if (page !is TableResult.Response) return null
        rows += page.value.rows
        if (page.value.rows.size < TableService.DEFAULT_SCAN_LIMIT) return rows
    }
}
