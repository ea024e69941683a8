package org.cicadaturn.decisions.experts

/**
 * Gives each new map a version of its own. Has one owner for the life of a process.
 *
 * Ranks compare versions, not maps: a version that was ever sent with one map must not come back with another, as an
 * order without an answer may be carried out seconds later. A process that starts anew has a higher fencing token.
 */
public interface MapVersions {
    /** Returns a version that is higher than [inUse] and than any given before, for the holder of fencing [token]. */
    public fun next(
        token: Long,
        inUse: Long,
    ): Long
}

/** Returns versions that begin with the token's own range. */
public fun mapVersions(): MapVersions = RisingVersions()

private class RisingVersions : MapVersions {
    private var last = 0L

    override fun next(
        token: Long,
        inUse: Long,
    ): Long {
        last = maxOf(last + 1, inUse + 1, token * VERSIONS_PER_TOKEN)
        return last
    }

    private companion object {
        /** Far more than the changes of a leader between two restarts. */
        const val VERSIONS_PER_TOKEN = 10_000L
    }
}
