package org.cicadaturn.tasks.wire

import org.cicadaturn.schema.generated.Role
import kotlin.time.Duration

/** Reason why a connection was not established or ended. */
public sealed interface WireError {
    /** Stable label for metrics. */
    public val kind: String

    /** Description of the error with a remedy, for logs. */
    public val message: String

    /** The peer announced a frame of [bytes] bytes, which is over [limit]. */
    public data class FrameTooLong(
        val bytes: Long,
        val limit: Int,
    ) : WireError {
        override val kind: String get() = "frame_too_long"
        override val message: String get() = "frame of $bytes bytes is over $limit; check that the peer is cicadaturn"
    }

    /** A frame could not be decoded. */
    public data class Malformed(
        val detail: String,
    ) : WireError {
        override val kind: String get() = "malformed"
        override val message: String get() = "frame not understood ($detail); check that the versions agree"
    }

    /** The peer speaks another protocol version. */
    public data class WrongProtocol(
        val theirs: Int,
        val ours: Int,
    ) : WireError {
        override val kind: String get() = "wrong_protocol"
        override val message: String get() = "peer speaks protocol $theirs, this process $ours; run the same release"
    }

    /** The peer did not prove that it knows the shared key. */
    public data object ProofRejected : WireError {
        override val kind: String get() = "proof_rejected"
        override val message: String get() = "peer does not prove the shared key; set the same wire.key on both"
    }

    /** The peer has a role that this side does not accept. */
    public data class WrongRole(
        val role: Role,
    ) : WireError {
        override val kind: String get() = "wrong_role"
        override val message: String get() = "peer has role $role; check the address in the settings or configuration"
    }

    /** The peer sent a frame that is not allowed in the current state. */
    public data class UnexpectedFrame(
        val detail: String,
    ) : WireError {
        override val kind: String get() = "unexpected_frame"
        override val message: String get() = "frame not allowed now ($detail); check that the versions agree"
    }

    /** The peer sent nothing for [silence]. */
    public data class PeerSilent(
        val silence: Duration,
    ) : WireError {
        override val kind: String get() = "peer_silent"
        override val message: String get() = "nothing heard for $silence; the peer is paused or cut off"
    }

    /** The connection ended. */
    public data class ConnectionLost(
        val detail: String,
    ) : WireError {
        override val kind: String get() = "connection_lost"
        override val message: String get() = "connection lost ($detail)"
    }

    /** No connection was established. */
    public data class ConnectFailed(
        val detail: String,
    ) : WireError {
        override val kind: String get() = "connect_failed"
        override val message: String get() = "no connection ($detail); check that the peer runs at this address"
    }
}
