package org.cicadaturn.tasks.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.StateFlow
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
import org.cicadaturn.tasks.http.valueOf
import org.cicadaturn.tasks.observe.AdminAnswer
import org.cicadaturn.tasks.observe.AdminCall
import org.cicadaturn.tasks.observe.AdminRoute
import org.cicadaturn.tasks.observe.MAX_ADMIN_BODY_BYTES
import org.cicadaturn.tasks.observe.jsonAnswer

private const val DEFAULT_HISTORY_ENTRIES = 20
private const val MAX_HISTORY_ENTRIES = 1_000

/** Returns the routes of the operators' interface of an entry process. */
internal fun controlRoutes(control: Control): List<AdminRoute> {
    val operatorOf = control::operatorOf
    return listOf(
        AdminRoute("POST", "/admin/plans") { call ->
            call.serve(operatorOf, Plan.serializer()) { operator ->
                call.decodeBody(Intent.serializer()).flatMap { control.plan(it, operator) }
            }
        },
        AdminRoute("GET", "/admin/plans/*") { call ->
            call.serve(operatorOf, Plan.serializer()) { control.plan(call.planId()) }
        },
        AdminRoute("POST", "/admin/plans/*/confirm") { call ->
            call.serve(operatorOf, AcceptedChange.serializer()) { control.confirm(call.planId(), it) }
        },
        AdminRoute("GET", "/admin/status") { call ->
            call.serve(operatorOf, ControlStatus.serializer()) { control.status() }
        },
        AdminRoute("GET", "/admin/history") { call ->
            call.serve(operatorOf, ChangeHistory.serializer()) {
                val limit = call.query["limit"]?.toIntOrNull() ?: DEFAULT_HISTORY_ENTRIES
                control.history(limit.coerceIn(1, MAX_HISTORY_ENTRIES))
            }
        },
        localDrainRoute(operatorOf) { on, operator -> control.localDrain(on, operator) },
    )
}

/** Returns the route of the local drain, for a process without the other routes of the operators' interface. */
internal fun localDrainRoute(
    inForce: StateFlow<ConfigurationInForce?>,
    localDrain: LocalDrain,
): AdminRoute =
    localDrainRoute({ authenticateOperator(it, inForce.value) }) { on, operator ->
        setLocalDrain(localDrain, on, operator)
    }

private fun localDrainRoute(
    operatorOf: (String) -> Either<ControlError, Operator>,
    set: suspend (Boolean, Operator) -> Either<ControlError, Unit>,
): AdminRoute =
    AdminRoute("POST", "/admin/local-drain") { call ->
        call.serve(operatorOf, LocalDrainOrder.serializer()) { operator ->
            call.decodeBody(LocalDrainOrder.serializer()).flatMap { order -> set(order.on, operator).map { order } }
        }
    }

private suspend fun <T> AdminCall.serve(
    operatorOf: (String) -> Either<ControlError, Operator>,
    serializer: KSerializer<T>,
    work: suspend (Operator) -> Either<ControlError, T>,
): AdminAnswer {
    val key = headers.valueOf("Authorization")?.removePrefix("Bearer ")?.trim()
    val result = operatorOf(key.orEmpty()).fold({ it.left() }, { work(it) })
    return result.fold(
        { jsonAnswer(Json.encodeToString(ControlFailure.serializer(), it.failure), it.status) },
        { jsonAnswer(Json.encodeToString(serializer, it)) },
    )
}

private fun AdminCall.planId(): PlanId = PlanId(segment)

/** Decodes the body and rejects unknown fields, because a misspelt field would silently change the intent. */
private fun <T> AdminCall.decodeBody(serializer: KSerializer<T>): Either<ControlError, T> {
    if (body.size > MAX_ADMIN_BODY_BYTES) {
        return ControlError.InvalidBody("the body is over $MAX_ADMIN_BODY_BYTES bytes").left()
    }
    return try {
        Json.decodeFromString(serializer, body.decodeToString()).right()
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
