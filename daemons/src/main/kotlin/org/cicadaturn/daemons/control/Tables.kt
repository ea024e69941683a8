package org.cicadaturn.daemons.control

import org.cicadaturn.schema.generated.AcceptedChange
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.ChangeHistory
import org.cicadaturn.schema.generated.ControlFailure
import org.cicadaturn.schema.generated.ControlStatus
import org.cicadaturn.schema.generated.EndpointStatus
import org.cicadaturn.schema.generated.Plan

private const val COLUMN_SEPARATOR = "  "

/** Returns [rows] under [header], with the columns aligned. */
internal fun table(
    header: List<String>,
    rows: List<List<String>>,
): String {
    val lines = listOf(header) + rows
    val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n") { line ->
        line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString(COLUMN_SEPARATOR).trimEnd()
    }
}

/** Returns [plan] as human-readable text. */
internal fun textOf(plan: Plan): String {
    val effects =
        plan.steps.flatMapIndexed { i, step ->
            step.effects.map {
                listOf(
                    "${i + 1}",
                    it.service.text,
                    "${it.endpointsBefore} -> ${it.endpointsAfter}",
                    "${it.capacityBefore} -> ${it.capacityAfter}",
                    "${it.load}",
                )
            }
        }
    return listOfNotNull(
        "plan ${plan.id}, from revision ${plan.madeFrom}, by ${plan.madeBy}",
        plan.steps
            .mapIndexed { i, step -> "${i + 1}. ${step.description} (at most ${step.expectedTime})" }
            .joinToString("\n"),
        table(listOf("STEP", "SERVICE", "ENDPOINTS", "CAPACITY", "LOAD"), effects).takeIf { effects.isNotEmpty() },
        plan.warnings.joinToString("\n") { "warning: ${it.message}" }.takeIf { it.isNotEmpty() },
        "expected time: at most ${plan.expectedTime}",
        "nothing has changed; to put it into force: ctl confirm ${plan.id}",
    ).joinToString("\n")
}

/** Returns [change] as one human-readable line. */
internal fun textOf(change: AcceptedChange): String =
    "revision ${change.revision} is accepted, by ${change.acceptedBy}: ${change.change}"

/** Returns [status] as human-readable tables. */
internal fun textOf(status: ControlStatus): String {
    val configuration = status.configuration
    val current = if (configuration.current) "current" else "perhaps not current"
    val domains =
        status.domains.map {
            listOf(it.failureDomain.text, labelOf(it.state), "${it.inService}/${it.endpoints}", "${it.load}")
        }
    return listOfNotNull(
        "${status.process}: revision ${configuration.revision} ($current, from ${configuration.source}), " +
            "${status.inFlight} requests in flight",
        "last change: ${status.change}".takeIf { status.change.isNotEmpty() },
        "LOCAL DRAIN: this process refuses new work".takeIf { status.localDrain },
        "",
        table(listOf("DOMAIN", "STATE", "IN SERVICE", "LOAD"), domains),
        "",
        table(
            listOf(
                "ENDPOINT",
                "SERVICE",
                "DOMAIN",
                "HOST",
                "STATE",
                "LINK",
                "ENGINE",
                "RUNNING",
                "QUEUED",
                "BOUND",
                "OWN",
            ),
            status.endpoints.map(::endpointRow),
        ),
    ).joinToString("\n")
}

/** Returns [history] as a human-readable table. */
internal fun textOf(history: ChangeHistory): String {
    val rows =
        history.changes.map { listOf("${it.revision}", "${it.acceptedAt}", it.acceptedBy, it.change) }
    val text = table(listOf("REVISION", "ACCEPTED", "BY", "CHANGE"), rows)
    return if (history.complete) text else "$text\nthe store could not be read; earlier or newer changes may be missing"
}

/** Returns [failure] as human-readable text. */
internal fun textOf(failure: ControlFailure): String {
    val difference = failure.difference
    val change =
        difference?.let {
            val keys =
                it.keys.joinToString("") { key ->
                    "\n  ${key.kind.name.lowercase().replace('_', ' ')} ${key.id} ${key.change.name.lowercase()}"
                }
            "\nlast change, by ${it.acceptedBy}: ${it.change}$keys"
        }
    return "${failure.message}${change.orEmpty()}\n${failure.remedy}"
}

private fun endpointRow(status: EndpointStatus): List<String> {
    val endpoint = status.endpoint
    val view = status.view
    val load = view?.load
    val state =
        when {
            endpoint.state == AdmissionState.DRAINED -> labelOf(endpoint.state)
            status.inService -> labelOf(endpoint.state)
            else -> "domain drained"
        }
    return listOf(
        endpoint.id.text,
        endpoint.service.text,
        endpoint.failureDomain.text,
        endpoint.host.text,
        state,
        if (view?.connected == true) "up" else "down",
        load?.engine?.name?.lowercase() ?: "-",
        load?.running?.toString() ?: "-",
        load?.queued?.toString() ?: "-",
        load?.bound?.toString() ?: "-",
        view?.inFlight?.toString() ?: "-",
    )
}

private fun labelOf(state: AdmissionState): String = state.name.lowercase().replace('_', ' ')
