package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Instant

/**
 * Remembers when a service last answered prompts with a segment. Has one owner and is not safe for concurrent use.
 *
 * Its size is bounded. When it is full, it forgets the oldest entry of the organisation with the most entries, so an
 * organisation that sends many different segments displaces only its own.
 */
public interface SegmentMemory {
    /** Records an answer to a prompt with [segments] of [organisation]; null if the route is public. */
    public fun answered(
        service: ServiceId,
        organisation: OrganisationId?,
        segments: List<PromptSegmentId>,
        now: Instant,
    )

    /** Returns the time of the last answer to a prompt with [segment], or null if none is remembered. */
    public fun lastAnswer(segment: ServiceSegment): Instant?
}

/** Returns an empty memory of [capacity] entries. */
public fun segmentMemory(capacity: Int = DEFAULT_CAPACITY): SegmentMemory {
    require(capacity > 0) { "capacity is $capacity; give 1 or more" }
    return FairSegmentMemory(capacity)
}

private class FairSegmentMemory(
    private val capacity: Int,
) : SegmentMemory {
    private class Entry(
        val organisation: OrganisationId?,
        val at: Instant,
    )

    private val entries = HashMap<ServiceSegment, Entry>()

    /** Segments by the organisation that used them last, the oldest first. */
    private val byOrganisation = HashMap<OrganisationId?, LinkedHashSet<ServiceSegment>>()

    override fun answered(
        service: ServiceId,
        organisation: OrganisationId?,
        segments: List<PromptSegmentId>,
        now: Instant,
    ) {
        for (segment in segments) {
            val key = ServiceSegment(service, segment)
            forget(key)
            entries[key] = Entry(organisation, now)
            byOrganisation.getOrPut(organisation) { LinkedHashSet() } += key
        }
        while (entries.size > capacity) forget(byOrganisation.values.maxBy { it.size }.first())
    }

    private fun forget(segment: ServiceSegment) {
        val entry = entries.remove(segment) ?: return
        val owned = byOrganisation.getValue(entry.organisation)
        owned -= segment
        if (owned.isEmpty()) byOrganisation -= entry.organisation
    }

    override fun lastAnswer(segment: ServiceSegment): Instant? = entries[segment]?.at
}

/** About 1 MB; the segments of some minutes at a gateway with tens of requests per second. */
private const val DEFAULT_CAPACITY = 4_096
