package org.cicadaturn.decisions.quarantine

import org.cicadaturn.schema.generated.ServiceId

/**
 * Counts the copies of requests that are refused after one crash at services whose endpoints form groups. Has one owner
 * and is not safe for concurrent use.
 *
 * A trial that crashes one of several endpoints costs little, so requests to other services are tried at once. In a
 * group it costs all requests of the group for seconds, far more than the first copies of a request that is sound.
 */
public interface RefusedCopies {
    /** Counts a refused copy of [request] and returns true if the request may be tried from now on. */
    public fun refused(request: ServiceSegment): Boolean

    /**
     * Returns the requests among [suspicions] of which further copies must be refused before one is tried, and forgets
     * the others; [grouped] are the services whose endpoints form groups, or null while that is not known, as at the
     * start of a process. Every service may have groups then.
     */
    public fun waiting(
        suspicions: List<Suspicion>,
        grouped: Set<ServiceId>?,
    ): Set<ServiceSegment>
}

/** Returns an empty count. */
public fun refusedCopies(): RefusedCopies = CountedCopies()

private class CountedCopies : RefusedCopies {
    private val counts = HashMap<ServiceSegment, Int>()

    override fun refused(request: ServiceSegment): Boolean {
        val known = counts[request] ?: return false
        counts[request] = known + 1
        return known + 1 == COPIES_BEFORE_TRIAL
    }

    override fun waiting(
        suspicions: List<Suspicion>,
        grouped: Set<ServiceId>?,
    ): Set<ServiceSegment> {
        val tried = suspicions.filter { it.isTried && it.isProbable }.map { it.segment }
        val requests = tried.filterTo(HashSet()) { grouped == null || it.service in grouped }
        counts.keys.retainAll(requests)
        requests.forEach { counts.putIfAbsent(it, 0) }
        return requests.filterTo(HashSet()) { counts.getValue(it) < COPIES_BEFORE_TRIAL }
    }

    private companion object {
        /**
         * Copies that one process refuses. Callers that ask for the same usually reach one process, so a sound request is
         * served from the sixth copy on; fewer would bring a request that does crash endpoints to its second crash sooner.
         */
        const val COPIES_BEFORE_TRIAL = 5
    }
}
