package org.cicadaturn.daemons.site

import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.io.path.useLines
import kotlin.io.path.writeText
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Zones of the site, in the order of their distance. */
internal val ZONES = listOf("recife-a", "fortaleza-b", "salvador-c")

/** Addresses of one gateway, which it has after each start. */
internal data class GatewayAddresses(
    val node: String,
    val zone: String,
    val front: Int,
    val ready: Int,
    val control: Int,
    val admin: Int,
)

/**
 * Returns addresses of [count] gateways, whose ports no outgoing connection gets while a gateway is down. The ports are
 * not drawn with the seed of the site, as another site with the same seed could take those of a gateway that is down.
 */
internal fun gatewayAddresses(count: Int): List<GatewayAddresses> {
    val ports = generateSequence { Random.nextInt(PORTS.first, PORTS.last) }.distinct().filter(::isFree).iterator()
    return List(count) {
        val zone = ZONES[it % ZONES.size]
        val node = "front-$zone-${it / ZONES.size + 1}"
        GatewayAddresses(node, zone, ports.next(), ports.next(), ports.next(), ports.next())
    }
}

/** Ports below those that the system gives to outgoing connections. */
private val PORTS = 12_000..32_000

private fun isFree(port: Int): Boolean =
    try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (e: IOException) {
        false
    }

/** Returns the program that runs this JVM. */
internal fun javaCommand(): String =
    ProcessHandle
        .current()
        .info()
        .command()
        .get()

/** Descriptors of a machine of the deployment premia-ne. */
internal const val MACHINE_DESCRIPTORS = 4_100

/** Process of a gateway and the log that it writes. */
internal data class GatewayRun(
    val process: Process,
    val log: Path,
)

/** Gateway that runs as the process that the deploy file starts, with its log in [directory]. */
internal class GatewayProcess(
    val addresses: GatewayAddresses,
    private val directory: Path,
    storeAddress: String,
    seeds: String,
    bounds: Map<String, String>,
    private val descriptors: Int = MACHINE_DESCRIPTORS,
) {
    private var process: Process? = null
    private var starts = 0

    /** Settings file that the process is started with. */
    val settings: Path =
        directory.resolve("${addresses.node}.ini").also { file ->
            val fields =
                bounds.mapKeys { "bounds.${it.key}" } +
                    mapOf(
                        "node" to addresses.node,
                        "zone" to addresses.zone,
                        "ip" to "127.0.0.1",
                        "internal_ports.0" to "${addresses.admin}",
                        "provider.address" to storeAddress,
                        "listen.front" to "127.0.0.1:${addresses.front}",
                        "listen.ready" to "127.0.0.1:${addresses.ready}",
                        "listen.control" to "127.0.0.1:${addresses.control}",
                        "seeds" to seeds,
                    )
            val template = Path.of("../deploy/gateway.ini").readText()
            file.writeText(template.replace(Regex("""\{\{([^}]*)}}""")) { fields.getValue(it.groupValues[1]) })
        }

    /** Starts a process that may open [allowed] descriptors, whatever its settings say. */
    fun start(allowed: Int = descriptors): GatewayRun {
        val program = listOf("-cp", System.getProperty("java.class.path"), MAIN_CLASS, "gateway", "$settings")
        val log = directory.resolve("${addresses.node}.${starts++}.log")
        // The shell replaces itself with the program, which keeps its limit.
        val limited = listOf("sh", "-c", "ulimit -n $allowed && exec \"\$@\"", "sh", javaCommand())
        val builder = ProcessBuilder(limited + flags() + program).redirectErrorStream(true).redirectOutput(log.toFile())
        return GatewayRun(builder.start().also { process = it }, log)
    }

    /** Returns the flags of the deploy file, without those for a class archive, which only the packaged program has. */
    private fun flags(): List<String> {
        val run =
            Path
                .of("../deploy/system.toml")
                .readText()
                .substringAfter("run = \"java ")
                .substringBefore(" -cp ")
        // A machine of the site has one core.
        return run.split(' ').filterNot { "Archive" in it || it.startsWith("-Xlog") } + "-XX:ActiveProcessorCount=1"
    }

    /** Sends SIGTERM, waits for the end and sends SIGKILL after [grace]; returns true if that was necessary. */
    fun stop(grace: Duration): Boolean {
        val stopped = checkNotNull(process) { "${addresses.node} has not been started" }
        stopped.destroy()
        if (stopped.waitFor(grace.inWholeMilliseconds, TimeUnit.MILLISECONDS)) return false
        kill()
        return true
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    val isAlive: Boolean get() = process?.isAlive == true

    val pid: Long get() = checkNotNull(process) { "${addresses.node} has not been started" }.pid()

    /** Exit code of the process, or null while it runs. */
    val exitCode: Int? get() = process?.takeUnless { it.isAlive }?.exitValue()

    /** Returns true if the process says that it is ready. */
    fun isReady(): Boolean =
        try {
            val call = URI("http://127.0.0.1:${addresses.ready}/ready").toURL().openConnection() as HttpURLConnection
            call.connectTimeout = READY_TIMEOUT_MILLIS
            call.readTimeout = READY_TIMEOUT_MILLIS
            call.setRequestProperty("Connection", "close")
            (call.responseCode == OK).also { call.disconnect() }
        } catch (e: IOException) {
            false
        }

    private companion object {
        const val MAIN_CLASS = "org.cicadaturn.daemons.MainKt"
        val READY_TIMEOUT_MILLIS = 1.seconds.inWholeMilliseconds.toInt()
    }
}

/** Returns the lines of all logs in [directory] that contain [text], each with the name of its log. */
internal fun logLinesWith(
    text: String,
    directory: Path,
): List<String> =
    directory.listDirectoryEntries("*.log").sorted().flatMap { log ->
        log.useLines { lines -> lines.filter { text in it }.map { "${log.name}: $it" }.toList() }
    }
