package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.LiveEndpoint

/**
 * Outcome of [applyView].
 *
 * @property view the view that is in force
 * @property failure cause for which it differs from the view that was asked for, or null if it does not
 * @property leftOut endpoints that [view] lacks, as no view with their entries could be applied
 */
public data class AppliedView(
    val view: FleetView,
    val failure: Exception? = null,
    val leftOut: List<EndpointId> = emptyList(),
)

/**
 * Applies [view] with [apply]; if that fails, applies as much of it as does not fail.
 *
 * The entries that differ from [last], the view in force, are then applied in halves, so that those of endpoints that
 * cause the failure are found by few calls. These endpoints are left out, as the state in which they are in force may be
 * outdated. The entries of all others stay in each of the views, so no state of theirs is dropped.
 */
public fun applyView(
    last: FleetView,
    view: FleetView,
    apply: (FleetView) -> Unit,
): AppliedView {
    val failure = failureOf { apply(view) } ?: return AppliedView(view)
    val application = PartialApplication(last, apply)
    application.applyParts(view)
    return AppliedView(application.applied, failure, application.leftOut)
}

private class PartialApplication(
    last: FleetView,
    private val apply: (FleetView) -> Unit,
) {
    var applied = last
        private set
    val leftOut = mutableListOf<EndpointId>()

    fun applyParts(view: FleetView) {
        val known = applied.endpoints.toSet()
        val listed = view.endpoints.mapTo(HashSet()) { it.id }
        val kept = applied.endpoints.filter { it.id in listed }
        val bases = listOf(view.copy(endpoints = kept), applied.copy(endpoints = kept))
        if (bases.none { isApplied(it) }) return
        add(view.endpoints.filter { it !in known })
        // The call before may have failed half-way.
        isApplied(applied)
    }

    private fun add(changed: List<LiveEndpoint>) {
        if (changed.isEmpty() || leftOut.size == MAX_LEFT_OUT) return
        val ids = changed.mapTo(HashSet()) { it.id }
        val others = applied.endpoints.filter { it.id !in ids }
        if (isApplied(applied.copy(endpoints = others + changed))) return
        if (changed.size > 1) {
            val half = changed.size / 2
            add(changed.take(half))
            return add(changed.drop(half))
        }
        leftOut += ids
        isApplied(applied.copy(endpoints = others))
    }

    private fun isApplied(next: FleetView): Boolean {
        if (failureOf { apply(next) } != null) return false
        applied = next
        return true
    }

    private companion object {
        /** Endpoints after which the cause is hardly in their entries, and further calls would only cost time. */
        const val MAX_LEFT_OUT = 8
    }
}

private inline fun failureOf(action: () -> Unit): Exception? =
    try {
        action()
        null
    } catch (e: Exception) {
        e
    }
