package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.cicadaturn.decisions.gateway.ConnectionEnd
import org.cicadaturn.decisions.gateway.EndpointExit
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.http.HttpConnector
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.Opening
import org.cicadaturn.tasks.http.connect
import org.cicadaturn.tasks.http.httpConnector
import org.cicadaturn.tasks.http.httpRuntime
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests what is asked of an endpoint that has closed the connection of an answer without a length. */
class ClosedAnswerCheckTest {
    private val runtime = httpRuntime {}
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val connector = httpConnector(runtime)
    private val asked = mutableListOf<Duration>()
    private val kept = mutableListOf<EndpointConnection>()
    private val endpoint =
        LiveEndpoint(
            id = EndpointId("e1"),
            service = ServiceId("s"),
            address = NetworkAddress("127.0.0.1", server.localPort),
            failureDomain = FailureDomainId("a"),
            state = AdmissionState.IN_SERVICE,
            slots = 1,
            coldFor = Duration.ZERO,
        )

    private val pool =
        object : ConnectionPool {
            override suspend fun take(
                endpoint: EndpointId,
                maxIdleTime: Duration,
                requestId: String?,
            ): EndpointConnection? = null

            override fun put(
                endpoint: EndpointId,
                connection: EndpointConnection,
                keepAliveTime: Duration,
            ) {
                kept += connection
            }

            override fun surplusReceived(endpoint: EndpointId) = Unit
        }

    @AfterEach
    fun close() {
        server.close()
        runtime.close()
    }

    private fun defectOf(
        end: ConnectionEnd = ConnectionEnd.CLOSED_BY_ENDPOINT,
        exit: EndpointExit = EndpointExit.UNKNOWN,
        timeLeft: Duration = 1.seconds,
        window: Duration = 3.seconds,
        connector: HttpConnector = this.connector,
    ): String? {
        val counting =
            object : HttpConnector {
                override fun stallWithin(age: Duration): Duration = connector.stallWithin(age)

                override suspend fun open(
                    address: NetworkAddress,
                    timeout: Duration,
                ): Opening {
                    asked += timeout
                    return connector.open(address, timeout)
                }
            }
        val check = ClosedAnswerCheck(counting, pool) { exit }
        return runBlocking { withContext(runtime.dispatcher) { check.defectOf(end, endpoint, window, timeLeft) } }
    }

    /** Guards against a connection for each answer beside those that requests use. */
    @Test
    fun `the connection that an endpoint accepts is kept for the next request`() {
        assertNull(defectOf())
        assertEquals(1 to 1, asked.size to kept.size)
        assertFalse(
            kept
                .single()
                .link.closed.isCompleted,
        )
    }

    /** Guards against the answer of a crashed endpoint that counts as complete. */
    @Test
    fun `an endpoint that refuses connections has crashed`() {
        server.close()
        assertNotNull(defectOf())
        assertEquals(0, kept.size)
    }

    /** Guards against the answer of a crashed endpoint that counts as complete, as its entry has lapsed in an outage. */
    @Test
    fun `an endpoint whose entry has lapsed is asked as one in service`() {
        assertNull(defectOf(exit = EndpointExit.LAPSED))
        server.close()
        assertNotNull(defectOf(exit = EndpointExit.LAPSED))
        assertEquals(2, asked.size)
    }

    /** Guards against the answer of a start that has crashed and counts as complete, as the next one accepts connections. */
    @Test
    fun `an endpoint that has started again is not asked`() {
        assertNotNull(defectOf(exit = EndpointExit.REPLACED))
        assertEquals(0, asked.size)
    }

    /** Guards against the same where the entry of the next start is not known yet. */
    @Test
    fun `an endpoint may have started again while this process was paused`() {
        val late =
            object : HttpConnector by connector {
                override fun stallWithin(age: Duration) = minOf(1_600.milliseconds, age)
            }
        assertNotNull(defectOf(connector = late))
        assertEquals(0, asked.size)
        // The end arrived after most of the pause.
        assertNull(defectOf(connector = late, window = 300.milliseconds))
        val paused =
            object : HttpConnector by connector {
                private var stall = 100.milliseconds

                override fun stallWithin(age: Duration) = minOf(stall, age)

                override suspend fun open(
                    address: NetworkAddress,
                    timeout: Duration,
                ): Opening = connector.open(address, timeout).also { stall = 1_600.milliseconds }
            }
        assertNotNull(defectOf(connector = paused))
    }

