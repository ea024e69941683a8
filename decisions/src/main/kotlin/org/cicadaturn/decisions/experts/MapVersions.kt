package org.cicadaturn.decisions.experts

/**
 * Assigns a version of its own to each new map. Has one owner during the whole life of a process.
 *
 * Ranks compare versions, not maps: a version that was once sent with one map must not be sent with another, because an
 * order without an answer may be carried out seconds later. After a restart, a process uses higher versions because its
 * fencing token is higher.
 */
public interface MapVersions {
    /**
     * Returns a version higher than [inUse] and than any returned before, for the holder of fencing [token]; null if the
     * range of the token is used up, as the holder of the next one may give out what lies behind it.
     */
    public fun next(
        token: Long,
        inUse: Long,
    ): Long?
}

/** Returns a source of versions that begins at the range reserved for the fencing token. */
public fun mapVersions(): MapVersions = IncreasingVersions()

private class IncreasingVersions : MapVersions {
    private var last = 0L

    override fun next(
        token: Long,
        inUse: Long,
    ): Long? {
        val range = token * VERSIONS_PER_TOKEN..<(token + 1) * VERSIONS_PER_TOKEN
        val next = maxOf(last + 1, inUse + 1, range.first)
        // Where tokens began again, as with a store that was restored from a copy, ranks have versions beyond the range.
        val isUsedUp = next > range.last && (last in range || inUse in range)
        if (isUsedUp) return null
        last = next
        return next
    }

    private companion object {
        /** Size of the range of each token; far more than the map changes that a leader makes between two restarts. */
        const val VERSIONS_PER_TOKEN = 10_000L
    }
}
