package org.cicadaturn.decisions.gateway

/** Whether an endpoint accepts connections. */
public enum class EndpointAccess {
    /** It does. */
    ACCEPTS,

    /** Nothing listens at its address any more. */
    REFUSES,

    /** It did not say so in time, or was not asked. */
    UNKNOWN,
}

/**
 * Returns why an answer that has neither a length nor chunks, whose connection has ended with [end], is not complete, or
 * null if it is. Its content is judged apart from that.
 *
 * An endpoint ends such an answer by closing the connection. The system of an endpoint that has crashed closes its
 * connections too, but also refuses new ones.
 *
 * @param isLeaving true if the endpoint is known to leave, so that it may refuse connections and has not crashed
 * @param access whether the endpoint accepts connections after it has closed this one
 */
public fun defectOfClosedAnswer(
    end: ConnectionEnd,
    isLeaving: Boolean,
    access: EndpointAccess,
): String? =
    when {
        end != ConnectionEnd.CLOSED_BY_ENDPOINT -> "the connection ended before the answer"
        isLeaving || access != EndpointAccess.REFUSES -> null
        else -> "the endpoint closed the connection and refuses others"
    }
