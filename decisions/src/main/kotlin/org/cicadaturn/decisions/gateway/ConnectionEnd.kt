package org.cicadaturn.decisions.gateway

/** How a connection to an endpoint has ended. */
public enum class ConnectionEnd {
    /** The endpoint closed it, or only its own direction of it, after all that it has sent. */
    CLOSED_BY_ENDPOINT,

    /** The endpoint reset it, so that a part of what it has sent may be missing. */
    RESET,

    /** This process closed it, whatever the endpoint would have sent. */
    CLOSED_BY_GATEWAY,

    /** It failed otherwise, as the endpoint was silent for too long or nothing could be written to it. */
    FAILED,
}
