package org.cicadaturn.daemons.soak

import kotlinx.coroutines.delay
import org.cicadaturn.daemons.site.MACHINE_DESCRIPTORS
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeText
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Fault that acts on a site from outside and returns when its cause is gone. */
internal typealias Fault = suspend SoakSite.(Random) -> Unit

/** Fault with the name by which reports and the property `soak.faults` refer to it. */
internal data class NamedFault(
    val name: String,
    val inject: Fault,
)

/** Faults after which all gateways, or all that they depend on, come back together. */
internal val CLOSING_FAULTS =
    listOf(
        NamedFault("herds") { random -> herds(random) },
        NamedFault("everything-killed") { random -> killEverything(random) },
        NamedFault("power-loss") { random -> losePower(random) },
        NamedFault("suspended") { random -> suspendAll(random) },
    )

/** Faults of processes that have started, of the store and of endpoints. */
internal val STEADY_FAULTS =
    CLOSING_FAULTS +
        listOf(
            NamedFault("terminated") { random -> some(random).forEach { it.terminate(startsSuccessor = false) } },
            NamedFault("frozen") { random -> freeze(random) },
            NamedFault("store-slow") { random ->
                disturbStore(Passage(delay = random.millis(100, 1_500)), random)
            },
            NamedFault("store-silent") { random -> disturbStore(Passage(forwards = false), random) },
            NamedFault("store-away") { random -> disturbStore(Passage(accepts = false), random) },
            NamedFault("store-away-herd") { random ->
                gateways.forEach { it.kill() }
                store.pass(Passage(accepts = random.nextBoolean(), forwards = false))
                store.cut()
                delay(random.millis(0, 1_500))
                gateways.forEach { it.release() }
                delay(random.millis(0, 4_000))
                store.pass(Passage())
            },
            NamedFault("store-restored") { random -> restoreStore(random.millis(500, 4_000)) },
            NamedFault("endpoints-power-loss") { random -> losePowerOfEndpoints(random) },
            NamedFault("descriptors") { random -> starveOfDescriptors(random) },
        )

/** Faults that a process meets while it starts, or that its settings bring. */
internal val START_FAULTS =
    listOf(
        NamedFault("succeeded") { random -> some(random).forEach { it.terminate(startsSuccessor = true) } },
        NamedFault("hang-up") { random ->
            repeat(1 + random.nextInt(3)) {
                some(random).forEach { it.signal("HUP") }
                delay(random.millis(0, 1_000))
            }
        },
        NamedFault("hang-up-at-start") { random ->
            val started = some(random)
            killAndStart(started, random.millis(0, 500))
            delay(random.millis(0, 500))
            started.forEach { it.signal("HUP") }
        },
        NamedFault("port-held") { random -> holdPort(random) },
        NamedFault("settings-cut-off") { random -> changeSettings(random) { it.take(random.nextInt(it.length)) } },
        NamedFault("settings-empty") { random -> changeSettings(random) { "" } },
        NamedFault("settings-absent") { random -> changeSettings(random) { null } },
        NamedFault("settings-without-bounds") { random -> changeSettings(random, ::withoutBounds) },
    )

private fun Random.millis(
    from: Int,
    until: Int,
): Duration = nextInt(from, until).milliseconds

private fun SoakSite.some(random: Random): List<GatewaySupervisor> =
    gateways.shuffled(random).take(1 + random.nextInt(gateways.size))

private suspend fun killAndStart(
    killed: List<GatewaySupervisor>,
    pause: Duration,
) {
    killed.forEach { it.kill() }
    delay(pause)
    killed.forEach { it.release() }
}

private suspend fun SoakSite.herds(random: Random) {
    killAndStart(gateways, random.millis(0, 1_500))
    repeat(random.nextInt(3)) {
        // Many of the processes are still starting.
        delay(random.millis(0, 1_200))
        killAndStart(gateways, random.millis(0, 1_500))
    }
}

private suspend fun SoakSite.killEverything(random: Random) {
    gateways.forEach { it.kill() }
    machines.forEach { it.stop() }
    delay(random.millis(0, 1_500))
    val inOrder = listOf({ machines.forEach { it.start() } }, { gateways.forEach { it.release() } })
    for (start in inOrder.shuffled(random)) {
        start()
        delay(random.millis(0, 300))
    }
}

