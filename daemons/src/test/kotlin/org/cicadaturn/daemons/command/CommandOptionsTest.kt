package org.cicadaturn.daemons.command

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.HostId
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CommandOptionsTest {
    @TempDir
    lateinit var folder: Path

    private val loopback = NetworkAddress("127.0.0.1", 0)

    private val connection = ControlConnection(NetworkAddress("127.0.0.1", 7), null, 10.seconds, OutputFormat.TEXT)

    /** Guards against stand-in options that are dropped, swapped or read in the wrong unit. */
    @Test
    fun `stand-in options reach the handler`() {
        val ports = folder.resolve("ports")
        val given = listOf("--listen", "[::1]:9", "--port-file", "$ports")
        val listener = StandinListener(NetworkAddress("::1", 9), ports)
        assertEquals(listener, handlerCall(listOf("standin", "platform") + given))
        assertEquals(StandinListener(loopback, null), handlerCall(listOf("standin", "platform")))
        val engine = listOf("--step-time", "7ms", "--cold-bound", "3", "--cold-step", "5", "--batch", "9")
        assertEquals(
            EngineOptions(listener, 7.milliseconds, 3, 5, 9),
            handlerCall(listOf("standin", "engine") + given + engine),
        )
        val orders = listOf("standin", "orders", "--delay", "1.5s")
        assertEquals(OrdersOptions(StandinListener(loopback, null), 1500.milliseconds), handlerCall(orders))
    }

    /** Guards against an operator's command that is passed on as a different one. */
    @Test
    fun `operators' commands reach the handler`() {
        val drain = Intent.ChangeState(IntentTarget.FAILURE_DOMAIN, "kolkata", AdmissionState.DRAINED)
        val returned = Intent.ChangeState(IntentTarget.ENDPOINT, "e1", AdmissionState.IN_SERVICE)
        val endpoint =
            Endpoint(
                EndpointId("e2"),
                HostId("h2"),
                FailureDomainId("siliguri"),
                ServiceId("drafting"),
                NetworkAddress("10.0.0.2", 9000),
                AdmissionState.IN_SERVICE,
            )
        val admit = "admit endpoint e2 --host h2 --failure-domain siliguri --service drafting --address 10.0.0.2:9000"
        assertEquals(listOf(connection, drain), control("plan drain domain kolkata"))
        assertEquals(listOf(connection, returned), control("plan return endpoint e1"))
        assertEquals(listOf(connection, Intent.Admit(endpoint)), control("plan $admit"))
        assertEquals(listOf(connection, "plan-7"), control("describe plan-7"))
        assertEquals(listOf(connection, "plan-7"), control("confirm plan-7"))
        assertEquals(connection, control("status"))
        assertEquals(listOf(connection, 20), control("history"))
        assertEquals(listOf(connection, 3), control("history --limit 3"))
        assertEquals(listOf(connection, true), control("local-drain"))
        assertEquals(listOf(connection, false), control("local-drain --end"))
    }

    /** Guards against an intent with a dropped, swapped or made-up value. */
    @Test
    fun `every kind of intent reaches the handler`() {
        val host = Intent.ChangeState(IntentTarget.HOST, "h1", AdmissionState.DRAINED)
        assertEquals(listOf(connection, host), control("plan drain host h1"))
        assertEquals(listOf(connection, Intent.Remove(EndpointId("e1"))), control("remove endpoint e1"))
        val limits = "plan limits acme --requests-in-flight 5 --tokens-per-minute 900"
        val kept = Intent.SetLimits(OrganisationId("acme"), 5, 900, null)
        assertEquals(listOf(connection, kept), control(limits))
        val replaced = kept.copy(keys = listOf(Digest("aa"), Digest("bb")))
        assertEquals(listOf(connection, replaced), control("$limits --key-digest aa --key-digest bb"))
        val service = Service(ServiceId("s"), ServiceKind.MODEL, listOf("m1", "m2"), true, 30.seconds, 2)
        val line = "plan service s --kind model --model m1 --model m2 --idempotent --deadline 30s --priority 2"
        assertEquals(listOf(connection, Intent.SetService(service)), control(line))
        val plain = Service(ServiceId("s"), ServiceKind.PLAIN, emptyList(), false, 5.seconds, 0)
        assertEquals(
            listOf(connection, Intent.SetService(plain)),
            control("plan service s --kind plain --deadline 5s"),
        )
    }

    /** Guards against a short form that bypasses the plan, and against an argument that is expanded as a short form. */
    @Test
    fun `short forms make plans`() {
        val intent = Intent.ChangeState(IntentTarget.FAILURE_DOMAIN, "return", AdmissionState.IN_SERVICE)
        assertEquals(listOf(connection, intent), control("return domain return"))
    }

    /** Guards against an argument that is read as the name of a file with further arguments. */
    @Test
    fun `an argument that begins with @ is an ordinary value`() {
        assertEquals(listOf(connection, "@plan"), control("confirm @plan"))
    }

    /** Guards against a lost operator's key, and against a key in the text form of a connection. */
    @Test
    fun `the operator's key comes from a file or a variable and is not shown`() {
        val file = folder.resolve("key").also { it.writeText("from-file\n") }
        val variables = mapOf("CICADATURN_OPERATOR_KEY" to "from-variable", "CICADATURN_ADMIN" to "127.0.0.1:7")
        val fromFile = handlerCall(listOf("ctl", "--key-file", "$file", "status"), variables) as ControlConnection
        val fromVariable = handlerCall(listOf("ctl", "status"), variables) as ControlConnection
        assertEquals(connection.copy(key = OperatorKey("from-file")), fromFile)
        assertEquals(connection.copy(key = OperatorKey("from-variable")), fromVariable)
        assertFalse("$fromFile$fromVariable".contains("from-"))
    }

    /** Guards against benchmark options that are not checked, lose their default or are passed on in another format. */
    @Test
    fun `declared benchmark options reach the handler as JSON`() {
        val minimal = BenchArguments(1, OutputFormat.TEXT, json("""{"endpoints": 12, "policy": "cost"}"""))
        assertEquals(minimal, handlerCall(listOf("bench", "routing", "--policy", "cost")))
        val all = "bench routing --policy random --endpoints 3 --pause 250ms --seed 42 --format json"
        val options = json("""{"endpoints": 3, "pause": "PT0.250S", "policy": "random"}""")
        assertEquals(BenchArguments(42, OutputFormat.JSON, options), handlerCall(all.split(' ')))
    }

    /** Guards against options of the demonstration that are ignored. */
    @Test
    fun `demonstration options reach the handler`() {
        fun at(port: Int) = listOf(NetworkAddress("127.0.0.1", port))
        val minimal =
            DemoLoad(at(1), at(2), at(3), at(4), "o", "p", null, 20.0, 10.0, 20.seconds, 1, OutputFormat.TEXT)
        assertEquals(minimal, handlerCall(demoDriveCommand))
        val optional = "--drain a --drafts 3 --order-rate 2.5 --duration 3s --seed 5 --format json"
        val all = DemoLoad(at(1), at(2), at(3), at(4), "o", "p", "a", 3.0, 2.5, 3.seconds, 5, OutputFormat.JSON)
        assertEquals(all, handlerCall(demoDriveCommand + optional.split(' ')))
    }

    /** Guards against log options that are ignored, and against results mixed with log lines at info. */
    @Test
    fun `log options and their defaults reach the log set-up`() {
        assertEquals("logs info text", runRecorded("standin", "orders").calls.first())
        assertEquals("logs warn text", runRecorded(demoDriveCommand).calls.first())
        val given = runRecorded("standin", "engine", "--log-level", "debug", "--log-format", "json")
        assertEquals("logs debug json", given.calls.first())
    }

    private fun json(text: String): JsonObject = Json.parseToJsonElement(text).jsonObject

    private fun control(line: String): Any = handlerCall(listOf("ctl", "--admin", "127.0.0.1:7") + line.split(' '))

    /** Returns the arguments of the only handler call. */
    private fun handlerCall(
        args: List<String>,
        variables: Map<String, String> = emptyMap(),
    ): Any {
        val run = runRecorded(args, variables = variables)
        assertEquals(SUCCESS, run.code, run.err)
        return run.calls.single { it !is String }
    }
}
