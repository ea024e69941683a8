package org.cicadaturn.tasks.gateway

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.endToEnd
import kotlin.time.Duration

/**
 * Returns the head of the caller's request [received] as it is sent to [endpoint].
 *
 * @param remaining time left until the deadline of the caller
 * @param organisation holder of the caller's key, or null if the request needs none
 * @param isKeyed true if the configuration has keys, which must not reach an endpoint
 * @param resumeFrom identifier of the last event that the caller has, or null if the caller's own applies
 */
internal fun GatewayDialect.forwardedHead(
    received: RequestHead,
    endpoint: EndpointId,
    remaining: Duration,
    organisation: OrganisationId?,
    isKeyed: Boolean,
    resumeFrom: Long?,
): RequestHead {
    val replaced =
        listOfNotNull(
            deadlineMillis,
            this.organisation,
            expectedEndpoint,
            "Authorization".takeIf { isKeyed },
            lastEventId.takeIf { resumeFrom != null },
        ).mapTo(HashSet()) { it.lowercase() }
    val forwarded = received.headers.endToEnd().filter { it.name.lowercase() !in replaced }
    val added =
        listOfNotNull(
            Header(deadlineMillis, remaining.inWholeMilliseconds.coerceAtLeast(1).toString()),
            Header(expectedEndpoint, endpoint.text),
            organisation?.let { Header(this.organisation, it.text) },
            resumeFrom?.let { Header(lastEventId, it.toString()) },
        )
    return RequestHead(received.method, received.target, forwarded + added)
}
