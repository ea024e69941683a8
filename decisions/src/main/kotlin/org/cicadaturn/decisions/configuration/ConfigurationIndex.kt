package org.cicadaturn.decisions.configuration

import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Operator
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import java.security.MessageDigest

/** Immutable index of one configuration. Look-ups take constant time, except that of an operator. */
public class ConfigurationIndex internal constructor(
    /** Indexed configuration. */
    public val configuration: Configuration,
) {
    private val services = configuration.services.associateBy { it.id }
    private val models = configuration.services.flatMap { s -> s.models.map { it to s } }.toMap()
    private val endpoints = configuration.endpoints.associateBy { it.id }
    private val drainedDomains =
        configuration.failureDomains
            .filter { it.state == AdmissionState.DRAINED }
            .map { it.id }
            .toSet()
    private val organisationsByKeyPrefix =
        configuration.organisations.flatMap { o -> o.keys.map { it to o } }.groupBy { prefixOf(it.first) }

    /** Returns the service [id], or null if there is none. */
    public fun service(id: ServiceId): Service? = services[id]

    /** Returns the service that serves [model], or null if there is none. */
    public fun serviceOf(model: String): Service? = models[model]

    /** Returns the endpoint [id], or null if it is not admitted. */
    public fun endpoint(id: EndpointId): Endpoint? = endpoints[id]

    /** Returns true if operators have drained the failure domain [id]. */
    public fun isDrained(id: FailureDomainId): Boolean = id in drainedDomains

    /** Returns true if [endpoint] may get new requests. */
    public fun isInService(endpoint: Endpoint): Boolean =
        endpoint.state == AdmissionState.IN_SERVICE && !isDrained(endpoint.failureDomain)

    /** Returns the organisation that has a key with [digest], or null if there is none. */
    public fun organisationOf(digest: Digest): Organisation? =
        organisationsByKeyPrefix[prefixOf(digest)]
            .orEmpty()
            .firstOrNull { (key, _) -> sameDigest(key, digest) }
            ?.second

    /** Returns the operator whose key has [digest], or null if there is none; linear in the number of operators. */
    public fun operatorOf(digest: Digest): Operator? =
        configuration.operators.firstOrNull { sameDigest(it.key, digest) }
}

/** Returns an index of [configuration], in time linear in its size. */
public fun configurationIndex(configuration: Configuration): ConfigurationIndex = ConfigurationIndex(configuration)

/** Returns the SHA-256 digest of [text]. */
public fun digestOf(text: String): Digest = digestOf(text.encodeToByteArray())

/** Returns the SHA-256 digest of [bytes]. */
public fun digestOf(bytes: ByteArray): Digest = Digest(MessageDigest.getInstance("SHA-256").digest(bytes).toHexString())

/** Number of digits of a digest that select the candidates for the constant-time comparison. */
private const val PREFIX_DIGITS = 8

private fun prefixOf(digest: Digest): String = digest.text.take(PREFIX_DIGITS)

/** Compares in constant time, so that response times do not reveal how much of a digest matches. */
private fun sameDigest(
    a: Digest,
    b: Digest,
): Boolean = MessageDigest.isEqual(a.text.encodeToByteArray(), b.text.encodeToByteArray())
