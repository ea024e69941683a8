package org.cicadaturn.decisions.gateway

import kotlin.time.Duration

/**
 * What one answer of an endpoint says about whether the endpoint takes further requests.
 *
 * @property leaving whether the endpoint announces its end
 * @property pause time for which the endpoint asks this process for no requests
 */
public data class EndpointNotice(
    val leaving: LeavingNotice = LeavingNotice.None,
    val pause: PauseNotice = PauseNotice.None,
) {
    /** True if the answer says nothing of either kind. */
    public val isEmpty: Boolean get() = leaving == LeavingNotice.None && pause == PauseNotice.None
}

/** What one answer says about the end of its endpoint. */
public sealed interface LeavingNotice {
    /** The answer does not announce the end of the endpoint; an earlier announcement stays in force. */
    public data object None : LeavingNotice

    /** The endpoint will end and takes nothing new. */
    public data object Announced : LeavingNotice

    /** The answer has [text] where the announcement belongs; it changes nothing. */
    public data class Unreadable(
        val text: String,
    ) : LeavingNotice
}

/** What one answer says about a pause in the requests of this process. */
public sealed interface PauseNotice {
    /** The answer asks for no pause; an earlier pause goes on. */
    public data object None : PauseNotice

    /**
     * The endpoint wants no requests from this process for [time], which is positive and counts from the answer.
     *
     * @property isShortened true if the endpoint asked for more than the longest pause
     */
    public data class Requested(
        val time: Duration,
        val isShortened: Boolean = false,
    ) : PauseNotice

    /** The answer has [text] where the time belongs; it counts as a refusal without a pause. */
    public data class Unreadable(
        val text: String,
    ) : PauseNotice
}