/** Gateways without power do not close their connections, so endpoints and the store keep them. */
private suspend fun SoakSite.losePower(random: Random) {
    (machines.map { it.proxy } + store).forEach { it.silence() }
    gateways.forEach { it.kill() }
    val endpointsToo = random.nextBoolean()
    if (endpointsToo) machines.forEach { it.losePower() }
    delay(random.millis(0, 3_000))
    if (endpointsToo) machines.forEach { it.start() }
    gateways.forEach { it.release() }
}

private suspend fun SoakSite.losePowerOfEndpoints(random: Random) {
    val lost = machines.shuffled(random).take(1 + random.nextInt(machines.size))
    lost.forEach { it.losePower() }
    delay(random.millis(500, 4_000))
    lost.forEach { it.start() }
}

private suspend fun SoakSite.suspendAll(random: Random) {
    val stopped = gateways.mapNotNull { it.signal("STOP") }
    machines.forEach { it.proxy.pass(Passage(forwards = false)) }
    delay(random.millis(500, 5_000))
    machines.forEach { it.proxy.pass(Passage()) }
    stopped.forEach { it.signal("CONT") }
}

private suspend fun SoakSite.freeze(random: Random) {
    val frozen = some(random)
    if (random.nextBoolean()) {
        killAndStart(frozen, random.millis(0, 500))
        delay(random.millis(0, 500))
    }
    val stopped = frozen.mapNotNull { it.signal("STOP") }
    delay(random.millis(200, 5_000))
    stopped.forEach { it.signal("CONT") }
}

private suspend fun SoakSite.disturbStore(
    passage: Passage,
    random: Random,
) {
    store.pass(passage)
    if (!passage.accepts) store.cut()
    delay(random.millis(1_000, 6_000))
    store.pass(Passage())
}

/** Starts a gateway that may open fewer descriptors than its settings say, and holds more connections to it. */
private suspend fun SoakSite.starveOfDescriptors(random: Random) {
    val starved = gateways.random(random)
    starved.kill()
    starved.release(FEW_DESCRIPTORS)
    delay(random.millis(500, 1_500))
    val address = InetSocketAddress("127.0.0.1", starved.gateway.addresses.front)
    val held = List(FEW_DESCRIPTORS + 50) { Socket() }.onEach { it.connectIfPossible(address) }
    delay(random.millis(500, 4_000))
    held.forEach { it.close() }
    starved.kill()
    starved.release(MACHINE_DESCRIPTORS)
}

private fun Socket.connectIfPossible(address: InetSocketAddress) {
    try {
        connect(address, CONNECT_MILLIS)
    } catch (_: IOException) {
        // A gateway that is down or out of descriptors may refuse.
    }
}

private suspend fun SoakSite.holdPort(random: Random) {
    val gateway = gateways.random(random)
    val ports = with(gateway.gateway.addresses) { listOf(front, ready, control, admin) }
    gateway.kill()
    delay(PORT_RELEASE)
    try {
        ServerSocket(ports.random(random), 1, InetAddress.getLoopbackAddress()).use {
            gateway.release()
            delay(random.millis(100, 3_000))
        }
    } catch (e: IOException) {
        // Another fault of the soak holds the port.
        gateway.release()
    }
}

/** Replaces settings files with what [change] returns, or removes them if that is null, beside restarts. */
private suspend fun SoakSite.changeSettings(
    random: Random,
    change: (String) -> String?,
) {
    val changed = some(random)
    for (gateway in changed) {
        val text = change(gateway.settingsText)
        if (text == null) gateway.gateway.settings.deleteIfExists() else gateway.gateway.settings.writeText(text)
    }
    if (random.nextBoolean()) changed.forEach { it.signal("HUP") } else killAndStart(changed, random.millis(0, 300))
    delay(random.millis(100, 1_000))
    changed.forEach { it.gateway.settings.writeText(it.settingsText) }
    changed.forEach { it.signal("HUP") }
}

/** Returns the settings as the template renders them where a deployment has no such bounds. */
private fun withoutBounds(text: String): String =
    text.replace(Regex("(?m)^($OPTIONAL_SETTINGS) = \\S*?(s?)$")) { "${it.groupValues[1]} = ${it.groupValues[2]}" }

private const val OPTIONAL_SETTINGS =
    "cold-factor|cold-slack|retry-ratio|retry-slack|retry-window|stop-timeout|descriptors"
private const val FEW_DESCRIPTORS = 256
private const val CONNECT_MILLIS = 300

/** Time after which a process that was killed no longer holds its ports. */
private val PORT_RELEASE = 300.milliseconds

/** Longest time between the first and the last fault of a round. */
internal val FAULTS_LENGTH = 6.seconds
