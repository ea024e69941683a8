package org.cicadaturn.decisions.gateway

import kotlin.math.ceil
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Share of a process in a rate of requests to one endpoint that holds for all processes together.
 *
 * Processes that are cut off keep their share, so the sum over all processes stays within the bound without any
 * coordination. If the bound is lower than the number of processes, only some of them send to an endpoint.
 *
 * @property senders number of processes that may send to one endpoint
 * @property perSender requests that each of them may send within [window]
 * @property perSecond requests per second that each of them may send on average; infinite if only the window counts
 * @property burst requests above that average that each may send at once
 */
public data class RateShare(
    val senders: Int,
    val perSender: Int,
    val window: Duration,
    val perSecond: Double = Double.POSITIVE_INFINITY,
    val burst: Double = Double.POSITIVE_INFINITY,
)

/**
 * Returns the share of each of [gateways] processes in the requests to an endpoint that may be cold.
 *
 * The window is a little more than a second because requests arrive with varying delays, so that requests sent further
 * apart may arrive within one second.
 *
 * @param rate requests per second that a cold endpoint can sustain
 * @param factor factor on the rate up to which requests are allowed
 * @param slack requests per second that are allowed in addition to that product
 */
public fun coldShare(
    rate: Double,
    factor: Double,
    slack: Double,
    gateways: Int,
): RateShare {
    require(gateways >= 1) { "gateways is $gateways; give at least 1" }
    val bound = ((rate * factor + slack) * USED_SHARE).toInt().coerceAtLeast(1)
    return RateShare(minOf(bound, gateways), maxOf(1, bound / gateways), COLD_WINDOW)
}

/**
 * Returns the share of each of [gateways] processes in the requests to an endpoint that takes [limit] requests a second.
 *
 * On average all together send at the limit. Within 4 s they send at most 5 times the limit, and 4 requests more, where
 * 6 times the limit, and 5 requests more, are allowed. The rest is reserved for processes that have started but are not
 * yet known to all others. Each sends at most one request more within 4 s than its part, so that the bound also holds
 * for two processes of which one does not know of the other.
 *
 * An answer is needed to learn that a limit has ended. Below [MIN_LIMIT] the processes therefore send at that rate, and
 * there are only so many senders that each may send every 8 s.
 */
public fun namedShare(
    limit: Double,
    gateways: Int,
): RateShare {
    require(limit >= 0.0) { "limit is $limit; give a number of at least 0" }
    require(gateways >= 1) { "gateways is $gateways; give at least 1" }
    val rate = limit.coerceIn(MIN_LIMIT, MAX_LIMIT)
    val most = minOf(limit, MAX_LIMIT) * MOST_FACTOR + MOST_SLACK
    val perWindow = ceil(rate * (NAMED_WINDOW / 1.seconds) / gateways)
    val senders = minOf(gateways.toDouble(), most / perWindow, rate * (MAX_INTERVAL / 1.seconds)).toInt()
    val perSender = minOf((most / senders).toInt(), perWindow.toInt() + 1)
    val perSecond = rate / senders
    val burst = minOf(perSender.toDouble(), maxOf(MIN_BURST, perSecond))
    return RateShare(senders, perSender, NAMED_WINDOW, perSecond, burst)
}

/**
 * Returns the share of each of [gateways] processes in the requests to an endpoint whose limit of [limit] requests a
 * second ended [ago], or null if the end is so long ago that nothing binds.
 *
 * The rate doubles every half second from the limit, as many processes hear of the end at the same time.
 */
public fun returnShare(
    limit: Double,
    ago: Duration,
    gateways: Int,
): RateShare? {
    if (ago >= RETURN_TIME) return null
    val doublings = floor(ago / DOUBLING_TIME).toInt().coerceAtLeast(0)
    val perSecond = maxOf(limit, MIN_LIMIT) * (1L shl doublings) / gateways
    val burst = maxOf(1.0, perSecond * (DOUBLING_TIME / 1.seconds) / 2)
    return RateShare(gateways, Int.MAX_VALUE, NAMED_WINDOW, perSecond, burst)
}

/** Limit below which endpoints get this rate all the same, in requests per second: one request every 4 s. */
private const val MIN_LIMIT = 0.25

/** Limit above which nothing binds, in requests per second; all gateways of a site together do not reach it. */
private const val MAX_LIMIT = 1e6

/** Factor and slack of the requests that all processes together may send within [NAMED_WINDOW]. */
private const val MOST_FACTOR = 5
private const val MOST_SLACK = 4

/** Requests that a sender may save up where the window allows it, as callers do not come at even intervals. */
private const val MIN_BURST = 2.0

/** Longest time between two requests of a sender, after which it learns that a limit has ended. */
private val MAX_INTERVAL = 8.seconds

/** Window in which the rule on named limits counts requests. */
private val NAMED_WINDOW = 4.seconds

private val DOUBLING_TIME = 500.milliseconds

/** Time after which the rate has grown a thousandfold. */
private val RETURN_TIME = 5.seconds

private val COLD_WINDOW = 1.2.seconds

/** The rest is reserved for processes that have started but are not yet known to all others. */
private const val USED_SHARE = 0.85
