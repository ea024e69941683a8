package org.cicadaturn.decisions.limits

import com.dynatrace.hash4j.hashing.Hashing
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ProcessId

/**
 * Membership of the entry processes as one of them sees it.
 *
 * @property members number of configured entry processes, whether they are connected or not
 * @property live processes that are connected now, this one included
 */
public data class MembershipView(
    val members: Int,
    val live: Set<ProcessId>,
) {
    init {
        require(live.isNotEmpty()) { "a membership view must contain at least its own process" }
    }

    /** Part of the members that is live; a process that is not configured counts as a member while it is connected. */
    public val share: LiveShare get() = LiveShare(live.size, maxOf(members, live.size))
}

/** Process that allocates the budget of one organisation, and its [standby] if another process is live. */
internal data class AllocatorPlacement(
    val allocator: ProcessId,
    val standby: ProcessId?,
)

/**
 * Returns the placement of the allocator of each of [organisations], by rendezvous hashing over [live].
 *
 * If an allocator fails, the same order makes its standby the next allocator.
 */
internal fun placementsOf(
    organisations: Collection<OrganisationId>,
    live: Collection<ProcessId>,
): Map<OrganisationId, AllocatorPlacement> {
    val hashed = live.sortedBy { it.text }.map { it to hasher.hashCharsToLong(it.text) }
    return organisations.associateWith { placementOf(hasher.hashCharsToLong(it.text), hashed) }
}

private fun placementOf(
    organisation: Long,
    live: List<Pair<ProcessId, Long>>,
): AllocatorPlacement {
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
    return AllocatorPlacement(live[first].first, live.getOrNull(second)?.first)
}

private val hasher = Hashing.komihash5_0()
