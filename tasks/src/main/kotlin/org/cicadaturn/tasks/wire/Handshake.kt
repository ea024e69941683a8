package org.cicadaturn.tasks.wire

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.Role
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Version of the wire protocol of this release. */
public const val PROTOCOL_VERSION: Int = 1

private const val NONCE_BYTES = 32
private const val HANDSHAKE_FRAME_LIMIT = 4096
private const val MAC_ALGORITHM = "HmacSHA256"

/**
 * Identity of this process towards its peers.
 *
 * @property incarnation number that identifies this run of the process
 * @property key key shared by all processes
 */
public class WireIdentity(
    public val role: Role,
    public val process: ProcessId,
    public val incarnation: Incarnation,
    public val failureDomain: FailureDomainId,
    public val key: String,
)

/**
 * Exchanges hello and proof frames and returns the hello of the peer, which its proof has authenticated.
 *
 * A hello with the id of this process is refused before a proof is sent: a peer without the key could otherwise reflect
 * the hello and the proof of this process, from this or another connection, as its own.
 */
internal suspend fun handshake(
    input: ByteReadChannel,
    output: ByteWriteChannel,
    identity: WireIdentity,
    random: SecureRandom,
): Either<WireError, Frame.Hello> {
    val own = helloOf(identity, random)
    output.writeFrame(own)
    output.flush()
    val peer = receiveHello(input).fold({ return it.left() }, { it })
    if (peer.process == own.process) return WireError.UnexpectedFrame("hello with this process's own id").left()
    output.writeFrame(Frame.Proof(proofOf(identity.key, sender = own, receiver = peer)))
    output.flush()
    val mac = receiveProof(input).fold({ return it.left() }, { it })
    val expected = proofOf(identity.key, sender = peer, receiver = own)
    return if (MessageDigest.isEqual(mac, expected)) peer.right() else WireError.ProofRejected.left()
}

private suspend fun receiveHello(input: ByteReadChannel): Either<WireError, Frame.Hello> {
    val frame = input.readFrame(HANDSHAKE_FRAME_LIMIT).fold({ return it.left() }, { it })
    if (frame !is Frame.Hello) return WireError.UnexpectedFrame("expected a hello").left()
    if (frame.protocol != PROTOCOL_VERSION) return WireError.WrongProtocol(frame.protocol, PROTOCOL_VERSION).left()
    return frame.right()
}

private suspend fun receiveProof(input: ByteReadChannel): Either<WireError, ByteArray> {
    val frame = input.readFrame(HANDSHAKE_FRAME_LIMIT).fold({ return it.left() }, { it })
    return if (frame is Frame.Proof) frame.mac.right() else WireError.UnexpectedFrame("expected a proof").left()
}

private fun helloOf(
    identity: WireIdentity,
    random: SecureRandom,
): Frame.Hello =
    Frame.Hello(
        protocol = PROTOCOL_VERSION,
        role = identity.role,
        process = identity.process,
        incarnation = identity.incarnation,
        failureDomain = identity.failureDomain,
        nonce = ByteArray(NONCE_BYTES).also { random.nextBytes(it) },
    )

/**
 * Returns the proof of [sender] towards [receiver].
 *
 * The nonce of the receiver prevents replay; the role and process of the sender prevent reflection of the proof to its
 * sender.
 */
internal fun proofOf(
    key: String,
    sender: Frame.Hello,
    receiver: Frame.Hello,
): ByteArray {
    val mac = Mac.getInstance(MAC_ALGORITHM)
    mac.init(SecretKeySpec(key.encodeToByteArray(), MAC_ALGORITHM))
    mac.update(receiver.nonce)
    mac.update(sender.nonce)
    mac.update("${sender.role}\u0000${sender.process}\u0000${sender.incarnation}".encodeToByteArray())
    return mac.doFinal()
}
