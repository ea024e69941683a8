package org.cicadaturn.tasks.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Tests that an answer behind a copy that was cut is never decoded with the status of the copy. */
class JoinedHeadTest {
    private val copies =
        listOf(
            "HTTP/1.1 200 OK\r\nServer: a\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\nServer: a\nX-Id: r1\nContent-Length: 2\n\nok",
            "HTTP/1.0 200 OK\r\nServer: a\r\n folded\r\nX-Id: r1\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                "2\r\nok\r\n0\r\nX-T: t\r\n\r\n",
            "HTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nX-Id: r1\r\nContent-Length: 9\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
            "\r\nHTTP/1.1 200 OK\r\nVia: HTTP/1.1 x\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
        )

    /** Guards against a sound head with the status of a copy and the identifier of the next answer. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 500 No\r\n",
            "HTTP/1.1 500\r\n",
            "HTTP/1.1 500 \r\n",
            "HTTP/1.0 500 No\r\n",
            "\r\nHTTP/1.1 500 No\r\n",
            "HTTP/1.1 500 No\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 No\r\n",
        ],
    )
    fun `no head is joined from a copy cut anywhere and the next answer`(begin: String) {
        assertEquals(emptyList<String>(), joined(copies, begin))
    }

    /** As above, for forms of the status line that the decoder accepts although no server should send them. */
    @ParameterizedTest
    @ValueSource(strings = ["HTTP/1.1  500 No\r\n", "HTTP/1.1\t500 No\r\n", "http/1.1 500 No\r\n"])
    fun `no head is joined with an answer whose status line is unusual`(begin: String) {
        assertEquals(emptyList<String>(), joined(copies, begin))
    }

    /** As above, for a copy with white space before a colon, behind which the decoder drops the rest of the line. */
    @ParameterizedTest
    @ValueSource(strings = ["X-Id : r1", "X-Id\t: r1"])
    fun `no head is joined behind white space after a name`(header: String) {
        val copy = "HTTP/1.1 200 OK\r\n$header\r\nContent-Length: 2\r\n\r\nok"
        assertEquals(emptyList<String>(), joined(listOf(copy), "HTTP/1.1 500 No\r\n"))
    }

    /** Returns the beginnings of copies that form a sound head with the next answer, which begins with [begin]. */
    private fun joined(
        copies: List<String>,
        begin: String,
    ): List<String> {
        val next = "${begin}Server: b\r\nX-Id: r2\r\nContent-Length: 2\r\n\r\nno"
        val found = mutableSetOf<String>()
        for (method in listOf("GET", "HEAD")) {
            for (copy in copies) {
                for (length in 1..copy.length) {
                    val isJoined =
                        heads(method, copy.take(length) + next).any {
                            it.decoderResult().isSuccess && it.status().code() != 500 &&
                                "r2" in it.headers().getAll("X-Id")
                        }
                    if (isJoined) found += copy.take(length)
                }
            }
        }
        return found.toList()
    }

    private fun heads(
        method: String,
        text: String,
    ): List<HttpResponse> {
        val decoder = AnswerDecoder(HttpDecoderConfig(), testAccount())
        val channel = EmbeddedChannel(decoder)
        decoder.requestSent(method)
        channel.writeInbound(Unpooled.copiedBuffer(text.encodeToByteArray()))
        val heads =
            generateSequence {
                channel.readInbound<Any>()
            }.onEach { ReferenceCountUtil.release(it) }.filterIsInstance<HttpResponse>().toList()
        channel.finishAndReleaseAll()
        return heads
    }
}
