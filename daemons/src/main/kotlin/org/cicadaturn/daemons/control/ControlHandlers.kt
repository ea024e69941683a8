package org.cicadaturn.daemons.control

import arrow.core.Either
import io.ktor.http.HttpMethod
import io.ktor.http.encodeURLPathPart
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import org.cicadaturn.daemons.command.ControlConnection
import org.cicadaturn.daemons.command.ControlHandlers
import org.cicadaturn.daemons.command.FAILED_RUN
import org.cicadaturn.daemons.command.OutputFormat
import org.cicadaturn.daemons.command.REFUSED
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.daemons.command.UNREACHABLE
import org.cicadaturn.schema.generated.AcceptedChange
import org.cicadaturn.schema.generated.ChangeHistory
import org.cicadaturn.schema.generated.ControlFailure
import org.cicadaturn.schema.generated.ControlStatus
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.LocalDrainOrder
import org.cicadaturn.schema.generated.Plan

private const val CONFIRM_AGAIN_HINT =
    "the plan may have taken effect; confirm it again, it takes effect at most once"

/** Returns the handlers of the operators' commands, which write results to [out] and errors to [err]. */
internal fun controlHandlers(
    out: (String) -> Unit = ::println,
    err: (String) -> Unit = System.err::println,
): ControlHandlers {
    val printer = Printer(out, err)
    return ControlHandlers(
        plan = { connection, intent ->
            val body = adminJson.encodeToString(Intent.serializer(), intent)
            val answer = call(connection, HttpMethod.Post, "/admin/plans", body)
            printer.show(connection, answer, Plan.serializer(), ::withoutBasis, ::textOf)
        },
        describe = { connection, plan ->
            val answer = call(connection, HttpMethod.Get, planPath(plan))
            printer.show(connection, answer, Plan.serializer(), ::withoutBasis, ::textOf)
        },
        confirm = { connection, plan ->
            val answer = call(connection, HttpMethod.Post, "${planPath(plan)}/confirm")
            val code = printer.show(connection, answer, AcceptedChange.serializer(), { it }, ::textOf)
            if (code == UNREACHABLE) err(CONFIRM_AGAIN_HINT)
            code
        },
        status = { connection ->
            val answer = call(connection, HttpMethod.Get, "/admin/status")
            printer.show(connection, answer, ControlStatus.serializer(), { it }, ::textOf)
        },
        history = { connection, limit ->
            val answer = call(connection, HttpMethod.Get, "/admin/history?limit=$limit")
            printer.show(connection, answer, ChangeHistory.serializer(), { it }, ::textOf)
        },
        localDrain = { connection, on ->
            val body = adminJson.encodeToString(LocalDrainOrder.serializer(), LocalDrainOrder(on))
            val answer = call(connection, HttpMethod.Post, "/admin/local-drain", body)
            printer.show(connection, answer, LocalDrainOrder.serializer(), { it }) {
                if (it.on) "the process refuses new work" else "the local drain has ended"
            }
        },
    )
}

private fun call(
    connection: ControlConnection,
    method: HttpMethod,
    path: String,
    body: String? = null,
): Either<AdminError, String> = runBlocking { callAdmin(connection, method, path, body) }

private fun planPath(plan: String): String = "/admin/plans/${plan.encodeURLPathPart()}"

/** Returns [plan] without fingerprints, which only the confirmation needs and which are too many to print. */
private fun withoutBasis(plan: Plan): Plan = plan.copy(basis = emptyList())

/** Printer of results and errors in the selected output format; returns exit codes. */
private class Printer(
    private val out: (String) -> Unit,
    private val err: (String) -> Unit,
) {
    fun <T> show(
        connection: ControlConnection,
        answer: Either<AdminError, String>,
        serializer: KSerializer<T>,
        abridge: (T) -> T,
        textOf: (T) -> String,
    ): Int =
        answer.fold(
            { showError(connection, it) },
            { body ->
                val value = abridge(adminJson.decodeFromString(serializer, body))
                val isJson = connection.format == OutputFormat.JSON
                out(if (isJson) adminJson.encodeToString(serializer, value) else textOf(value))
                SUCCESS
            },
        )

    private fun showError(
        connection: ControlConnection,
        error: AdminError,
    ): Int =
        when (error) {
            is AdminError.NoAnswer -> {
                val address = "${connection.admin.ip}:${connection.admin.port}"
                err("$address gives no answer (${error.detail}); ask another entry process")
                UNREACHABLE
            }

            is AdminError.Refused -> {
                showRefusal(connection, error.failure)
                REFUSED
            }

            is AdminError.Unexpected -> {
                err("unexpected answer with status ${error.status}: ${error.detail}; check that --admin is right")
                FAILED_RUN
            }
        }

    private fun showRefusal(
        connection: ControlConnection,
        failure: ControlFailure,
    ) {
        val isJson = connection.format == OutputFormat.JSON
        if (isJson) out(adminJson.encodeToString(ControlFailure.serializer(), failure)) else err(textOf(failure))
    }
}
