package org.lycheemount.app.ctl

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.optional
import kotlinx.cli.required
import kotlinx.cli.vararg
import java.util.UUID

private const val EXIT_CODES =
    "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 conflict with another operator, 4 unavailable or outcome unknown."

private const val STORE_OPTION = "Address of the platform's store, HOST:PORT"

/** Options that all subcommands accept. */
internal data class CommonOptions(
    val url: String,
    val keyFile: String?,
    val trustedCertificates: String?,
    val format: OutputFormat,
)

internal typealias Action = suspend Commands.() -> ExitCode

/** Parses the command line. On invalid arguments or a request for help, the parser terminates the process. */
internal class CommandLine {
    private val parser = ArgParser("lycheectl", strictSubcommandOptionsOrder = false)
    private val url by parser
        .option(ArgType.String, "url", description = "URL of a router's administration listener; LYCHEEMOUNT_ADMIN_URL by default")
        .default(System.getenv("LYCHEEMOUNT_ADMIN_URL") ?: "http://127.0.0.1:8081")
    private val keyFile by parser.option(ArgType.String, "key-file", description = "File with the key; LYCHEEMOUNT_ADMIN_KEY by default")
    private val trustedCertificates by parser.option(
        ArgType.String,
        "trusted-certificates",
        description = "PEM file of certificates to trust",
    )
    private val format by parser.option(ArgType.Choice<OutputFormat>(), "output", "o", "Output format").default(OutputFormat.TEXT)
    private var action: Action? = null

    fun parse(arguments: Array<String>): Pair<CommonOptions, Action>? {
        parser.subcommands(
            *(queryCommands() + changeCommands() + fileCommands() + budgetCommands() + storeCommands() + logCommands()).toTypedArray(),
        )
        parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
        return action?.let { CommonOptions(url, keyFile, trustedCertificates, format) to it }
    }

    private fun queryCommands(): List<Subcommand> =
        listOf(
            command("status", "Shows readiness, configuration and table state of the router. $EXIT_CODES") { { show("/status") } },
            command("dump", "Shows the complete state of the router") { { show("/state") } },
            command("items", "Lists configuration items") {
                val kind by option(ArgType.String, "kind", description = "team, class, model or service");
                { show("/items" + (kind?.let { "?kind=$it" } ?: "")) }
            },
            command("get", "Shows one item") {
                val kind by argument(ArgType.String, "kind", "team, class, model or service")
                val id by argument(ArgType.String, "id");
                { show("/items/$kind/$id") }
            },
            command("history", "Lists changes: who, when, what") {
                val after by option(ArgType.String, "after", description = "Show changes after this sequence number").default("0")
                val limit by option(ArgType.Int, "limit", description = "Number of changes, up to 500").default(100);
                { show("/history?after=$after&limit=$limit") }
            },
        )

    private fun changeCommands(): List<Subcommand> =
        listOf(
            command("put", "Creates or replaces one item") {
                val kind by argument(ArgType.String, "kind", "team, class, model or service")
                val id by argument(ArgType.String, "id")
                val file by option(ArgType.String, "file", "f", "JSON file of the item").required()
                val version by option(
                    ArgType.String,
                    "expected-version",
                    description = "Version that the item must have; 0 for a new one",
                ).required()
                val changeId by option(
                    ArgType.String,
                    "change-id",
                    description = "Id of the change; repeating an id has no further effect",
                );
                { withNonNegativeInteger(version) { put(kind, id, file, it, changeId ?: newId()) } }
            },
            command("delete", "Deletes one item") {
                val kind by argument(ArgType.String, "kind", "team, class, model or service")
                val id by argument(ArgType.String, "id")
                val version by option(ArgType.String, "expected-version", description = "Version that the item must have").required();
                { withNonNegativeInteger(version) { change("DELETE", "/items/$kind/$id?expectedVersion=$it&changeId=${newId()}") } }
            },
            command("key-create", "Creates a key of a team and shows it once") {
                val team by argument(ArgType.String, "team");
                { changeWithoutRetry("POST", "/teams/$team/keys") }
            },
            command("key-revoke", "Revokes a key of a team") {
                val team by argument(ArgType.String, "team")
                val hash by argument(ArgType.String, "sha256", "SHA-256 of the key");
                { change("DELETE", "/teams/$team/keys/$hash") }
            },
            command("republish", "Writes back items that the table lost in a restore") {
                { change("POST", "/republish?changeId=${newId()}") }
            },
            command("drain", "Starts the graceful shutdown of the router") { { change("POST", "/drain") } },
        )

