package org.cicadaturn.decisions.routing

import org.cicadaturn.schema.generated.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Finds endpoints of one service that fail or are far slower than the others.
 *
 * An outlier is ejected for a time that grows with each ejection. After that it is on probation and gets few requests:
 * the first failure ejects it again, and after a number of answers it is healthy. At most the configured share of the
 * members is ejected at once; an outlier above that share stays in use. A detector has one owner and is not safe
 * for concurrent use.
 */
public interface OutlierDetector {
    /** Replaces the set of the service's endpoints and drops the state of those that are no longer in it. */
    public fun updateMembers(
        endpoints: Set<EndpointId>,
        now: Instant,
    )

    /** Records an answer whose first token, or first byte, arrived after [time]. */
    public fun answered(
        endpoint: EndpointId,
        time: Duration,
        now: Instant,
    )

    /** Records an attempt that failed or whose first token did not arrive in time; a refusal is not a failure. */
    public fun failed(
        endpoint: EndpointId,
        now: Instant,
    )

    /** Returns the health of [endpoint]; one that is not a member is healthy. */
    public fun health(
        endpoint: EndpointId,
        now: Instant,
    ): EndpointHealth

    /**
     * Returns the maximum number of own requests in flight at [endpoint], for [Candidate.ownLimit].
     *
     * It is 0 for an ejected endpoint, doubles from 1 with each answer on probation, and is [Int.MAX_VALUE] for a
     * healthy one. A constant limit would keep a recovered endpoint nearly idle for the duration of several answers.
     */
    public fun ownLimit(
        endpoint: EndpointId,
        now: Instant,
    ): Int

    /** Returns the endpoints that are ejected. */
    public fun ejected(now: Instant): Set<EndpointId>
}

/** Health of an endpoint, which determines whether and how much it may be used. */
public enum class EndpointHealth {
    /** No restriction. */
    HEALTHY,

    /** A few requests, to find out whether the endpoint has recovered. */
    PROBATION,

    /** No requests. */
    EJECTED,
}

/**
 * Parameters of outlier detection.
 *
 * @property failures consecutive failures that eject an endpoint
 * @property slowFactor factor by which the first-token time of an ejected endpoint exceeds the median of the members
 * @property slowExcess time by which it also exceeds the median; longer than a wait for admission, which is caused by
 * load
 * @property slowSamples answers needed before the first-token time of an endpoint counts
 * @property firstEjection duration of the first ejection; each further one is twice as long
 * @property longestEjection maximum duration of one ejection
 * @property probation number of answers on probation after which an endpoint is healthy
 * @property resetAfter healthy time after which the next ejection is as short as the first
 * @property shareDenominator at most one in this many members is ejected at once
 */
public data class OutlierOptions(
    val failures: Int = 3,
    val slowFactor: Double = 4.0,
    val slowExcess: Duration = 250.milliseconds,
    val slowSamples: Int = 10,
    val firstEjection: Duration = 5.seconds,
    val longestEjection: Duration = 5.minutes,
    val probation: Int = 5,
    val resetAfter: Duration = 5.minutes,
    val shareDenominator: Int = 3,
) {
    init {
        require(failures >= 1) { "failures $failures must be at least 1" }
        require(slowFactor > 1) { "slow factor $slowFactor must be above 1" }
        require(firstEjection > Duration.ZERO) { "first ejection $firstEjection must be positive" }
        require(longestEjection >= firstEjection) { "longest ejection $longestEjection is below $firstEjection" }
        require(shareDenominator >= 2) { "share denominator $shareDenominator must be at least 2" }
    }
}

/** Returns a detector without members. */
public fun outlierDetector(options: OutlierOptions = OutlierOptions()): OutlierDetector = MedianOutlierDetector(options)

