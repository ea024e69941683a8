package org.cicadaturn.decisions.limits

import com.dynatrace.hash4j.hashing.Hashing
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId

/**
 * Is what an entry process knows of the entry processes.
 *
 * @property members number of entry processes that share the limits, whether they are heard or not
 * @property live processes that are heard now, this one included
 */
public data class MembershipView(
    val members: Int,
    val live: Set<ProcessId>,
) {
    init {
        require(live.isNotEmpty()) { "a view holds at least its own process" }
    }

    /** Part of the members that is live; members that were not configured count as members while they are heard. */
    public val share: LiveShare get() = LiveShare(live.size, maxOf(members, live.size))
}

/** Processes that hand out the budget of one organisation: [allocator], and [standby] if another process is live. */
internal data class LimitPlace(
    val allocator: ProcessId,
    val standby: ProcessId?,
)

/**
 * Returns the place of each of [organisations] by rendezvous hashing over the [live] processes.
 *
 * When the allocator is lost, its standby is the next allocator by the same order.
 */
internal fun placesOf(
    organisations: Collection<OrganisationId>,
    live: Collection<ProcessId>,
): Map<OrganisationId, LimitPlace> {
    val hashed = live.sortedBy { it.text }.map { it to hasher.hashCharsToLong(it.text) }
    return organisations.associateWith { place(hasher.hashCharsToLong(it.text), hashed) }
}

private fun place(
    organisation: Long,
    live: List<Pair<ProcessId, Long>>,
): LimitPlace {
    var first = -1
    var second = -1
    var firstScore = 0L
    var secondScore = 0L
    for (i in live.indices) {
        val score = hasher.hashLongLongToLong(organisation, live[i].second)
        if (first < 0 || score > firstScore) {
            second = first
            secondScore = firstScore
            first = i
            firstScore = score
        } else if (second < 0 || score > secondScore) {
            second = i
            secondScore = score
        }
    }
    return LimitPlace(live[first].first, live.getOrNull(second)?.first)
}

private val hasher = Hashing.komihash5_0()
