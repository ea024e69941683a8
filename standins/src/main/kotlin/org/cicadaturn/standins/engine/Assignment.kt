package org.cicadaturn.standins.engine

import org.cicadaturn.schema.generated.EngineAssignment
import org.cicadaturn.schema.generated.EngineOrder
import org.cicadaturn.schema.generated.EngineOrderAnswer
import org.cicadaturn.schema.generated.EngineOrderKind
import org.cicadaturn.schema.generated.ExpertMapSwitch
import org.cicadaturn.schema.generated.LoadedModel

/** Result of an order: the assignment after the order, and the answer to its sender. */
public data class OrderResult(
    val assignment: EngineAssignment,
    val answer: EngineOrderAnswer,
)

/**
 * Applies [order] before step [nextStep], which has not begun yet.
 *
 * An order is stale if its fencing token is below the highest token received. A stale order is refused if
 * [checkFencing] is true; if it is false, the order is applied and counted, as by an engine that ignores the token.
 */
public fun EngineAssignment.applyOrder(
    order: EngineOrder,
    nextStep: Long,
    checkFencing: Boolean,
): OrderResult {
    val stale = order.fencing < fencing
    if (stale && checkFencing) {
        return refused("fencing token ${order.fencing} is below $fencing; read the current owner and stop")
    }
    val problem = problemOf(order)
    if (problem != null) return refused(problem)
    val counted =
        changedBy(order, nextStep).copy(
            fencing = maxOf(fencing, order.fencing),
            applied = applied + 1,
            staleApplied = if (stale) staleApplied + 1 else staleApplied,
        )
    return OrderResult(counted, EngineOrderAnswer(true, counted.fencing, ""))
}

/** Returns the assignment in use during step [step]. */
public fun EngineAssignment.atStep(step: Long): EngineAssignment {
    val due = pendingMaps.filter { it.atStep <= step }
    if (due.isEmpty()) return this
    return copy(expertMap = due.last().expertMap, pendingMaps = pendingMaps - due.toSet())
}

private fun EngineAssignment.refused(message: String): OrderResult =
    OrderResult(copy(refused = refused + 1), EngineOrderAnswer(false, fencing, message))

private fun EngineAssignment.problemOf(order: EngineOrder): String? =
    when {
        order.kind == EngineOrderKind.EXPERT_MAP ->
            if (order.expertMap ==
                null
            ) {
                "expertMap is missing; set it"
            } else {
                null
            }
        order.name.isEmpty() -> "name is empty; give a model, adapter or role"
        order.kind == EngineOrderKind.LOAD_VERSION && models.none { it.name == order.name } ->
            "model ${order.name} is not loaded; load it first"
        else -> null
    }

private fun EngineAssignment.changedBy(
    order: EngineOrder,
    nextStep: Long,
): EngineAssignment =
    when (order.kind) {
        EngineOrderKind.LOAD_MODEL -> withModel(LoadedModel(order.name, order.version, adapter = false))
        EngineOrderKind.LOAD_ADAPTER -> withModel(LoadedModel(order.name, order.version, adapter = true))
        EngineOrderKind.LOAD_VERSION ->
            copy(models = models.map { if (it.name == order.name) it.copy(version = order.version) else it })
        EngineOrderKind.CHANGE_ROLE -> copy(role = order.name)
        EngineOrderKind.EXPERT_MAP -> withExpertMap(requireNotNull(order.expertMap), order.atStep ?: nextStep, nextStep)
    }

private fun EngineAssignment.withModel(model: LoadedModel): EngineAssignment =
    copy(models = models.filter { it.name != model.name } + model)

private fun EngineAssignment.withExpertMap(
    map: Long,
    atStep: Long,
    nextStep: Long,
): EngineAssignment {
    val pending = pendingMaps.filter { it.atStep != atStep } + ExpertMapSwitch(map, atStep)
    return copy(
        pendingMaps = pending.sortedBy { it.atStep },
        lateMaps = if (atStep < nextStep) lateMaps + 1 else lateMaps,
    )
}
