package org.cicadaturn.tasks.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.listen.Listener
import java.net.InetSocketAddress
import kotlin.time.Duration

/**
 * Bounds on the connections of a listener.
 *
 * @property headBytes returns the maximum size of the head of a request in bytes, with its line ends
 * @property writeTimeout returns the time after which a connection is closed whose client reads nothing of an answer
 * @property accounts accounts of the connections, which several listeners may share
 */
public data class ListenerBounds(
    val headBytes: () -> Int,
    val writeTimeout: () -> Duration,
    val accounts: ConnectionAccounts,
)

/**
 * Listens on [address] and runs [serve] in [scope] for each connection within [bounds], which is closed when [serve] returns.
 *
 * Connections stay open when the listener is closed.
 */
public suspend fun listen(
    runtime: HttpRuntime,
    scope: CoroutineScope,
    address: NetworkAddress,
    bounds: ListenerBounds,
    serve: suspend (HttpLink) -> Unit,
): Listener {
    val initializer =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val account = bounds.accounts.open { channel.close() }
                if (account == null) {
                    channel.close()
                    return
                }
                val encoder = AnswerEncoder()
                val decoder = RequestDecoder(bounds.headBytes, account)
                val server = ServerSide(encoder, decoder, account, bounds.writeTimeout)
                val link = NettyLink(channel, runtime.onFatalError, server = server)
                channel.pipeline().addLast(decoder, encoder, link)
                channel.closeFuture().addListener { account.close() }
                scope.launch {
                    try {
                        serve(link)
                    } finally {
                        link.close()
                    }
                }
            }
        }
    val server =
        ServerBootstrap()
            .group(runtime.group())
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, oneBufferPerRead)
            .handler(FatalErrorReporter(runtime.onFatalError))
            .childHandler(initializer)
    keepAliveOptions.forEach { (option, value) ->
        @Suppress("UNCHECKED_CAST")
        server.childOption(option as ChannelOption<Any>, value)
    }
    val binding = server.bind(InetSocketAddress(address.ip, address.port))
    try {
        binding.awaitDone()
    } catch (e: CancellationException) {
        binding.channel().close()
        throw e
    }
    return NettyListener(binding.channel(), address.ip)
}

private class NettyListener(
    private val channel: Channel,
    ip: String,
) : Listener {
    override val address = NetworkAddress(ip, (channel.localAddress() as InetSocketAddress).port)

    override suspend fun close() {
        channel.close().awaitDone()
    }
}

/** Encoder of the answers on a connection, which leaves out the body of an answer to HEAD. */
internal class AnswerEncoder : HttpResponseEncoder() {
    /** True if the answers that follow are to a request with the method HEAD. */
    var isHeadRequest = false

    override fun isContentAlwaysEmpty(message: HttpResponse): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(message)
}

/**
 * Receive buffer of a connection. Without this limit, the system keeps several megabytes for a client that sends faster
 * than it is served, and reads them all after the client has left.
 */
private const val RECEIVE_BUFFER_BYTES = 65_536

/** Send buffer of a connection. Without this limit, the system keeps several megabytes of answers that are not read. */
private const val SEND_BUFFER_BYTES = 131_072

/** Length of the accept queue; a restart of callers opens many connections at once. */
private const val BACKLOG = 512
