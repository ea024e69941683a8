package org.cicadaturn.decisions.quarantine

import org.cicadaturn.decisions.confirmation.digestOf
import org.cicadaturn.schema.generated.CrashReport
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.LostPrompt
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.SuspectKind

/**
 * Prompt segment or request at a service; another service may run another model, which it does not harm.
 *
 * @property segment segment, or the digest of the request
 */
public data class ServiceSegment(
    val service: ServiceId,
    val segment: PromptSegmentId,
    val kind: SuspectKind = SuspectKind.SEGMENT,
) {
    /** Name in logs, in commands and in the store, which differs between segments and requests. */
    val name: String get() = if (kind == SuspectKind.REQUEST) REQUEST_PREFIX + segment.text else segment.text
}

/** Returns the segment or request of [service] with [name]. */
public fun serviceSegment(
    service: ServiceId,
    name: String,
): ServiceSegment {
    val isRequest = name.length == REQUEST_PREFIX.length + DIGEST_LENGTH && name.startsWith(REQUEST_PREFIX)
    if (!isRequest) return ServiceSegment(service, PromptSegmentId(name))
    return ServiceSegment(service, PromptSegmentId(name.removePrefix(REQUEST_PREFIX)), SuspectKind.REQUEST)
}

/** Returns the request to [service] with [digest]. */
public fun requestSegment(
    service: ServiceId,
    digest: Digest,
): ServiceSegment = ServiceSegment(service, PromptSegmentId(digest.text), SuspectKind.REQUEST)

/**
 * Returns the digest that all copies of a request have, whichever process gets them.
 *
 * @param target path with query
 * @param organisation organisation of the caller, or null if the route is public
 * @param body complete body, however it was sent
 */
public fun requestDigest(
    method: String,
    target: String,
    organisation: OrganisationId?,
    body: ByteArray,
): Digest =
    digestOf(
        method.encodeToByteArray(),
        target.encodeToByteArray(),
        organisation?.text.orEmpty().encodeToByteArray(),
        body,
    )

/** Segment or request of this entry. */
public val QuarantinedSegment.suspect: ServiceSegment get() = ServiceSegment(service, segment, kind)

/** Segments and requests that were lost in this crash. */
public val CrashReport.suspects: Set<ServiceSegment>
    get() = lost.flatMapTo(LinkedHashSet()) { it.suspects(service) }

/** Returns what may have crashed the endpoint of [service] that was to answer this request. */
internal fun LostPrompt.suspects(service: ServiceId): List<ServiceSegment> =
    segments.map { ServiceSegment(service, it) } + listOfNotNull(request?.let { requestSegment(service, it) })

/** With the length of a digest it is longer than a segment can be, so the names of the two kinds differ. */
private const val REQUEST_PREFIX = "request-"
private const val DIGEST_LENGTH = 64
