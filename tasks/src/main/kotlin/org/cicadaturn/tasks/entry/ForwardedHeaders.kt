package org.cicadaturn.tasks.entry

import org.cicadaturn.decisions.request.CallerRequest
import org.cicadaturn.schema.generated.Header

/** Headers of the caller that are not forwarded to the back end. */
private val withheldHeaders = setOf("authorization", "x-deadline-ms", "x-request-id", "x-attempt-id", "x-resume-from")

/** Headers that ask for another form of a chat completion than its request describes. */
private val withheldChatHeaders = setOf("accept", "accept-encoding", "range", "if-range", "last-event-id")

/** Returns the headers of [request] that are forwarded to the back end. */
internal fun forwardedHeaders(request: CallerRequest): List<Header> {
    val withheld = if (request.chat == null) withheldHeaders else withheldHeaders + withheldChatHeaders
    return request.headers.filterKeys { it !in withheld }.map { (name, value) -> Header(name, value) }
}
