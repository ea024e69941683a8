package org.cicadaturn.daemons.system

import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.tasks.wire.decodeFrame
import org.cicadaturn.tasks.wire.encodeFrame
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.net.Socket
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Connection to a process over which arbitrary bytes can be sent; its calls block the thread. */
internal class RawPeer(
    address: NetworkAddress,
) : AutoCloseable {
    private val socket = Socket(address.ip, address.port).also { it.soTimeout = SOCKET_TIMEOUT_MILLIS }
    private val input = DataInputStream(socket.getInputStream())
    private val output = DataOutputStream(socket.getOutputStream())

    fun send(frame: Frame) = sendBody(encodeFrame(frame))

    fun sendBody(body: ByteArray) = sendBytes(lengthOf(body.size) + body)

    fun sendBytes(bytes: ByteArray) {
        output.write(bytes)
        output.flush()
    }

    /** Closes the sending direction, as when a peer fails within a frame. */
    fun endSending() = socket.shutdownOutput()

    /** Returns the next frame, or null if the process has closed the connection. */
    fun receive(): Frame? =
        try {
            val body = ByteArray(input.readInt())
            input.readFully(body)
            decodeFrame(body).fold({ throw AssertionError(it.message) }, { it })
        } catch (_: IOException) {
            null
        }

    /** Returns the next frame that [wanted] accepts, or null if the process has closed the connection. */
    fun receiveUntil(wanted: (Frame) -> Boolean): Frame? = generateSequence { receive() }.firstOrNull(wanted)

    /** Exchanges hello and proof frames; returns the hello frame of the process. */
    fun handshake(
        hello: Frame.Hello = helloOf(),
        key: String = WIRE_KEY,
    ): Frame.Hello {
        send(hello)
        val theirs = receive() as Frame.Hello
        send(Frame.Proof(proof(key, sender = hello, receiver = theirs)))
        return theirs
    }

    override fun close() = socket.close()
}

internal fun lengthOf(n: Int): ByteArray =
    byteArrayOf((n shr 24).toByte(), (n shr 16).toByte(), (n shr 8).toByte(), n.toByte())

internal fun helloOf(
    role: Role = Role.ENTRY,
    protocol: Int = 1,
    process: String = "raw-peer",
): Frame.Hello =
    Frame.Hello(
        protocol,
        role,
        ProcessId(process),
        Incarnation(7),
        FailureDomainId("fd-1"),
        ByteArray(32) { it.toByte() },
    )

/** Computes a proof independently of the code under test. */
internal fun proof(
    key: String,
    sender: Frame.Hello,
    receiver: Frame.Hello,
): ByteArray {
    val mac = Mac.getInstance("HmacSHA256")
    mac.init(SecretKeySpec(key.encodeToByteArray(), "HmacSHA256"))
    val name = "${sender.role.name}\u0000${sender.process.text}\u0000${sender.incarnation.number}"
    return mac.doFinal(receiver.nonce + sender.nonce + name.encodeToByteArray())
}