    private fun fileCommands(): List<Subcommand> =
        listOf(
            command("apply", "Changes the active configuration to that of a file") {
                val file by option(ArgType.String, "file", "f", "Configuration file").required()
                val prune by option(ArgType.Boolean, "prune", description = "Delete items that the file does not name").default(false);
                { apply(file, prune) }
            },
            command("diff", "Shows what apply would change") {
                val file by option(ArgType.String, "file", "f", "Configuration file").required()
                val prune by option(ArgType.Boolean, "prune", description = "Delete items that the file does not name").default(false);
                { diff(file, prune) }
            },
            command("validate", "Checks a configuration file without a router") {
                val file by option(ArgType.String, "file", "f", "Configuration file").required();
                { validate(file) }
            },
        )

    private fun budgetCommands(): List<Subcommand> =
        listOf(
            command("budgets", "Shows the budgets of all teams, or one") {
                val id by argument(ArgType.String, "id", "Budget").optional();
                { show("/budgets" + (id?.let { "/$it" } ?: "")) }
            },
            command("budget-create", "Creates an empty budget") {
                val id by argument(ArgType.String, "id");
                { change("PUT", "/budgets/$id") }
            },
            command("top-up", "Adds tokens to a budget; repeating an id has no further effect") {
                val budget by argument(ArgType.String, "budget")
                val id by option(ArgType.String, "id", description = "Id of the top-up").required()
                val tokens by option(ArgType.String, "tokens", description = "Tokens to add").required();
                { withNonNegativeInteger(tokens) { change("POST", "/budgets/$budget/top-ups", topUpBody(id, it)) } }
            },
            command("write-off", "Closes the grant of a router that will not return and charges it to the budget") {
                val budget by argument(ArgType.String, "budget")
                val grant by argument(ArgType.String, "grant", description = "Id of the grant, as `budgets` shows it");
                { change("POST", "/budgets/$budget/grants/$grant/write-off") }
            },
            command("bills", "Lists bills of a budget") {
                val budget by argument(ArgType.String, "budget")
                val after by option(ArgType.String, "after", description = "Show bills after this request id");
                { show("/budgets/$budget/bills" + (after?.let { "?after=$it" } ?: "")) }
            },
        )

    /** Commands that call the platform's store instead of a router, and so also serve when no router runs. */
    private fun storeCommands(): List<Subcommand> =
        listOf(
            command("restored-budgets", "Shows tokens that nobody can use since the store came back from an older copy") {
                val store by option(ArgType.String, "store", description = STORE_OPTION).required();
                { showRestoredBudgets(openRestoredBudgets(store)) }
            },
            command("release-tokens", "Makes such tokens of a budget available, although routers have ended without a report") {
                val budget by argument(ArgType.String, "budget")
                val store by option(ArgType.String, "store", description = STORE_OPTION).required()
                val ended by option(
                    ArgType.String,
                    "ended",
                    description = "Router that has ended for good, as `restored-budgets` shows it; once for each",
                ).multiple()
                val keptTokens by option(
                    ArgType.String,
                    "keep-tokens",
                    description = "Tokens that stay charged, for what these routers may have used since the copy was made",
                ).required();
                { withNonNegativeInteger(keptTokens) { releaseTokens(openRestoredBudgets(store), budget, ended, it) } }
            },
        )

    private fun logCommands(): List<Subcommand> =
        listOf(
            command("explain", "Shows the log lines of all routers about one request, ordered by time") {
                val requestId by argument(ArgType.String, "request-id", "Request id that the caller sent")
                val files by argument(ArgType.String, "file", "Log files, one for each router; standard input if none").vararg().optional();
                { explain(requestId, files) }
            },
        )

    private fun command(
        name: String,
        description: String,
        define: Subcommand.() -> Action,
    ): Subcommand =
        object : Subcommand(name, description) {
            private val definedAction = define()

            override fun execute() {
                action = definedAction
            }
        }

    private suspend fun Commands.withNonNegativeInteger(
        text: String,
        block: suspend Commands.(Long) -> ExitCode,
    ): ExitCode {
        val number = text.toLongOrNull()?.takeIf { it >= 0 } ?: return wrongUsage("\"$text\" is not an integer from 0 to ${Long.MAX_VALUE}")
        return block(number)
    }

    private fun newId() = UUID.randomUUID().toString()
}