    /** Connects and finds the connection reset at once. */
    private val resetting =
        HttpConnector { address, timeout ->
            val link = checkNotNull(connector.connect(address, timeout))
            Opening.Opened(
                object : HttpLink by link {
                    override val closed: Deferred<Unit> = CompletableDeferred(Unit)
                    override val end = ConnectionEnd.RESET
                },
            )
        }

    /** Guards against connections that the system of a crashed endpoint has taken before it closed all sockets. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2])
    fun `an endpoint that resets connections and then refuses others has crashed`(resets: Int) {
        val closing =
            HttpConnector { address, timeout ->
                if (asked.size > resets) {
                    connector.open(address, timeout)
                } else {
                    resetting.open(address, timeout).also { if (asked.size == resets) server.close() }
                }
            }
        assertNotNull(defectOf(connector = closing))
        assertEquals(0, kept.size)
    }

    /** Guards against a whole answer that is cut as its endpoint, whose queue is long, turns connections down. */
    @Test
    fun `an endpoint that resets connections again and again has not crashed`() {
        assertNull(defectOf(connector = resetting))
        assertEquals(3 to 0, asked.size to kept.size)
    }

    /** Guards against an answer that counts as complete as the host of its endpoint has gone silent. */
    @Test
    fun `an endpoint that accepts no connection in time is not known to run`() {
        val silent =
            HttpConnector { _, timeout ->
                delay(timeout)
                Opening.Failed
            }
        assertNotNull(defectOf(connector = silent))
        assertEquals(3, asked.size)
    }

    /** Guards against a whole answer that is cut as a packet is lost, or its endpoint is busy and accepts connections late. */
    @Test
    fun `an endpoint that accepts a later connection runs`() {
        val late =
            HttpConnector { address, timeout ->
                if (asked.size < 3) Opening.Failed.also { delay(timeout) } else connector.open(address, timeout)
            }
        assertNull(defectOf(connector = late))
        assertEquals(3 to 1, asked.size to kept.size)
    }

    /** Guards against an answer that is late, as its endpoint is asked for longer, and against one that nobody verified. */
    @Test
    fun `an endpoint is not asked for longer than the time that is left`() {
        assertNotNull(defectOf(timeLeft = 10.milliseconds))
        assertNotNull(defectOf(timeLeft = (-1).seconds))
        assertEquals(0, asked.size)
        assertNull(defectOf(timeLeft = 60.milliseconds))
        assertEquals(listOf(25.milliseconds), asked)
    }

    /** Guards against connections that are made although their answer decides nothing. */
    @Test
    fun `an endpoint that has cut its answer is not asked`() {
        assertNotNull(defectOf(ConnectionEnd.RESET))
        assertNotNull(defectOf(ConnectionEnd.FAILED))
        assertNotNull(defectOf(ConnectionEnd.CLOSED_BY_GATEWAY))
        assertNotNull(defectOf(ConnectionEnd.RESET, EndpointExit.ANNOUNCED))
        assertEquals(0, asked.size)
    }

    /** Guards against the first part of an answer that counts as whole, as the endpoint was gone soon after its notice. */
    @ParameterizedTest
    @EnumSource(names = ["ANNOUNCED", "REMOVED"])
    fun `an endpoint that leaves is asked as one in service`(exit: EndpointExit) {
        assertNull(defectOf(exit = exit))
        server.close()
        assertNotNull(defectOf(exit = exit))
        assertEquals(2, asked.size)
    }

    /** Guards against connections that are kept although no request may be sent on them. */
    @Test
    fun `the connection to an endpoint that leaves is not kept`() {
        assertNull(defectOf(exit = EndpointExit.ANNOUNCED))
        assertEquals(0, kept.size)
    }
}
