package org.cicadaturn.tasks.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpDecoderConfig
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.schema.generated.NetworkAddress
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetSocketAddress
import kotlin.time.Duration

/** Opens client connections. */
public fun interface HttpConnector {
    /** Returns a connection to [address], or null if none could be made within [timeout]. */
    public suspend fun connect(
        address: NetworkAddress,
        timeout: Duration,
    ): HttpLink?
}

/** Returns a connector whose connections run on [runtime]. */
public fun httpConnector(runtime: HttpRuntime): HttpConnector =
    HttpConnector { address, timeout ->
        val client =
            Bootstrap()
                .group(runtime.group())
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.RCVBUF_ALLOCATOR, oneBufferPerRead)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt().coerceAtLeast(1))
                .handler(ClientInitializer)
        keepAlive.forEach { (option, value) ->
            @Suppress("UNCHECKED_CAST")
            client.option(option as ChannelOption<Any>, value)
        }
        val connecting = client.connect(InetSocketAddress(address.ip, address.port))
        try {
            connecting.awaitDone()
            connecting.channel().pipeline().last() as NettyLink
        } catch (e: IOException) {
            null
        } finally {
            // A cancelled caller must not leave a connection behind.
            if (!currentCoroutineContext().isActiveNow()) connecting.channel().close()
        }
    }

private fun kotlin.coroutines.CoroutineContext.isActiveNow(): Boolean = runCatching { ensureActive() }.isSuccess

private object ClientInitializer : ChannelInitializer<SocketChannel>() {
    override fun isSharable(): Boolean = true

    override fun initChannel(channel: SocketChannel) {
        val config = HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE).setMaxHeaderSize(MAX_HEADER)
        channel.pipeline().addLast(HttpClientCodec(config, false, false), NettyLink(channel))
    }
}

/**
 * A whole answer.
 *
 * @property body at most the limit of the call
 */
public class HttpAnswer(
    public val head: ResponseHead,
    public val body: ByteArray,
)

/** Sends [head] and [body] on this connection and returns the whole answer, or null if none came whole in [timeout]. */
public suspend fun HttpLink.call(
    head: RequestHead,
    body: ByteArray,
    timeout: Duration,
    answerLimit: Int,
): HttpAnswer? =
    withTimeoutOrNull(timeout) {
        sendRequest(head, body)
        receiveAnswer(answerLimit)
    }

private suspend fun HttpLink.receiveAnswer(limit: Int): HttpAnswer? {
    val head = (receive() as? HttpPart.Response)?.head ?: return null
    val body = ByteArrayOutputStream()
    while (true) {
        when (val part = receive()) {
            is HttpPart.Data -> body.write(part.bytes)
            HttpPart.End -> return HttpAnswer(head, body.toByteArray())
            else -> return null
        }
        if (body.size() > limit) return null
    }
}

private const val MAX_LINE = 4096
private const val MAX_HEADER = 32_768
