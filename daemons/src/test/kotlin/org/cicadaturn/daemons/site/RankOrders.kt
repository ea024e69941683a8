package org.cicadaturn.daemons.site

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Expert map of a group in one version: the experts by set and rank. */
internal data class VersionedMap(
    val version: Long,
    val experts: List<List<List<Int>>>,
)

/**
 * What a rank has been ordered in one epoch of its group.
 *
 * @property armedStep pass from which the prepared map is used; null if the rank is not armed
 * @property held pass that the group does not begin; null if none
 * @property fence highest fencing token of an order since the rank started
 * @property sequence number of orders that began something since the rank started
 */
internal data class RankOrders(
    val map: VersionedMap,
    val prepared: VersionedMap? = null,
    val armedStep: Long? = null,
    val held: Long? = null,
    val newestVersion: Long = 0,
    val fence: Long = 0,
    val sequence: Int = 0,
) {
    /** Returns the state as pass [step] begins. */
    fun atBegin(step: Long): RankOrders {
        val next = prepared?.takeIf { armedStep != null && step >= armedStep } ?: return this
        return copy(map = next, prepared = null, armedStep = null)
    }
}

/** Returns the state after [order], which arrives after pass [step] of [epoch] has begun, and the status of its answer. */
internal fun RankOrders.after(
    order: JsonObject,
    step: Long,
    epoch: Long,
): Pair<RankOrders, Int> {
    fun number(field: String): Long? = order[field]?.jsonPrimitive?.longOrNull
    val token = number("fence") ?: return this to PRECONDITION_FAILED
    if (token < fence) return this to PRECONDITION_FAILED
    val fenced = copy(fence = token)
    val isOfEpoch = number("epoch").let { it == null || it == epoch }
    val next = if (isOfEpoch) fenced.changedBy(order, number("version"), number("step"), step) else null
    return if (next == null) fenced to CONFLICT else next to OK
}

/** Returns the state after an order for this epoch, or null if the order does not fit. */
private fun RankOrders.changedBy(
    order: JsonObject,
    version: Long?,
    at: Long?,
    step: Long,
): RankOrders? {
    // A pass that has begun can neither be held nor be the first one with a map.
    val later = at?.takeIf { it > step }
    return when (order["operation"]?.jsonPrimitive?.content) {
        "prepare" -> withPrepared(VersionedMap(version ?: 0, mapIn(order)))
        "arm" -> later?.takeIf { version == prepared?.version }?.let { copy(armedStep = it) }
        "disarm" -> copy(armedStep = null).takeIf { version != map.version }
        "hold" -> later?.takeIf { held == null || held == it }?.let { copy(held = it) }
        "go" -> copy(held = null).takeIf { held == null || held == at }
        else -> null
    }
}

private fun RankOrders.withPrepared(next: VersionedMap): RankOrders? {
    val isNew = next.version > newestVersion && armedStep == null
    return if (isNew) copy(prepared = next, newestVersion = next.version, sequence = sequence + 1) else null
}

private fun mapIn(order: JsonObject): List<List<List<Int>>> =
    order.getValue("map").jsonArray.map { set ->
        set.jsonArray.map { rank -> rank.jsonArray.map { it.jsonPrimitive.int } }
    }

private const val PRECONDITION_FAILED = 412
