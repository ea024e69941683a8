package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.retry.WatchTimes
import org.cicadaturn.decisions.retry.watchTimes
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Returns the times of the watch of [part].
 *
 * A shorter wait costs a call to the store each time that it passes without a change, so it depends on how soon a change
 * of the part must be in force.
 *
 * @param longestWait wait of a watch whose changes may come late
 * @param maxSilence time within which a change of the configuration or of an endpoint must be known although the answer
 * to a watch was lost
 * @param timeout longest time of a call without the wait of a watch
 */
public fun fleetWatchTimes(
    part: FleetPart,
    longestWait: Duration,
    maxSilence: Duration,
    timeout: Duration,
): WatchTimes =
    when (part) {
        FleetPart.CONFIGURATION -> watchTimes(longestWait, maxSilence)
        FleetPart.ENDPOINTS -> watchTimes(longestWait, maxSilence, pause = maxSilence * ENDPOINT_PAUSE_SHARE)
        FleetPart.DRAINED_DOMAINS -> watchTimes(longestWait, maxSilence * DRAIN_SILENCE_FACTOR)
        FleetPart.PEERS -> WatchTimes(longestWait, longestWait + timeout, PEER_PAUSE)
        FleetPart.QUARANTINE -> WatchTimes(longestWait, longestWait + timeout)
    }

/**
 * Times of the watches of a part that gateways share, as some of them report the answers of the store to the others.
 *
 * @property reporting times of the watch of a gateway that reports its answers
 * @property longestWait wait of the watch of a gateway that relies on the reports of another
 * @property validity time after an answer of the store for which its report makes a watch of one's own needless
 */
public data class SharedWatchTimes(
    val reporting: WatchTimes,
    val longestWait: Duration,
    val validity: Duration,
)

/**
 * Returns the times of the shared watches of [part], or null if each gateway watches it alone.
 *
 * The watch of a gateway that relies on reports may be lost without notice, so a change may be known as late as the last
 * report before it loses its validity. That must be sooner than the time within which a change must be in force, which
 * is two thirds of [maxSilence] at users' sites.
 */
public fun sharedWatchTimes(
    part: FleetPart,
    longestWait: Duration,
    maxSilence: Duration,
): SharedWatchTimes? {
    val silence =
        when (part) {
            FleetPart.CONFIGURATION, FleetPart.ENDPOINTS -> maxSilence
            FleetPart.DRAINED_DOMAINS -> maxSilence * DRAIN_SILENCE_FACTOR
            FleetPart.PEERS, FleetPart.QUARANTINE -> return null
        }
    val pause = if (part == FleetPart.ENDPOINTS) maxSilence * ENDPOINT_PAUSE_SHARE else Duration.ZERO
    val reporting = watchTimes(minOf(longestWait, silence * REPORTING_SHARE), silence, pause)
    return SharedWatchTimes(reporting, longestWait, silence * VALIDITY_SHARE)
}

/**
 * Times of the requests for reports.
 *
 * @property wait time after which a peer answers even if it has nothing to report; longer than the wait of its watches
 * @property pause time between a report and the next request, in which answers of the store about several parts collect
 */
public data class ReportTimes(
    val wait: Duration,
    val pause: Duration,
)

/** Returns the times of the requests for reports where a change must be known within [maxSilence]. */
public fun reportTimes(maxSilence: Duration): ReportTimes =
    ReportTimes(maxSilence * REPORT_WAIT_SHARE, maxSilence * REPORT_PAUSE_SHARE)

/** 1.6 s of 3 s, in which the watch of a reporting gateway ends even if its answer takes 0.36 s. */
private const val REPORT_WAIT_SHARE = 0.53

/** 0.4 s of 3 s, so that one request brings the reports about all parts. */
private const val REPORT_PAUSE_SHARE = 0.13

/** Leaves a fifth of the longest silence for the way of a report: 0.6 s of 3 s. */
private const val REPORTING_SHARE = 0.4
private const val VALIDITY_SHARE = 0.6

/** Endpoints change together, as they start, fail and drain in groups; 0.24 s of 3 s collect such changes in one call. */
private const val ENDPOINT_PAUSE_SHARE = 0.08

/** Gateways start together; each start would otherwise cost a call of every other gateway. */
private val PEER_PAUSE = 500.milliseconds

/** A failure domain may get requests until 5 s after the operator's call, so its watch may be lost for longer. */
private const val DRAIN_SILENCE_FACTOR = 1.6
