package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.OutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests over sockets that endpoints which leave or ask for a pause get no further requests. */
class EndpointNoticeTest {
    private fun pause(time: Duration) = TimeUnit.MILLISECONDS.sleep(time.inWholeMilliseconds)

    private fun LimitSite.sendAll(
        perSecond: Int,
        time: Duration,
        route: String,
        gateways: Int = 4,
    ) = repeat(gateways) { send(it, perSecond / gateways, time, "/$route/g$it") }

    private fun countsByStatus(site: LimitSite): Map<Int, Int> = site.answers.groupingBy { it.status }.eachCount()

    /** Guards against gateways that go on sending to an endpoint whose entry is ready while its answers say it leaves. */
    @Test
    fun `an endpoint that leaves by its answers gets nothing new from four gateways`() {
        val endpoints = List(6) { NoticingEndpoint() }
        LimitSite(endpoints, 4).use { site ->
            site.sendAll(PER_SECOND, 8.seconds, "patient")
            pause(2.seconds)
            endpoints.take(2).forEach { it.isLeaving = true }
            pause(7.seconds)
            val late = endpoints.take(2).map { it.arrivedAfterAnnouncement(DRAIN_TIME) }
            val soon = endpoints.take(2).map { it.arrivedAfterAnnouncement(1.seconds) }
            println("leaving: $late later than $DRAIN_TIME, $soon later than 1 s, ${countsByStatus(site)}")
            assertEquals(listOf(0, 0), late)
            assertEquals(listOf(0, 0), soon)
            assertEquals(setOf(200), countsByStatus(site).keys)
        }
        endpoints.forEach { it.close() }
    }

    /** Guards against an announcement in a failure or a refusal that is not noticed. */
    @ParameterizedTest
    @ValueSource(strings = ["500 Broken", "503 Full\r\nX-Not-Executed: 1", "404 Missing"])
    fun `a failure announces the end of its endpoint like a success`(status: String) {
        val fail: (RawRequest, OutputStream, String) -> Boolean = { r, out, headers ->
            out.text("HTTP/1.1 $status\r\nX-Id: ${r.id}\r\n${headers}Content-Length: 0\r\n\r\n")
        }
        val endpoints = listOf(NoticingEndpoint(isLeaving = true, answer = fail), NoticingEndpoint())
        LimitSite(endpoints, 2).use { site ->
            site.sendAll(60, 4.seconds, "safe", gateways = 2)
            pause(5.seconds)
            assertTrue(endpoints.first().arrivals.isNotEmpty())
            assertEquals(0, endpoints.first().arrivedAfterAnnouncement(1.seconds))
        }
        endpoints.forEach { it.close() }
    }

    /** Guards against streams that are resumed at an endpoint that leaves. */
    @Test
    fun `a stream is not resumed at an endpoint that leaves`() {
        val stream: (RawRequest, OutputStream, String, Int) -> Boolean = { r, out, headers, sent ->
            val first = 1 + (r.header("Last-Event-Id")?.toInt() ?: 0)
            val events = (first..3).joinToString("") { event(it) }
            val head = okHead(r, "${headers}Content-Type: text/event-stream\r\nContent-Length: ${events.length}")
            out.text(head + (first..3).take(sent).joinToString("") { event(it) })
            sent == ALL_EVENTS
        }
        val breaking = NoticingEndpoint { r, out, headers -> stream(r, out, headers, 1) }
        val others = List(2) { NoticingEndpoint(it == 0) { r, out, headers -> stream(r, out, headers, ALL_EVENTS) } }
        LimitSite(listOf(breaking) + others, 1).use { site ->
            site.send(0, 20, 6.seconds, "/stream/g0")
            pause(7.seconds)
            val resumed = others.map { it.arrivedAfterAnnouncement(100.milliseconds) }
            val announced =
                others
                    .first()
                    .announced.values
                    .min()
            assertTrue(breaking.arrivals.count { it.at > announced + 100.milliseconds } > 0, "no stream to resume")
            assertEquals(0, resumed.first())
            assertEquals(setOf(200), countsByStatus(site).keys)
        }
        (others + breaking).forEach { it.close() }
    }

    /** Guards against a process that sends to an endpoint of which only others have heard that it leaves. */
    @Test
    fun `a gateway learns from another one that an endpoint leaves`() {
        val endpoints = listOf(NoticingEndpoint(isLeaving = true), NoticingEndpoint())
        LimitSite(endpoints, 4).use { site ->
            site.send(0, 50, 1.seconds, "/patient/g0")
            pause(2.seconds)
            (1..3).forEach { site.send(it, 50, 2.seconds, "/patient/g$it") }
            pause(3.seconds)
            val gateways = endpoints.first().arrivals.mapTo(HashSet()) { it.gateway }
            assertEquals(setOf("g0"), gateways)
        }
        endpoints.forEach { it.close() }
    }

