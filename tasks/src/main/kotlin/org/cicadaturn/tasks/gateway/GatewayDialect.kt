package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.AnswerHead
import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.decisions.ratelimit.NamedLimit
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.endToEnd
import org.cicadaturn.tasks.http.valueOf

/**
 * Names and formats of the headers that the callers and endpoints of a platform use.
 *
 * @property requestId header with the identifier of a request, which endpoints echo
 * @property deadlineMillis header with the time for which the sender waits, in milliseconds
 * @property organisation header with the name of the organisation, set by the gateway
 * @property expectedEndpoint header with the identifier of the only endpoint that may run the request
 * @property lastEventId header with the identifier of the last event that was received of a stream
 * @property signature header with the signature of an endpoint's answer
 * @property notExecuted header that is present if the endpoint did not run the request
 * @property keyScheme scheme of the Authorization header that carries a key
 * @property promptOf returns the segments of the prompt that the headers of a request name, in order; empty if it has none
 * @property loadOf returns the load that an endpoint reported in the headers of an answer, or null
 * @property limitOf returns what the headers of an answer say about the rate of requests that its endpoint takes
 * @property noticeOf returns what an answer says about the end of its endpoint and about a pause in requests
 */
public data class GatewayDialect(
    val requestId: String,
    val deadlineMillis: String,
    val organisation: String,
    val expectedEndpoint: String,
    val lastEventId: String,
    val signature: String,
    val notExecuted: String,
    val keyScheme: String,
    val promptOf: (List<Header>) -> List<PromptSegmentId>,
    val loadOf: (List<Header>) -> LoadSample?,
    val limitOf: (List<Header>) -> NamedLimit,
    val noticeOf: (ResponseHead) -> EndpointNotice,
)

/** Returns what decides how the answer with [head] is read; only headers that reach the caller count. */
internal fun GatewayDialect.answerHead(head: ResponseHead): AnswerHead {
    val headers = head.headers.endToEnd()
    return AnswerHead(
        status = head.status,
        framing = head.framing,
        contentTypes = headers.filter { it.name.equals("Content-Type", ignoreCase = true) }.map { it.value },
        isEncoded = head.headers.valueOf("Content-Encoding") != null,
        requestId = headers.valueOf(requestId),
        isSigned = headers.valueOf(signature) != null,
    )
}
