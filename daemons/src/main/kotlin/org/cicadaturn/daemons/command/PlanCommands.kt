package org.cicadaturn.daemons.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.help
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.HostId
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** Returns the command that groups the commands for planning changes; each passes its intent to [handler]. */
internal fun planCommand(handler: (ControlConnection, Intent) -> Int): CliktCommand {
    val group = GroupCommand("plan", "Makes a plan for a change and prints it; nothing changes until 'ctl confirm'.")
    return group.subcommands(
        StateCommand(
            "drain",
            "Plans to take a failure domain, a host or an endpoint out of service.",
            AdmissionState.DRAINED,
            handler,
        ),
        StateCommand(
            "return",
            "Plans to bring a failure domain, a host or an endpoint back into service.",
            AdmissionState.IN_SERVICE,
            handler,
        ),
        AdmitCommand(handler),
        RemoveCommand(handler),
        LimitsCommand(handler),
        ServiceCommand(handler),
    )
}

private val targets =
    mapOf(
        "domain" to IntentTarget.FAILURE_DOMAIN,
        "host" to IntentTarget.HOST,
        "endpoint" to IntentTarget.ENDPOINT,
    )

private class StateCommand(
    name: String,
    private val help: String,
    private val state: AdmissionState,
    private val handler: (ControlConnection, Intent) -> Int,
) : CliktCommand(name) {
    private val connection by requireObject<ControlConnection>()
    private val target by argument("KIND").choice(targets).help("domain, host or endpoint.")
    private val name by argument("NAME").help("Failure domain, host or endpoint as named in the configuration.")

    override fun help(context: Context): String = help

    override fun run(): Unit = throw ProgramResult(handler(connection, Intent.ChangeState(target, name, state)))
}

private class AdmitCommand(
    private val handler: (ControlConnection, Intent) -> Int,
) : CliktCommand("admit") {
    private val connection by requireObject<ControlConnection>()
    private val target by argument("KIND").choice("endpoint").help("endpoint.")
    private val name by argument("NAME").help("Identifier of the new endpoint; unique in the fleet.")
    private val host by option("--host", metavar = "HOST").required().help("Host that the endpoint runs on.")
    private val domain by option("--failure-domain", metavar = "NAME").required().help("Failure domain of the host.")
    private val service by option("--service", metavar = "NAME").required().help("Service that the endpoint serves.")
    private val address by option(
        "--address",
    ).address().required().help("Address on which the endpoint process listens for entry processes.")

    override fun help(context: Context): String = "Plans to add an endpoint."

    override fun run() {
        check(target == "endpoint") { "expected endpoint, but got $target" }
        val endpoint =
            Endpoint(
                id = EndpointId(name),
                host = HostId(host),
                failureDomain = FailureDomainId(domain),
                service = ServiceId(service),
                address = address,
                state = AdmissionState.IN_SERVICE,
            )
        throw ProgramResult(handler(connection, Intent.Admit(endpoint)))
    }
}

private class RemoveCommand(
    private val handler: (ControlConnection, Intent) -> Int,
) : CliktCommand("remove") {
    private val connection by requireObject<ControlConnection>()
    private val target by argument("KIND").choice("endpoint").help("endpoint.")
    private val name by argument("NAME").help("Endpoint as named in the configuration.")

    override fun help(context: Context): String = "Plans to remove a drained endpoint that has no requests."

    override fun run() {
        check(target == "endpoint") { "expected endpoint, but got $target" }
        throw ProgramResult(handler(connection, Intent.Remove(EndpointId(name))))
    }
}

private class LimitsCommand(
    private val handler: (ControlConnection, Intent) -> Int,
) : CliktCommand("limits") {
    private val connection by requireObject<ControlConnection>()
    private val name by argument("ORGANISATION").help("Organisation; it is created if it does not exist.")
    private val requests by option("--requests-in-flight", metavar = "N")
        .int()
        .required()
        .help("Maximum number of concurrent requests, over all entry processes.")
    private val tokens by option("--tokens-per-minute", metavar = "N")
        .long()
        .required()
        .help("Maximum number of tokens in any minute, over all entry processes.")
    private val keys by option("--key-digest", metavar = "SHA256")
        .multiple()
        .help("Digest of a bearer key; may be repeated. Replaces all existing keys; without it, they are kept.")

    override fun help(context: Context): String = "Plans to create an organisation or to change its limits."

    override fun run() {
        val digests = keys.map { Digest(it) }.ifEmpty { null }
        throw ProgramResult(handler(connection, Intent.SetLimits(OrganisationId(name), requests, tokens, digests)))
    }
}

private class ServiceCommand(
    private val handler: (ControlConnection, Intent) -> Int,
) : CliktCommand("service") {
    private val connection by requireObject<ControlConnection>()
    private val name by argument("SERVICE").help("Service; it is created if it does not exist.")
    private val kind by option("--kind")
        .choice(mapOf("model" to ServiceKind.MODEL, "plain" to ServiceKind.PLAIN))
        .required()
        .help("Kind of back end that serves the service.")
    private val models by option("--model", metavar = "NAME").multiple().help("Model that it serves; may be repeated.")
    private val idempotent by option("--idempotent").flag().help("Declares that requests may be repeated without harm.")
    private val deadline by option("--deadline")
        .duration(1.milliseconds..1.hours)
        .required()
        .help("Deadline of a request that does not specify one.")
    private val priority by option("--priority", metavar = "N")
        .int()
        .default(0)
        .help("Priority; services with a higher value are served first under overload.")

    override fun help(context: Context): String = "Plans to create or change a service."

    override fun run() {
        val service = Service(ServiceId(name), kind, models, idempotent, deadline, priority)
        throw ProgramResult(handler(connection, Intent.SetService(service)))
    }
}
