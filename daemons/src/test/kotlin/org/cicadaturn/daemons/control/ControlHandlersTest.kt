package org.cicadaturn.daemons.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import org.cicadaturn.daemons.command.ControlConnection
import org.cicadaturn.daemons.command.FAILED_RUN
import org.cicadaturn.daemons.command.OutputFormat
import org.cicadaturn.daemons.command.REFUSED
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.daemons.command.UNREACHABLE
import org.cicadaturn.schema.generated.AcceptedChange
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.ControlFailure
import org.cicadaturn.schema.generated.ControlStatus
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Plan
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.tasks.Node
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

class ControlHandlersTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val out = mutableListOf<String>()
    private val err = mutableListOf<String>()
    private val handlers = controlHandlers(out::add, err::add)
    private val returnO2 = Intent.ChangeState(IntentTarget.ENDPOINT, "o2", AdmissionState.IN_SERVICE)
    private lateinit var system: RunningSystem

    @BeforeEach
    fun start(): Unit =
        runBlocking {
            system = startSystem(scope)
            eventually { status(system.entry) != null }
        }

    @AfterEach
    fun stop(): Unit =
        runBlocking {
            system.stop()
            scope.cancel()
        }

    /** Guards against a change that takes effect before its confirmation, or is not in force after it. */
    @Test
    fun `a plan changes nothing before it is confirmed`() {
        val plan = planned(returnO2)
        assertEquals(Revision(1), status(system.entry)?.configuration?.revision)
        assertEquals(SUCCESS, run { handlers.describe?.invoke(it, plan.id.text) })
        assertEquals(plan, last(Plan.serializer()))
        assertEquals(SUCCESS, run { handlers.confirm?.invoke(it, plan.id.text) })
        assertEquals(Revision(2), last(AcceptedChange.serializer()).revision)
        runBlocking { eventually { status(system.entry)?.configuration?.revision == Revision(2) } }
        assertEquals(SUCCESS, run { handlers.history?.invoke(it, 20) })
        assertEquals(
            2,
            adminJson
                .parseToJsonElement(out.last())
                .toString()
                .split("\"revision\"")
                .size - 1,
        )
    }

    /** Guards against a refusal that exits with success, and against one without its reason and remedy. */
    @Test
    fun `refusals end with code 4 and give the reason`() {
        val wrong = Intent.ChangeState(IntentTarget.HOST, "h9", AdmissionState.DRAINED)
        val plan = planned(returnO2)
        val later = planned(returnO2)
        assertEquals(SUCCESS, run { handlers.confirm?.invoke(it, plan.id.text) })
        val refusals =
            listOf(
                refusal { handlers.plan?.invoke(it, wrong) },
                refusal { handlers.confirm?.invoke(it, later.id.text) },
                refusal { handlers.confirm?.invoke(it, "no-such-plan") },
                refusal("reader-key") { handlers.confirm?.invoke(it, later.id.text) },
                refusal("reader-key") { handlers.localDrain?.invoke(it, true) },
                refusal("wrong-key") { handlers.status?.invoke(it) },
                refusal(null) { handlers.plan?.invoke(it, returnO2) },
            )
        val codes =
            listOf(
                "unknown_host",
                "configuration_moved",
                "unknown_plan",
                "not_allowed",
                "not_allowed",
                "unauthenticated",
                "unauthenticated",
            )
        assertEquals(codes, refusals.map { it.code })
        assertEquals(listOf("o2"), refusals[1].difference?.keys?.map { it.id })
    }

    /** Guards against a missing or unexpected answer that is reported as a refusal or a result. */
    @Test
    fun `a missing answer ends with code 5 and an unexpected one with code 1`() {
        val closed = ControlConnection(NetworkAddress("127.0.0.1", closedPort()), null, 5.seconds, OutputFormat.TEXT)
        assertEquals(UNREACHABLE, handlers.status?.invoke(closed))
        assertEquals(UNREACHABLE, handlers.confirm?.invoke(closed, "p"))
        assertTrue(err.last().contains("confirm it again"), err.last())
        // The admin listener of the endpoint process does not serve plans.
        assertEquals(FAILED_RUN, handlers.plan?.invoke(connectionTo(system.endpoint), returnO2))
    }

    /** Guards against tables that omit information on which operators base their decisions. */
    @Test
    fun `text output names domains, endpoints, effects and the next step`() {
        val connection = connectionTo(system.entry)
        assertEquals(SUCCESS, handlers.status?.invoke(connection))
        listOf("entry-1: revision 1 (current", "kolkata", "siliguri", "o1", "drained").forEach {
            assertTrue(out.last().contains(it), out.last())
        }
        assertEquals(SUCCESS, handlers.plan?.invoke(connection, returnO2))
        assertTrue(Regex("""1 +orders +1 -> 2 """).containsMatchIn(out.last()), out.last())
        assertTrue(
            out
                .last()
                .lines()
                .last()
                .contains("ctl confirm "),
            out.last(),
        )
    }

    /** Guards against a local drain that accepts requests, is reported as ready or cannot be ended. */
    @Test
    fun `a local drain makes an entry and an endpoint refuse requests until it ends`() =
        runBlocking {
            eventually {
                status(system.entry)
                    ?.endpoints
                    ?.first()
                    ?.view
                    ?.load
                    ?.accepting == true
            }
            assertEquals(SUCCESS, localDrain(system.endpoint, true))
            eventually {
                status(system.entry)
                    ?.endpoints
                    ?.first()
                    ?.view
                    ?.load
                    ?.accepting == false
            }
            assertEquals(SUCCESS, localDrain(system.endpoint, false))
            eventually {
                status(system.entry)
                    ?.endpoints
                    ?.first()
                    ?.view
                    ?.load
                    ?.accepting == true
            }
            assertEquals(SUCCESS, localDrain(system.entry, true))
            assertEquals(true, status(system.entry)?.localDrain)
            assertEquals(503, statusOf(system.entry, "admin", "/readyz"))
            assertEquals(503, statusOf(system.entry, "listen", "/orders/x"))
            assertEquals(SUCCESS, localDrain(system.entry, false))
            assertEquals(200, statusOf(system.entry, "admin", "/readyz"))
            assertEquals(401, statusOf(system.entry, "listen", "/orders/x"))
        }

    /** Guards against an entry that waits for a body after a GET request with an upgrade offer and without a body. */
    @Test
    fun `a GET request that offers an upgrade is answered`() {
        assertEquals(401, statusOf(system.entry, "listen", "/orders/x"))
    }

    private fun localDrain(
        node: Node,
        on: Boolean,
    ): Int? = handlers.localDrain?.invoke(connectionTo(node), on)

    private fun planned(intent: Intent): Plan {
        assertEquals(SUCCESS, run { handlers.plan?.invoke(it, intent) }, "$out$err")
        return last(Plan.serializer())
    }

    private fun refusal(
        key: String? = "asha-key",
        call: (ControlConnection) -> Int?,
    ): ControlFailure {
        assertEquals(REFUSED, call(connectionTo(system.entry, key, OutputFormat.JSON)))
        return last(ControlFailure.serializer())
    }

    private fun status(node: Node): ControlStatus? =
        if (run(node) { handlers.status?.invoke(it) } == SUCCESS) last(ControlStatus.serializer()) else null

    private fun run(
        node: Node = system.entry,
        call: (ControlConnection) -> Int?,
    ): Int? = call(connectionTo(node, format = OutputFormat.JSON))

    private fun <T> last(serializer: KSerializer<T>): T = adminJson.decodeFromString(serializer, out.last())
}
