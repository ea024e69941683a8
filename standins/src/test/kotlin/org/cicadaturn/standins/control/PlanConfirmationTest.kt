package org.cicadaturn.standins.control

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.configuration.ConfigurationSource
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.KeyChange
import org.cicadaturn.schema.generated.KeyChangeKind
import org.cicadaturn.schema.generated.KeyKind
import org.cicadaturn.schema.generated.PlanId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.StoreFaults
import org.cicadaturn.schema.generated.StoreMode
import org.cicadaturn.standins.FakeObjectStore
import org.cicadaturn.standins.fakeObjectStore
import org.cicadaturn.tasks.control.ControlError
import org.cicadaturn.tasks.store.ObjectStore
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds

class PlanConfirmationTest {
    private val nextRevision = Revision(8)

    /** Guards against a plan that takes effect before it is confirmed. */
    @Test
    fun `a plan has no effect until it is confirmed`() =
        runTest {
            val fixture = fixture(fake().client())
            val plan = fixture.control.plan(drain("d1"), asha).value()
            assertEquals(firstConfiguration, fixture.store.configuration())
            assertEquals(plan, fixture.control.plan(plan.id).value())
            assertEquals("asha", plan.madeBy)
            assertEquals(emptyList<Any>(), fixture.configurationManager.offers)
        }

    /** Guards against a confirmed plan that makes another change, writes no history or is applied only by the watch. */
    @Test
    fun `a confirmed plan is stored, offered and recorded in the history`() =
        runTest {
            val fixture = fixture(fake().client())
            val plan = fixture.control.plan(drain("d1"), asha).value()
            val accepted = fixture.control.confirm(plan.id, bela).value()
            val stored = fixture.store.configuration()
            assertEquals(nextRevision to "bela", accepted.revision to accepted.acceptedBy)
            assertEquals(expectedAfterDrainOfD1(stored.revision), stored.revision to stored.endpoints.map { it.state })
            assertEquals(listOf(nextRevision to ConfigurationSource.STORE), fixture.configurationManager.offers)
            val history = fixture.control.history(5).value()
            assertEquals(listOf(8L, 7L), history.changes.map { it.revision.number })
            assertEquals("drain endpoint d1 (plan ${plan.id})", history.changes.first().change)
        }

    /** Guards against concurrent confirmations that both succeed, and a failure that does not say what has changed. */
    @Test
    fun `one of two concurrent confirmations succeeds and the other gets the difference`() =
        runTest {
            val fake = fake()
            val fixtures = listOf(fixture(fake.client(), "a"), fixture(fake.client(), "b"))
            val operators = listOf(asha, bela)
            val endpoints = listOf("d1", "d2")
            val plans = fixtures.indices.map { fixtures[it].control.plan(drain(endpoints[it]), operators[it]).value() }
            // All calls take the same time, so that both confirmations read the same revision before either puts.
            fake.setFaults(StoreFaults(delay = 10.milliseconds))
            val results =
                fixtures.indices
                    .map { async { fixtures[it].control.confirm(plans[it].id, operators[it]) } }
                    .map { it.await() }
            val winner = results.indexOfFirst { it.isRight() }
            assertEquals(1, results.count { it.isRight() })
            val changed = assertInstanceOf(ControlError.ConfigurationChanged::class.java, results[1 - winner].error())
            val key = KeyChange(KeyKind.ENDPOINT, endpoints[winner], KeyChangeKind.CHANGED)
            assertEquals(listOf(key), changed.difference.keys)
            assertEquals(operators[winner].name, changed.difference.acceptedBy)
            val states = fake.client().configuration().endpoints
            assertEquals(
                listOf(endpoints[winner]),
                states.filter { it.state == AdmissionState.DRAINED }.map { it.id.text },
            )
        }

    /** Guards against a put without the version that was read, which would undo a later change. */
    @Test
    fun `a change between the read and the put is not overwritten`() =
        runTest {
            val fake = fake()
            val store = FaultyStore(fake.client())
            val first = fixture(store, "a")
            val second = fixture(fake.client(), "b")
            val plan = first.control.plan(drain("d1"), asha).value()
            val other = second.control.plan(drain("d2"), bela).value()
            // The history of the current revision is written between the read and the put of the configuration.
            store.onNextPut("history/7") { put ->
                second.control.confirm(other.id, bela).value()
                put()
            }
            assertInstanceOf(
                ControlError.ConfigurationChanged::class.java,
                first.control.confirm(plan.id, asha).error(),
            )
            assertEquals("bela", store.configuration().acceptedBy)
        }

    /** Guards against a change that took effect and is reported as failed. */
    @Test
    fun `a put that took effect without an answer is found in the store`() =
        runTest {
            val store = FaultyStore(fake().client())
            val fixture = fixture(store)
            val plan = fixture.control.plan(drain("d1"), asha).value()
            store.onNextPut { put ->
                put()
                unanswered()
            }
            assertEquals(
                nextRevision,
                fixture.control
                    .confirm(plan.id, asha)
                    .value()
                    .revision,
            )
            assertEquals(1, store.configurationPuts)
            assertEquals(listOf(nextRevision to ConfigurationSource.STORE), fixture.configurationManager.offers)
        }

    /** Guards against a put that did not reach the store and is reported as done, or is not repeated. */
    @Test
    fun `a put lost before it took effect is repeated`() =
        runTest {
            val store = FaultyStore(fake().client())
            val fixture = fixture(store)
            val plan = fixture.control.plan(drain("d1"), asha).value()
            store.onNextPut { unanswered() }
            assertEquals(
                nextRevision,
                fixture.control
                    .confirm(plan.id, asha)
                    .value()
                    .revision,
            )
            assertEquals(nextRevision, store.configuration().revision)
        }

