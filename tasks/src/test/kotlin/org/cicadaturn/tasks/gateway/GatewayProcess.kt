package org.cicadaturn.tasks.gateway

import java.util.concurrent.TimeUnit

/** Gateway in a process of its own, with the heap that the deployment gives it. */
internal class GatewayProcess(
    endpoint: TestEndpoint,
) : AutoCloseable {
    private val process =
        ProcessBuilder(
            ProcessHandle
                .current()
                .info()
                .command()
                .get(),
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            "org.cicadaturn.tasks.gateway.GatewayProcessKt",
            endpoint.port.toString(),
        ).redirectErrorStream(true).start()

    /** Port for callers. */
    val port: Int

    init {
        val output = process.inputStream.bufferedReader()
        val line = generateSequence { output.readLine() }.firstOrNull { it.startsWith(PORT_PREFIX) }
        port = checkNotNull(line) { "the gateway did not start" }.removePrefix(PORT_PREFIX).toInt()
        Thread { output.forEachLine { } }.apply { isDaemon = true }.start()
    }

    override fun close() {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS)
    }
}

/** Runs a gateway in front of the endpoint whose port is the first argument, until the process is ended. */
internal fun main(args: Array<String>) {
    val endpoint =
        object : TestEndpoint {
            override val port = args.first().toInt()
        }
    val gateway = TestGateway(listOf(endpoint), bodyBytes = 2_000_000)
    println("$PORT_PREFIX${gateway.port}")
    Thread.currentThread().join()
}

private const val PORT_PREFIX = "port "
