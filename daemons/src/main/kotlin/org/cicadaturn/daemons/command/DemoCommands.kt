package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.cicadaturn.daemons.settings.parseAddress
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.HostId
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Returns the command that groups the demonstration commands that have a handler, or null if none has one. */
internal fun demoCommand(
    handlers: DemoHandlers,
    setUpLogs: (String, String) -> Unit,
): CliktCommand? {
    val commands =
        listOfNotNull(
            handlers.configure?.let { ConfigureCommand(it, setUpLogs) },
            handlers.drive?.let { DriveCommand(it, setUpLogs) },
        )
    if (commands.isEmpty()) return null
    return GroupCommand(
        "demo",
        "Configures a demonstration and applies load to it; bin/demo runs a complete one.",
    ).subcommands(commands)
}

private const val ENDPOINT_FIELD_COUNT = 4

private class ConfigureCommand(
    private val handler: (DemoSetup) -> Int,
    private val setUpLogs: (String, String) -> Unit,
) : CliktCommand("configure") {
    private val store by option("--store").address().required().help("Address of the platform's object API.")
    private val endpoints by option("--endpoint", metavar = "ID,DOMAIN,SERVICE,IP:PORT")
        .convert { parseEndpoint(it) ?: fail("$it does not have the form ID,DOMAIN,SERVICE,IP:PORT") }
        .multiple(required = true)
        .help("Endpoint to admit; may be given several times.")
    private val organisationKey by option("--organisation-key").required().help("Bearer key of the organisation.")
    private val operatorKey by option("--operator-key").required().help("Key of the operator.")
    private val logs by LogOptions("warn")

    override fun help(context: Context): String = "Writes the first configuration of a demonstration."

    override fun run() {
        setUpLogs(logs.level, logs.format)
        throw ProgramResult(handler(DemoSetup(store, endpoints, organisationKey, operatorKey)))
    }
}

private fun parseEndpoint(text: String): Endpoint? {
    val parts = text.split(',')
    if (parts.size != ENDPOINT_FIELD_COUNT) return null
    val address = parseAddress(parts.last()) ?: return null
    val (id, domain, service) = parts
    return Endpoint(
        id = EndpointId(id),
        host = HostId("host-$id"),
        failureDomain = FailureDomainId(domain),
        service = ServiceId(service),
        address = address,
        state = AdmissionState.IN_SERVICE,
    )
}

private val durationRange: ClosedRange<Duration> = 1.seconds..1.hours

private class DriveCommand(
    private val handler: (DemoLoad) -> Int,
    private val setUpLogs: (String, String) -> Unit,
) : CliktCommand("drive") {
    private val entries by option(
        "--entry",
    ).address().multiple(required = true).help("Address on which an entry process accepts callers.")
    private val admins by option(
        "--admin",
    ).address().multiple(required = true).help("Admin listener of an entry process.")
    private val orderServices by option(
        "--orders",
    ).address().multiple(required = true).help("Address of a stand-in order service.")
    private val engines by option(
        "--engine",
    ).address().multiple(required = true).help("Address of a stand-in model engine.")
    private val organisationKey by option("--organisation-key").required().help("Bearer key of the organisation.")
    private val operatorKey by option("--operator-key").required().help("Key of the operator.")
    private val drain by option(
        "--drain",
        metavar = "DOMAIN",
    ).help("Failure domain to drain and return to service during the run.")
    private val draftRate by option("--drafts", metavar = "PER_SECOND")
        .double()
        .restrictTo(0.0..10_000.0)
        .default(20.0)
        .help("Mean rate of drafts.")
    private val orderRate by option("--order-rate", metavar = "PER_SECOND")
        .double()
        .restrictTo(0.0..10_000.0)
        .default(10.0)
        .help("Mean rate of orders.")
    private val duration by option("--duration")
        .duration(durationRange)
        .default(20.seconds, defaultForHelp = "20s")
        .help("Duration of the load.")
    private val seed by seedOption()
    private val format by formatOption()
    private val logs by LogOptions("warn")

    override fun help(context: Context): String =
        "Sends drafts and orders, and prints how many were answered completely, answered in time, lost and run twice."

    override fun run() {
        setUpLogs(logs.level, logs.format)
        val load =
            DemoLoad(
                entries,
                admins,
                orderServices,
                engines,
                organisationKey,
                operatorKey,
                drain,
                draftRate,
                orderRate,
                duration,
                seed,
                format,
            )
        throw ProgramResult(handler(load))
    }
}