    /** Guards against a change that is made twice, or refused, because its first put arrives late. */
    @Test
    fun `a put that takes effect during its repetition is applied once`() =
        runTest {
            val fake = fake()
            val store = FaultyStore(fake.client())
            val fixture = fixture(store)
            val plan = fixture.control.plan(drain("d1"), asha).value()
            fake.setFaults(StoreFaults(delay = 10.milliseconds))
            store.onNextPut { put ->
                // After the loss, the second attempt reads at 60 ms and puts at 80 ms; the first put is applied
                // at 68 ms.
                backgroundScope.launch {
                    delay(58.milliseconds)
                    put()
                }
                unanswered()
            }
            assertEquals(
                nextRevision,
                fixture.control
                    .confirm(plan.id, asha)
                    .value()
                    .revision,
            )
            assertEquals(nextRevision, store.configuration().revision)
            assertEquals(2, store.configurationPuts)
        }

    /** Guards against a plan that took effect and is refused because another change followed at once. */
    @Test
    fun `a put without an answer is found in the history after another change`() =
        runTest {
            val fake = fake()
            val store = FaultyStore(fake.client())
            val first = fixture(store, "a")
            val second = fixture(fake.client(), "b")
            val plan = first.control.plan(drain("d1"), asha).value()
            store.onNextPut { put ->
                put()
                val other = second.control.plan(drain("d2"), bela).value()
                assertEquals(
                    Revision(9),
                    second.control
                        .confirm(other.id, bela)
                        .value()
                        .revision,
                )
                unanswered()
            }
            val accepted = first.control.confirm(plan.id, asha).value()
            assertEquals(nextRevision to "asha", accepted.revision to accepted.acceptedBy)
            assertEquals(Revision(9), store.configuration().revision)
        }

    /** Guards against a repeated confirmation that makes another change or is refused as outdated. */
    @Test
    fun `repeating a confirmation has the same result`() =
        runTest {
            val fixture = fixture(fake().client())
            val plan = fixture.control.plan(drain("d1"), asha).value()
            val accepted = fixture.control.confirm(plan.id, asha).value()
            assertEquals(accepted, fixture.control.confirm(plan.id, bela).value())
            val other = fixture.control.plan(drain("d2"), asha).value()
            fixture.control.confirm(other.id, asha).value()
            assertEquals(accepted, fixture.control.confirm(plan.id, bela).value())
            assertEquals(Revision(9), fixture.store.configuration().revision)
        }

    /** Guards against a change that may still take effect and is reported as refused. */
    @Test
    fun `without any answer the result is undecided and a repetition resolves it`() =
        runTest {
            val fake = fake()
            val store = FaultyStore(fake.client())
            val fixture = fixture(store)
            val plan = fixture.control.plan(drain("d1"), asha).value()
            store.onNextPut {
                fake.setFaults(StoreFaults(mode = StoreMode.HANGING))
                unanswered()
            }
            assertInstanceOf(ControlError.Undecided::class.java, fixture.control.confirm(plan.id, asha).error())
            fake.setFaults(StoreFaults())
            assertEquals(
                nextRevision,
                fixture.control
                    .confirm(plan.id, asha)
                    .value()
                    .revision,
            )
        }

    /** Guards against a call during a store outage that is reported as undecided although nothing was sent. */
    @Test
    fun `during a store outage calls fail and nothing changes`() =
        runTest {
            val fake = fake()
            val fixture = fixture(fake.client())
            val plan = fixture.control.plan(drain("d1"), asha).value()
            fake.setFaults(StoreFaults(mode = StoreMode.REFUSING))
            assertInstanceOf(ControlError.StoreFailed::class.java, fixture.control.plan(drain("d2"), asha).error())
            assertInstanceOf(ControlError.StoreFailed::class.java, fixture.control.confirm(plan.id, asha).error())
            fake.setFaults(StoreFaults())
            assertEquals(firstConfiguration, fixture.store.configuration())
        }

    /** Guards against a confirmation without permission, or after the permission was withdrawn. */
    @Test
    fun `an operator without permission cannot confirm`() =
        runTest {
            val fixture = fixture(fake().client())
            val plan = fixture.control.plan(drain("d1"), reader).value()
            assertEquals(ControlError.NotAllowed("reader"), fixture.control.confirm(plan.id, reader).error())
            val stale = reader.copy(mayConfirm = true)
            assertEquals(ControlError.NotAllowed("reader"), fixture.control.confirm(plan.id, stale).error())
            assertEquals(firstConfiguration, fixture.store.configuration())
        }

    /** Guards against a plan identifier that reads another object of the store. */
    @Test
    fun `an invalid plan identifier finds no plan`() =
        runTest {
            val fixture = fixture(fake().client())
            listOf("", "a-9", "../configuration/current", "x".repeat(65)).map { PlanId(it) }.forEach {
                assertEquals(ControlError.UnknownPlan(it), fixture.control.confirm(it, asha).error())
            }
        }

    private fun expectedAfterDrainOfD1(revision: Revision): Pair<Revision, List<AdmissionState>> =
        revision to listOf(AdmissionState.DRAINED, AdmissionState.IN_SERVICE, AdmissionState.IN_SERVICE)

    private fun FakeObjectStore.client(): ObjectStore = client(FailureDomainId("kolkata"))

    private fun fixture(
        store: ObjectStore,
        name: String = "a",
    ): ControlFixture = ControlFixture(store, name)

    private suspend fun TestScope.fake(): FakeObjectStore =
        fakeObjectStore(backgroundScope, seed = 7404).also { it.install() }
}
