package org.cicadaturn.tasks.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.flow.StateFlow
import kotlinx.io.readByteArray
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.schema.generated.AcceptedChange
import org.cicadaturn.schema.generated.ChangeHistory
import org.cicadaturn.schema.generated.ControlFailure
import org.cicadaturn.schema.generated.ControlStatus
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.LocalDrainOrder
import org.cicadaturn.schema.generated.Operator
import org.cicadaturn.schema.generated.Plan
import org.cicadaturn.schema.generated.PlanId

private const val MAX_BODY_BYTES = 64 * 1024
private const val DEFAULT_HISTORY_ENTRIES = 20
private const val MAX_HISTORY_ENTRIES = 1_000

/** Adds the routes of the operators' interface of an entry process. */
public fun Routing.controlRoutes(control: Control) {
    val operatorOf = control::operatorOf
    post("/admin/plans") {
        call.serve(operatorOf, Plan.serializer()) { operator ->
            call.receiveJson(Intent.serializer()).flatMap { control.plan(it, operator) }
        }
    }
    get("/admin/plans/{id}") {
        call.serve(operatorOf, Plan.serializer()) { control.plan(call.planId()) }
    }
    post("/admin/plans/{id}/confirm") {
        call.serve(operatorOf, AcceptedChange.serializer()) { control.confirm(call.planId(), it) }
    }
    get("/admin/status") {
        call.serve(operatorOf, ControlStatus.serializer()) { control.status() }
    }
    get("/admin/history") {
        call.serve(operatorOf, ChangeHistory.serializer()) {
            val limit = call.request.queryParameters["limit"]?.toIntOrNull() ?: DEFAULT_HISTORY_ENTRIES
            control.history(limit.coerceIn(1, MAX_HISTORY_ENTRIES))
        }
    }
    localDrainRoute(operatorOf) { on, operator -> control.localDrain(on, operator) }
}

/** Adds the route of the local drain, for a process without the other routes of the operators' interface. */
internal fun Routing.localDrainRoutes(
    inForce: StateFlow<ConfigurationInForce?>,
    localDrain: LocalDrain,
) {
    localDrainRoute({ authenticateOperator(it, inForce.value) }) { on, operator ->
        setLocalDrain(localDrain, on, operator)
    }
}

private fun Routing.localDrainRoute(
    operatorOf: (String) -> Either<ControlError, Operator>,
    set: suspend (Boolean, Operator) -> Either<ControlError, Unit>,
) {
    post("/admin/local-drain") {
        call.serve(operatorOf, LocalDrainOrder.serializer()) { operator ->
            call.receiveJson(LocalDrainOrder.serializer()).flatMap { order -> set(order.on, operator).map { order } }
        }
    }
}

private suspend fun <T> ApplicationCall.serve(
    operatorOf: (String) -> Either<ControlError, Operator>,
    serializer: KSerializer<T>,
    work: suspend (Operator) -> Either<ControlError, T>,
) {
    val key = request.headers[HttpHeaders.Authorization]?.removePrefix("Bearer ")?.trim()
    val result = operatorOf(key.orEmpty()).fold({ it.left() }, { work(it) })
    result.fold(
        { error ->
            val text = Json.encodeToString(ControlFailure.serializer(), error.failure)
            respondText(text, ContentType.Application.Json, HttpStatusCode.fromValue(error.status))
        },
        { respondText(Json.encodeToString(serializer, it), ContentType.Application.Json) },
    )
}

private fun ApplicationCall.planId(): PlanId = PlanId(parameters["id"].orEmpty())

/** Decodes the body and rejects unknown fields, because a misspelt field would silently change the intent. */
private suspend fun <T> ApplicationCall.receiveJson(serializer: KSerializer<T>): Either<ControlError, T> {
    val text = receiveText().getOrElse { return it.left() }
    return try {
        Json.decodeFromString(serializer, text).right()
    } catch (e: IllegalArgumentException) {
        ControlError
            .InvalidBody(
                e.message
                    .orEmpty()
                    .lineSequence()
                    .first(),
            ).left()
    }
}

private suspend fun ApplicationCall.receiveText(): Either<ControlError, String> {
    val bytes = receiveChannel().readRemaining(MAX_BODY_BYTES + 1L).readByteArray()
    if (bytes.size > MAX_BODY_BYTES) return ControlError.InvalidBody("the body is over $MAX_BODY_BYTES bytes").left()
    return bytes.decodeToString().right()
}
