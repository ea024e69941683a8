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
    private val next = Revision(8)

    /** Guards against a plan that takes effect before it is confirmed. */
    @Test
    fun `a plan has no effect`() =
        runTest {
            val subject = subject(fake().client())
            val plan = subject.control.plan(drain("d1"), asha).value()
            assertEquals(firstConfiguration, subject.store.configuration())
            assertEquals(plan, subject.control.plan(plan.id).value())
            assertEquals("asha", plan.madeBy)
            assertEquals(emptyList<Any>(), subject.configurationManager.offers)
        }

    /** Guards against a confirmed plan that changes something else, leaves no history or waits for the watch. */
    @Test
    fun `a confirmed plan is in force, offered and in the history`() =
        runTest {
            val subject = subject(fake().client())
            val plan = subject.control.plan(drain("d1"), asha).value()
            val accepted = subject.control.confirm(plan.id, bela).value()
            val stored = subject.store.configuration()
            assertEquals(next to "bela", accepted.revision to accepted.acceptedBy)
            assertEquals(drainedAfter(stored.revision), stored.revision to stored.endpoints.map { it.state })
            assertEquals(listOf(next to ConfigurationSource.STORE), subject.configurationManager.offers)
            val history = subject.control.history(5).value()
            assertEquals(listOf(8L, 7L), history.changes.map { it.revision.number })
            assertEquals("drain endpoint d1 (plan ${plan.id})", history.changes.first().change)
        }

    /** Guards against two winners of a race, and against a loser that does not learn what changed. */
    @Test
    fun `one of two racing operators wins and the other gets the difference`() =
        runTest {
            val fake = fake()
            val subjects = listOf(subject(fake.client(), "a"), subject(fake.client(), "b"))
            val operators = listOf(asha, bela)
            val endpoints = listOf("d1", "d2")
            val plans = subjects.indices.map { subjects[it].control.plan(drain(endpoints[it]), operators[it]).value() }
            // Every call takes as long, so that both read the same revision before either puts.
            fake.setFaults(StoreFaults(delay = 10.milliseconds))
            val results =
                subjects.indices
                    .map { async { subjects[it].control.confirm(plans[it].id, operators[it]) } }
                    .map { it.await() }
            val winner = results.indexOfFirst { it.isRight() }
            assertEquals(1, results.count { it.isRight() })
            val moved = assertInstanceOf(ControlError.ConfigurationChanged::class.java, results[1 - winner].error())
            val key = KeyChange(KeyKind.ENDPOINT, endpoints[winner], KeyChangeKind.CHANGED)
            assertEquals(listOf(key), moved.difference.keys)
            assertEquals(operators[winner].name, moved.difference.acceptedBy)
            val states = fake.client().configuration().endpoints
            assertEquals(
                listOf(endpoints[winner]),
                states.filter { it.state == AdmissionState.DRAINED }.map { it.id.text },
            )
        }

    /** Guards against a put that does not name the version that was read, and so undoes a change made since. */
    @Test
    fun `a change between the read and the put is not overwritten`() =
        runTest {
            val fake = fake()
            val store = FaultyStore(fake.client())
            val first = subject(store, "a")
            val second = subject(fake.client(), "b")
            val plan = first.control.plan(drain("d1"), asha).value()
            val other = second.control.plan(drain("d2"), bela).value()
            // The history of the present revision is written between the read and the put.
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
    fun `an answer lost after the put took effect is found in the store`() =
        runTest {
            val store = FaultyStore(fake().client())
            val subject = subject(store)
            val plan = subject.control.plan(drain("d1"), asha).value()
            store.onNextPut { put ->
                put()
                lost()
            }
            assertEquals(
                next,
                subject.control
                    .confirm(plan.id, asha)
                    .value()
                    .revision,
            )
            assertEquals(1, store.configurationPuts)
            assertEquals(listOf(next to ConfigurationSource.STORE), subject.configurationManager.offers)
        }

    /** Guards against a put that was lost on its way and is reported as done, or given up. */
    @Test
    fun `a put lost before it took effect is repeated`() =
        runTest {
            val store = FaultyStore(fake().client())
            val subject = subject(store)
            val plan = subject.control.plan(drain("d1"), asha).value()
            store.onNextPut { lost() }
            assertEquals(
                next,
                subject.control
                    .confirm(plan.id, asha)
                    .value()
                    .revision,
            )
            assertEquals(next, store.configuration().revision)
        }

    /** Guards against a change that is made twice, or refused, because its first put arrives late. */
    @Test
    fun `a put that takes effect during the repetition counts once`() =
        runTest {
            val fake = fake()
            val store = FaultyStore(fake.client())
            val subject = subject(store)
            val plan = subject.control.plan(drain("d1"), asha).value()
            fake.setFaults(StoreFaults(delay = 10.milliseconds))
            store.onNextPut { put ->
                // After the loss, the second round reads at 60 ms and puts at 80 ms; the first put lands at 68 ms.
                backgroundScope.launch {
                    delay(58.milliseconds)
                    put()
                }
                lost()
            }
            assertEquals(
                next,
                subject.control
                    .confirm(plan.id, asha)
                    .value()
                    .revision,
            )
            assertEquals(next, store.configuration().revision)
            assertEquals(2, store.configurationPuts)
        }

    /** Guards against a plan that took effect and is refused because another change followed at once. */
    @Test
    fun `a lost answer is found in the history after another change`() =
        runTest {
            val fake = fake()
            val store = FaultyStore(fake.client())
            val first = subject(store, "a")
            val second = subject(fake.client(), "b")
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
                lost()
            }
            val accepted = first.control.confirm(plan.id, asha).value()
            assertEquals(next to "asha", accepted.revision to accepted.acceptedBy)
            assertEquals(Revision(9), store.configuration().revision)
        }

    /** Guards against a repeated confirmation that makes another change or is refused as moved. */
    @Test
    fun `repeating a confirmation has the same result`() =
        runTest {
            val subject = subject(fake().client())
            val plan = subject.control.plan(drain("d1"), asha).value()
            val accepted = subject.control.confirm(plan.id, asha).value()
            assertEquals(accepted, subject.control.confirm(plan.id, bela).value())
            val other = subject.control.plan(drain("d2"), asha).value()
            subject.control.confirm(other.id, asha).value()
            assertEquals(accepted, subject.control.confirm(plan.id, bela).value())
            assertEquals(Revision(9), subject.store.configuration().revision)
        }

    /** Guards against a change that may still take effect and is reported as refused. */
    @Test
    fun `without any answer the result is undecided and a repetition decides it`() =
        runTest {
            val fake = fake()
            val store = FaultyStore(fake.client())
            val subject = subject(store)
            val plan = subject.control.plan(drain("d1"), asha).value()
            store.onNextPut {
                fake.setFaults(StoreFaults(mode = StoreMode.HANGING))
                lost()
            }
            assertInstanceOf(ControlError.Undecided::class.java, subject.control.confirm(plan.id, asha).error())
            fake.setFaults(StoreFaults())
            assertEquals(
                next,
                subject.control
                    .confirm(plan.id, asha)
                    .value()
                    .revision,
            )
        }

    /** Guards against a change in a store outage that is reported as undecided although nothing was sent. */
    @Test
    fun `with the store down nothing changes and the call says so`() =
        runTest {
            val fake = fake()
            val subject = subject(fake.client())
            val plan = subject.control.plan(drain("d1"), asha).value()
            fake.setFaults(StoreFaults(mode = StoreMode.REFUSING))
            assertInstanceOf(ControlError.StoreFailed::class.java, subject.control.plan(drain("d2"), asha).error())
            assertInstanceOf(ControlError.StoreFailed::class.java, subject.control.confirm(plan.id, asha).error())
            fake.setFaults(StoreFaults())
            assertEquals(firstConfiguration, subject.store.configuration())
        }

    /** Guards against a confirmation without the right, or after the right was withdrawn. */
    @Test
    fun `an operator without the right cannot confirm`() =
        runTest {
            val subject = subject(fake().client())
            val plan = subject.control.plan(drain("d1"), reader).value()
            assertEquals(ControlError.NotAllowed("reader"), subject.control.confirm(plan.id, reader).error())
            val stale = reader.copy(mayConfirm = true)
            assertEquals(ControlError.NotAllowed("reader"), subject.control.confirm(plan.id, stale).error())
            assertEquals(firstConfiguration, subject.store.configuration())
        }

    /** Guards against a plan identifier that reads another object of the store. */
    @Test
    fun `an identifier that is none finds no plan`() =
        runTest {
            val subject = subject(fake().client())
            listOf("", "a-9", "../configuration/current", "x".repeat(65)).map { PlanId(it) }.forEach {
                assertEquals(ControlError.UnknownPlan(it), subject.control.confirm(it, asha).error())
            }
        }

    private fun drainedAfter(revision: Revision): Pair<Revision, List<AdmissionState>> =
        revision to listOf(AdmissionState.DRAINED, AdmissionState.IN_SERVICE, AdmissionState.IN_SERVICE)

    private fun FakeObjectStore.client(): ObjectStore = client(FailureDomainId("kolkata"))

    private fun subject(
        store: ObjectStore,
        name: String = "a",
    ): ControlSubject = ControlSubject(store, name)

    private suspend fun TestScope.fake(): FakeObjectStore =
        fakeObjectStore(backgroundScope, seed = 7404).also { it.install() }
}
