package org.cicadaturn.tasks.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

class AnswerDecoderTest {
    private val decoder = AnswerDecoder(HttpDecoderConfig(), testAccount())
    private val channel = EmbeddedChannel(decoder)

    /** Feeds [text] to the decoder in pieces of [size] bytes and returns the messages that come out. */
    private fun decode(
        text: String,
        size: Int = text.length,
    ): List<HttpObject> {
        text.chunked(size.coerceAtLeast(1)).forEach {
            channel.writeInbound(Unpooled.copiedBuffer(it.encodeToByteArray()))
        }
        return generateSequence { channel.readInbound<HttpObject>() }.toList().onEach { ReferenceCountUtil.release(it) }
    }

    private fun isSound(messages: List<HttpObject>): Boolean = messages.all { it.decoderResult().isSuccess }

    /** Guards against a connection that counts as idle while the head of a second answer is incomplete. */
    @ParameterizedTest
    @ValueSource(ints = [1, 7, 1000])
    fun `bytes after an answer are surplus although they form no message`(size: Int) {
        for (length in 1..ANSWER.length) {
            val decoder = AnswerDecoder(HttpDecoderConfig(), testAccount())
            val channel = EmbeddedChannel(decoder)
            decoder.requestSent("GET")
            (ANSWER + ANSWER.take(length)).chunked(size).forEach {
                channel.writeInbound(Unpooled.copiedBuffer(it.encodeToByteArray()))
            }
            assertTrue(decoder.hasSurplus, "$length bytes in pieces of $size")
            channel.finishAndReleaseAll()
        }
    }

    /** Guards against a sound connection that is never used again. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.0 200\r\nContent-Length: 0\r\nVia: HTTP/1.1 relay\r\n\r\n",
        ],
    )
    fun `a sound answer leaves no surplus`(answer: String) {
        for (size in listOf(1, 5, answer.length)) {
            decoder.requestSent("GET")
            val messages = decode(answer, size)
            assertTrue(isSound(messages))
            assertTrue(messages.last() is LastHttpContent)
            assertFalse(decoder.hasSurplus)
        }
    }

    /** Guards against the length of an answer to HEAD that is taken for the length of a body. */
    @Test
    fun `an answer to HEAD has no body`() {
        decoder.requestSent("HEAD")
        assertTrue(decode("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n").last() is LastHttpContent)
        decoder.requestSent("GET")
        assertEquals(200, (decode(ANSWER).first() as HttpResponse).status().code())
        assertFalse(decoder.hasSurplus)
    }

    /** Guards against two heads that are read as one, with the status of the first and the headers of the second. */
    @Test
    fun `a head that is joined with the next answer is unreadable at each length`() {
        val headLength = ANSWER.indexOf(HEAD_END)
        for (length in 1 until headLength + HEAD_END.length) {
            val decoder = AnswerDecoder(HttpDecoderConfig(), testAccount())
            val channel = EmbeddedChannel(decoder)
            decoder.requestSent("GET")
            channel.writeInbound(Unpooled.copiedBuffer((ANSWER.take(length) + NEXT).encodeToByteArray()))
            val first = channel.readInbound<HttpObject>()
            assertTrue(first.decoderResult().isFailure, "after $length bytes: $first")
            channel.finishAndReleaseAll()
        }
    }

    private companion object {
        const val HEAD_END = "\r\n\r\n"
        const val ANSWER = "HTTP/1.1 200 OK\r\nServer: a\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"
        const val NEXT = "HTTP/1.1 500 No\r\nServer: b\r\nX-Id: r2\r\nContent-Length: 2\r\n\r\nno"
    }
}
