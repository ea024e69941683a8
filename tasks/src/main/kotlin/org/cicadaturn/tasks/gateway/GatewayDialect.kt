package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.LoadSample
import org.cicadaturn.schema.generated.Header

/**
 * Names and forms of the headers that callers and endpoints of a platform use.
 *
 * @property requestId identifier of a request, which endpoints echo
 * @property deadlineMillis milliseconds for which the sender waits
 * @property organisation name of the organisation, set by the gateway
 * @property expectedEndpoint identifier of the endpoint that alone may run the request
 * @property lastEventId identifier of the last event that was received of a stream
 * @property signature proof of an endpoint's answer
 * @property notExecuted present if the endpoint did not run the request
 * @property keyScheme scheme of the Authorization header that carries a key
 * @property loadOf reads the load that an endpoint tells in an answer
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
    val loadOf: (List<Header>) -> LoadSample?,
)
