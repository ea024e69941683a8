package org.cicadaturn.daemons

import arrow.core.Either
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.cicadaturn.daemons.command.OutputFormat
import org.cicadaturn.daemons.command.REFUSED
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.daemons.command.StoreConnection
import org.cicadaturn.daemons.command.UNREACHABLE
import org.cicadaturn.daemons.control.table
import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.quarantine.serviceSegment
import org.cicadaturn.decisions.quarantine.suspect
import org.cicadaturn.platform.platformStore
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.gateway.FleetStore
import org.cicadaturn.tasks.http.httpConnector
import org.cicadaturn.tasks.http.httpRuntime
import org.cicadaturn.tasks.store.StoreError
import java.util.Locale
import kotlin.time.Instant

/** Prints the prompt segments and requests that the store at [connection] lists as held back; returns the exit code. */
internal fun listQuarantine(
    connection: StoreConnection,
    format: OutputFormat,
): Int =
    withStore(connection) { it.list(FleetPart.QUARANTINE) }.fold(::reportFailure) { content ->
        val entries = content.changes.mapNotNull { (it as? FleetChange.SegmentQuarantined)?.entry }
        println(if (format == OutputFormat.JSON) jsonOf(entries) else textOf(entries))
        SUCCESS
    }

/** Ends the quarantine of the segment or request with the name [segment] at [service] in the store at [connection]; returns the exit code. */
internal fun releaseSegment(
    connection: StoreConnection,
    service: String,
    segment: String,
): Int =
    withStore(connection) { it.release(serviceSegment(ServiceId(service), segment)) }
        .fold(::reportFailure) {
            println("$segment of $service is released; gateways follow within seconds")
            SUCCESS
        }

private fun <T> withStore(
    connection: StoreConnection,
    call: suspend (FleetStore) -> Either<StoreError, T>,
): Either<StoreError, T> {
    val runtime = httpRuntime(endOnFatalErrors())
    try {
        val store = platformStore(httpConnector(runtime), connection.address, connection.timeout)
        return runBlocking { withContext(runtime.dispatcher) { call(store) } }
    } finally {
        runtime.close()
    }
}

private fun reportFailure(error: StoreError): Int {
    System.err.println("cicadaturn: ${error.message}")
    return if (error is StoreError.Unavailable || error is StoreError.Unanswered) UNREACHABLE else REFUSED
}

private fun jsonOf(entries: List<QuarantinedSegment>): String =
    Json.encodeToString(ListSerializer(QuarantinedSegment.serializer()), entries)

private fun textOf(entries: List<QuarantinedSegment>): String {
    val rows =
        entries.map {
            listOf(
                it.service.text,
                it.kind.name.lowercase(),
                it.suspect.name,
                String.format(Locale.ROOT, "%.3f", it.confidence),
                "${it.crashes}",
                "${Instant.fromEpochMilliseconds(it.since)}",
                it.endpoints.joinToString(" ") { e -> e.text },
            )
        }
    return table(listOf("SERVICE", "KIND", "SEGMENT", "CONFIDENCE", "CRASHES", "SINCE", "ENDPOINTS"), rows)
}
