package org.cicadaturn.decisions.gateway

import org.cicadaturn.decisions.retry.WatchTimes
import org.cicadaturn.decisions.retry.watchTimes
import kotlin.time.Duration

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
        FleetPart.CONFIGURATION, FleetPart.ENDPOINTS -> watchTimes(longestWait, maxSilence)
        FleetPart.DRAINED_DOMAINS -> watchTimes(longestWait, maxSilence * DRAIN_SILENCE_FACTOR)
        FleetPart.PEERS, FleetPart.QUARANTINE -> WatchTimes(longestWait, longestWait + timeout)
    }

/** A failure domain may get requests until 5 s after the operator's call, so its watch may be lost for longer. */
private const val DRAIN_SILENCE_FACTOR = 1.6
