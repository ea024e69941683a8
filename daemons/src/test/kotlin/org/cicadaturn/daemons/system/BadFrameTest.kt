package org.cicadaturn.daemons.system

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StreamId
import org.cicadaturn.tasks.wire.MAX_FRAME_BYTES
import org.cicadaturn.tasks.wire.encodeFrame
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.seconds

/** Sends invalid frames to an endpoint process and to the peer listener of an entry process. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class BadFrameTest {
    /** Invalid input from a peer, with the kind of error that must be counted when the connection is closed. */
    class Case(
        val name: String,
        val kind: String,
        val listener: Listener,
        val send: (RawPeer) -> Unit,
    ) {
        override fun toString(): String = "$listener: $name"
    }

    enum class Listener { ENDPOINT, PEER }

    private lateinit var system: TestSystem

    @BeforeAll
    fun start() = runBlocking(Dispatchers.Default) { system = startSystem() }

    @AfterAll
    fun stop() = runBlocking(Dispatchers.Default) { system.close() }

    /** Guards against an invalid peer that is served, is dropped without an error or makes the process stop serving. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `an invalid peer is disconnected with a typed error and the process continues to serve`(case: Case) =
        runBlocking(Dispatchers.Default) {
            val node =
                if (case.listener ==
                    Listener.ENDPOINT
                ) {
                    system.endpoints.getValue("drafts-1")
                } else {
                    system.entries.getValue("entry-1")
                }
            val address = node.address(if (case.listener == Listener.ENDPOINT) "listen" else "peer")
            val before = node.counter(WIRE_ERRORS, case.kind)
            RawPeer(address).use { peer ->
                case.send(peer)
                assertNull(peer.receiveUntil { false }, "the process did not close the connection")
            }
            eventually("error ${case.kind}") { node.counter(WIRE_ERRORS, case.kind) > before }
            assertEquals(before + 1, node.counter(WIRE_ERRORS, case.kind))
            assertServes(case.listener)
        }

    /** Asserts that a new peer gets the configuration and a caller gets a draft. */
    private suspend fun assertServes(listener: Listener) {
        val address =
            if (listener == Listener.ENDPOINT) {
                system.endpoints.getValue("drafts-1").address("listen")
            } else {
                system.entries.getValue("entry-1").address("peer")
            }
        RawPeer(address).use { peer ->
            peer.handshake()
            peer.send(Frame.ConfigurationRequest(Revision(0)))
            check(peer.receiveUntil { it is Frame.ConfigurationValue } != null) { "no configuration from $listener" }
        }
        // The entry process was connected to that endpoint before; their connection must still work.
        assertEquals(
            Reply(200, expectedDraft("next", 2)),
            system.callers.draft(system.entry("entry-1"), "next", 2, true),
        )
    }

    fun cases(): List<Case> =
        Listener.entries.flatMap { handshakeCases(it) + reflectionCases(it) + bytesCases(it) } +
            roleCases() + endpointCases() + peerCases()

    private fun handshakeCases(at: Listener): List<Case> =
        listOf(
            Case("no handshake", "unexpected_frame", at) { it.send(Frame.Ping(1)) },
            Case("proof before hello", "unexpected_frame", at) { it.send(Frame.Proof(ByteArray(32))) },
            Case("hello in place of a proof", "unexpected_frame", at) { peer ->
                peer.send(helloOf())
                peer.send(helloOf())
            },
            Case("configuration before the proof", "unexpected_frame", at) { peer ->
                peer.send(helloOf())
                peer.send(Frame.ConfigurationValue(Revision(99), 0, 1, ByteArray(9)))
            },
            Case("wrong protocol version", "wrong_protocol", at) { it.send(helloOf(protocol = 2)) },
            Case("wrong key", "proof_rejected", at) { it.handshake(key = "another-key-of-the-tests") },
            Case("empty proof", "proof_rejected", at) { peer ->
                peer.send(helloOf())
                peer.send(Frame.Proof(ByteArray(0)))
            },
            Case("second hello", "unexpected_frame", at) { peer ->
                peer.handshake()
                peer.send(helloOf())
            },
            Case("frame over the limit of the handshake", "frame_too_long", at) { it.sendBytes(lengthOf(4097)) },
            Case("closed within the handshake", "connection_lost", at) { peer ->
                peer.send(helloOf())
                peer.endSending()
            },
        )

    private fun reflectionCases(at: Listener): List<Case> =
        listOf(
            Case("reflected proof", "proof_rejected", at) { peer ->
                peer.send(helloOf())
                peer.receive()
                peer.send(checkNotNull(peer.receive()))
            },
            Case("reflected hello and proof", "unexpected_frame", at) { peer ->
                peer.send(checkNotNull(peer.receive()))
                peer.receive()?.let { peer.send(it) }
            },
        )

    private fun bytesCases(at: Listener): List<Case> =
        listOf(
            Case("negative length", "frame_too_long", at) { peer ->
                peer.handshake()
                peer.sendBytes(lengthOf(-1))
            },
            Case("frame over the limit", "frame_too_long", at) { peer ->
                peer.handshake()
                peer.sendBytes(lengthOf(MAX_FRAME_BYTES + 1))
            },
            Case("truncated frame", "connection_lost", at) { peer ->
                peer.handshake()
                peer.sendBytes(lengthOf(100) + ByteArray(50))
                peer.endSending()
            },
            malformed("empty frame", at, ByteArray(0)),
            malformed("garbage", at, ByteArray(64) { 0xff.toByte() }),
            malformed(
                "unknown kind of frame",
                at,
                encodeFrame(Frame.Ping(1))
                    .map {
                        if (it ==
                            'p'.code.toByte()
                        ) {
                            'x'.code.toByte()
                        } else {
                            it
                        }
                    }.toByteArray(),
            ),
            malformed("frame that ends early", at, encodeFrame(Frame.GoAway("reason")).dropLast(4).toByteArray()),
            malformed("byte string longer than the frame", at, longByteString()),
            malformed("nested arrays", at, ByteArray(100_000) { 0x81.toByte() }),
            Case(
                "byte string longer than the frame, before the handshake",
                "malformed",
                at,
            ) { it.sendBody(longByteString()) },
            Case("garbage before the handshake", "malformed", at) { it.sendBody(ByteArray(64) { 0x5f }) },
        )

    /** Returns a proof frame whose byte string has a declared length of 2 GiB. */
    private fun longByteString(): ByteArray {
        val bytes = encodeFrame(Frame.Proof(ByteArray(32) { 0x41 }))
        val start = (0..bytes.size).first { bytes.copyOfRange(it, it + 8).all { b -> b == 0x41.toByte() } }
        val head = bytes.copyOfRange(0, start - 2)
        return head + byteArrayOf(0x5a, 0x7f, -1, -1, -1) + bytes.copyOfRange(start, bytes.size)
    }

    private fun malformed(
        name: String,
        at: Listener,
        body: ByteArray,
    ): Case =
        Case(name, "malformed", at) { peer ->
            peer.handshake()
            peer.sendBody(body)
        }

    private fun roleCases(): List<Case> =
        Listener.entries.map { at ->
            Case("wrong role", "wrong_role", at) { it.handshake(helloOf(role = Role.ENDPOINT)) }
        }

    private fun endpointCases(): List<Case> =
        listOf(
            Case("stream identifier used twice", "unexpected_frame", Listener.ENDPOINT) { peer ->
                peer.handshake()
                repeat(2) { peer.send(openFrame(5)) }
            },
            Case("stream identifier that decreases", "unexpected_frame", Listener.ENDPOINT) { peer ->
                peer.handshake()
                listOf(5L, 4L).forEach { peer.send(openFrame(it)) }
            },
            wrongDirection("end", Listener.ENDPOINT, Frame.End(StreamId(1), 0)),
            wrongDirection("head", Listener.ENDPOINT, Frame.Head(StreamId(1), AttemptId("a"), 200)),
            wrongDirection("failure", Listener.ENDPOINT, Frame.Failed(StreamId(1), Outcome.NOT_RUN, "x")),
            wrongDirection("go-away", Listener.ENDPOINT, Frame.GoAway("x")),
        )

    private fun peerCases(): List<Case> =
        listOf(
            wrongDirection("request to an entry", Listener.PEER, openFrame(1)),
            wrongDirection("cancel to an entry", Listener.PEER, Frame.Cancel(StreamId(1))),
            wrongDirection("chunk from an entry", Listener.PEER, Frame.Chunk(StreamId(1), 0, ByteArray(1))),
        )

    private fun wrongDirection(
        name: String,
        at: Listener,
        frame: Frame,
    ): Case =
        Case("wrong direction, $name", "unexpected_frame", at) { peer ->
            peer.handshake()
            peer.send(frame)
        }

    private fun openFrame(stream: Long): Frame.Open =
        Frame.Open(
            stream = StreamId(stream),
            attempt = AttemptId("raw-$stream"),
            request = RequestId("raw"),
            service = ServiceId(DRAFTS),
            organisation = OrganisationId("org"),
            method = "POST",
            path = CHAT,
            body = chatBody("raw", 2, false).encodeToByteArray(),
            timeLeft = 5.seconds,
            credit = 64,
        )
}

private const val WIRE_ERRORS = "cicadaturn_wire_errors"
