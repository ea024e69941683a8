package org.cicadaturn.decisions.ratelimit

import org.cicadaturn.schema.generated.EndpointId
import kotlin.time.Duration

/** What one answer of an endpoint says about the rate that it takes from all gateways together. */
public sealed interface NamedLimit {
    /** The endpoint takes [perSecond] requests a second; zero or more, and finite. */
    public data class Rate(
        val perSecond: Double,
    ) : NamedLimit

    /** The answer names no limit, so an earlier one has ended. */
    public data object None : NamedLimit

    /** The answer names a limit as [text], which is no number of requests a second; an earlier limit stays in force. */
    public data class Unreadable(
        val text: String,
    ) : NamedLimit
}

/**
 * Limit of an endpoint as this process applies it.
 *
 * @property perSecond requests per second that the endpoint takes from all gateways together
 * @property ownPerSecond this process's share of them; zero if others send and this process does not
 * @property recentlySent requests that this process sent in the last 4 s
 * @property confirmedBefore time since the newest known answer that named the limit
 */
public data class EndpointLimitStatus(
    val endpoint: EndpointId,
    val perSecond: Double,
    val ownPerSecond: Double,
    val recentlySent: Int,
    val confirmedBefore: Duration,
)
