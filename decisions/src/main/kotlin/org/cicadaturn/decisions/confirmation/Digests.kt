package org.cicadaturn.decisions.confirmation

import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ServiceId
import java.security.MessageDigest

/**
 * Returns the digests that identify a call of [organisation] to [service] with [idempotencyKey].
 *
 * The key digest covers organisation, service and idempotency key; the body digest covers [request].
 */
public fun confirmationKey(
    organisation: OrganisationId,
    service: ServiceId,
    idempotencyKey: String,
    request: ConfirmationRequest,
): ConfirmationKey =
    ConfirmationKey(
        key = digestOf(organisation.text.toByteArray(), service.text.toByteArray(), idempotencyKey.toByteArray()),
        body = digestOf(request.method.toByteArray(), request.path.toByteArray(), request.body),
    )

/** Part of a request that must be the same when its idempotency key is used again. */
public class ConfirmationRequest(
    /** HTTP method. */
    public val method: String,
    /** Path and query. */
    public val path: String,
    /** Request body. */
    public val body: ByteArray,
)

/**
 * Returns the SHA-256 digest of [parts].
 *
 * The length of each part is hashed before the part, so that moving bytes from one part to the next changes the digest.
 */
internal fun digestOf(vararg parts: ByteArray): Digest {
    val sha = MessageDigest.getInstance("SHA-256")
    for (part in parts) {
        sha.update(lengthBytes(part.size))
        sha.update(part)
    }
    return Digest(sha.digest().toHexString())
}

private fun lengthBytes(length: Int): ByteArray =
    ByteArray(Int.SIZE_BYTES) {
        (length ushr (it * Byte.SIZE_BITS)).toByte()
    }