    /** Guards against a gateway that starts, asks its peers, and is not told which endpoints leave. */
    @Test
    fun `a gateway that starts learns which endpoints leave`() {
        val endpoints = listOf(NoticingEndpoint(isLeaving = true), NoticingEndpoint())
        LimitSite(endpoints, 3).use { site ->
            site.send(0, 50, 1.seconds, "/patient/g0")
            pause(2.seconds)
            site.killGateway(1)
            // The address is free a moment after the end of the gateway.
            pause(1.seconds)
            site.startGateway(1)
            pause(1.seconds)
            site.send(1, 50, 2.seconds, "/patient/g1")
            pause(3.seconds)
            assertEquals(0, endpoints.first().arrivals.count { it.gateway == "g1" })
        }
        endpoints.forEach { it.close() }
    }

    /** Guards against requests within the time for which an endpoint asked for none, from each gateway. */
    @ParameterizedTest
    @ValueSource(doubles = [0.9, 2.5, 30.0])
    fun `an endpoint that asks for a pause gets at most two requests of each gateway in it`(seconds: Double) {
        val endpoints = List(6) { NoticingEndpoint() }
        LimitSite(endpoints, 4).use { site ->
            site.sendAll(PER_SECOND, 14.seconds, "safe")
            pause(2.seconds)
            endpoints.first().pause = seconds.seconds
            pause(4.seconds)
            endpoints.first().pause = null
            pause(9.seconds)
            val most = endpoints.first().mostWithinPause()
            println(
                "pause of $seconds s: $most at most, ${endpoints.first().refusals.size} refusals, ${countsByStatus(
                    site,
                )}",
            )
            assertTrue(endpoints.first().refusals.isNotEmpty())
            assertTrue(most <= 2, "$most requests of one gateway")
            assertEquals(setOf(200), countsByStatus(site).keys)
        }
        endpoints.forEach { it.close() }
    }

    /** Guards against an endpoint that is not used again after its pauses, or that counts as failed because of them. */
    @Test
    fun `an endpoint takes its share again after its pauses`() {
        val endpoints = List(2) { NoticingEndpoint() }
        LimitSite(endpoints, 2).use { site ->
            site.sendAll(100, 11.seconds, "safe", gateways = 2)
            pause(1.seconds)
            endpoints.first().pause = 0.9.seconds
            pause(3.seconds)
            endpoints.first().pause = null
            pause(8.seconds)
            val end = endpoints.first().arrivals.maxOf { it.at }
            val lastSecond = endpoints.first().arrivals.count { end - it.at < 1.seconds }
            assertTrue(lastSecond >= 25, "$lastSecond of about 100 requests in the last second")
        }
        endpoints.forEach { it.close() }
    }

    /** Guards against requests that wait for their deadline while all endpoints pause, and against requests sent then. */
    @Test
    fun `requests are refused at once while all endpoints pause`() {
        val endpoints = List(2) { NoticingEndpoint().also { it.pause = 30.seconds } }
        LimitSite(endpoints, 2).use { site ->
            site.sendAll(60, 4.seconds, "once", gateways = 2)
            pause(5.seconds)
            val late = site.answers.count { it.time > AT_ONCE }
            assertEquals(setOf(503), countsByStatus(site).keys)
            assertTrue(site.answers.all { it.retryAfter != null }, "a refusal without a time")
            assertTrue(late <= site.answers.size / 20, "$late of ${site.answers.size} after more than $AT_ONCE")
            assertTrue(endpoints.all { it.mostWithinPause() <= 2 })
        }
        endpoints.forEach { it.close() }
    }

    /** Guards against requests that wait for endpoints which do not return, and against requests sent to them. */
    @Test
    fun `requests are refused at once while all endpoints leave`() {
        val endpoints = List(2) { NoticingEndpoint(isLeaving = true) }
        LimitSite(endpoints, 2).use { site ->
            site.sendAll(60, 4.seconds, "once", gateways = 2)
            pause(5.seconds)
            val refused = site.answers.filter { it.status == 503 }
            assertTrue(refused.size >= site.answers.size / 2, "${countsByStatus(site)}")
            assertTrue(refused.all { it.retryAfter != null }, "a refusal without a time")
            assertTrue(refused.count { it.time > AT_ONCE } <= refused.size / 20)
            assertEquals(listOf(0, 0), endpoints.map { it.arrivedAfterAnnouncement(1.seconds) })
        }
        endpoints.forEach { it.close() }
    }

    private companion object {
        const val PER_SECOND = 300
        const val ALL_EVENTS = 3

        /** Time after which nothing new may reach an endpoint that leaves. */
        val DRAIN_TIME = 3.seconds

        /** Far below the time for which a request may wait, and above the delays of a busy machine. */
        val AT_ONCE = 300.milliseconds
    }
}