private class MedianOutlierDetector(
    private val options: OutlierOptions,
) : OutlierDetector {
    private class Member {
        var failures = 0
        var ejections = 0
        var ejectedUntil: Instant? = null
        var probationAnswersLeft = 0
        var healthySince = Instant.DISTANT_PAST
        var samples = 0
        var average = 0.0
    }

    private val members = HashMap<EndpointId, Member>()
    private var median = Double.NaN
    private var medianAt = Instant.DISTANT_PAST

    override fun updateMembers(
        endpoints: Set<EndpointId>,
        now: Instant,
    ) {
        members.keys.retainAll(endpoints)
        endpoints.forEach { members.getOrPut(it) { Member() } }
        // With fewer members, fewer ejections are allowed; those that would end first end now.
        val ejected = members.values.filter { isEjected(it, now) }.sortedBy { it.ejectedUntil }
        ejected.dropLast(maxEjected()).forEach { it.ejectedUntil = now }
    }

    override fun answered(
        endpoint: EndpointId,
        time: Duration,
        now: Instant,
    ) {
        val member = members[endpoint] ?: return
        if (isEjected(member, now)) return
        member.failures = 0
        val nanos = time.inWholeNanoseconds.toDouble()
        member.samples += 1
        member.average += (nanos - member.average) * maxOf(MIN_SAMPLE_WEIGHT, 1.0 / member.samples)
        if (member.probationAnswersLeft > 0) {
            member.probationAnswersLeft -= 1
            if (member.probationAnswersLeft == 0) member.healthySince = now
        }
        if (isSlow(member, now)) eject(member, now)
    }

    override fun failed(
        endpoint: EndpointId,
        now: Instant,
    ) {
        val member = members[endpoint] ?: return
        if (isEjected(member, now)) return
        member.failures += 1
        if (member.failures >= options.failures || member.probationAnswersLeft > 0) eject(member, now)
    }

    override fun health(
        endpoint: EndpointId,
        now: Instant,
    ): EndpointHealth {
        val member = members[endpoint] ?: return EndpointHealth.HEALTHY
        return when {
            isEjected(member, now) -> EndpointHealth.EJECTED
            member.probationAnswersLeft > 0 -> EndpointHealth.PROBATION
            else -> EndpointHealth.HEALTHY
        }
    }

    override fun ownLimit(
        endpoint: EndpointId,
        now: Instant,
    ): Int =
        when (health(endpoint, now)) {
            EndpointHealth.EJECTED -> 0
            EndpointHealth.PROBATION -> probationLimit(members.getValue(endpoint))
            EndpointHealth.HEALTHY -> Int.MAX_VALUE
        }

    private fun probationLimit(member: Member): Int =
        1 shl minOf(options.probation - member.probationAnswersLeft, MAX_DOUBLINGS)

    override fun ejected(now: Instant): Set<EndpointId> = members.filterValues { isEjected(it, now) }.keys

    private fun isEjected(
        member: Member,
        now: Instant,
    ): Boolean = member.ejectedUntil.let { it != null && now < it }

    private fun maxEjected(): Int = members.size / options.shareDenominator

    private fun eject(
        member: Member,
        now: Instant,
    ) {
        if (members.values.count { isEjected(it, now) } >= maxEjected()) return
        if (member.probationAnswersLeft == 0 && now - member.healthySince >= options.resetAfter) member.ejections = 0
        val time = options.firstEjection * (1L shl minOf(member.ejections, MAX_DOUBLINGS)).toDouble()
        member.ejectedUntil = now + minOf(time, options.longestEjection)
        member.ejections += 1
        member.probationAnswersLeft = options.probation
        member.failures = 0
        member.samples = 0
        member.average = 0.0
    }

    private fun isSlow(
        member: Member,
        now: Instant,
    ): Boolean {
        if (member.samples < options.slowSamples) return false
        refreshMedian(now)
        if (median.isNaN()) return false
        val limit = maxOf(median * options.slowFactor, median + options.slowExcess.inWholeNanoseconds)
        return member.average > limit
    }

    private fun refreshMedian(now: Instant) {
        if (now - medianAt < MAX_MEDIAN_AGE) return
        medianAt = now
        val averages =
            members.values
                .filter { it.samples >= options.slowSamples }
                .map { it.average }
                .sorted()
        median = if (averages.size < MIN_MEDIAN_MEMBERS) Double.NaN else averages[averages.size / 2]
    }

    private companion object {
        const val MIN_SAMPLE_WEIGHT = 0.2
        const val MAX_DOUBLINGS = 30

        // The median needs a sort of all members, so it is not recomputed with every answer.
        val MAX_MEDIAN_AGE = 1.seconds

        // With two endpoints, the median cannot tell which one is the outlier.
        const val MIN_MEDIAN_MEMBERS = 3
    }
}
