package org.cicadaturn.decisions.plan

import arrow.core.Either
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.schema.generated.AdmissionState.DRAINED
import org.cicadaturn.schema.generated.AdmissionState.IN_SERVICE
import org.cicadaturn.schema.generated.CapacityEffect
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.KeyChange
import org.cicadaturn.schema.generated.KeyChangeKind
import org.cicadaturn.schema.generated.KeyKind
import org.cicadaturn.schema.generated.Plan
import org.cicadaturn.schema.generated.PlanId
import org.cicadaturn.schema.generated.PlanWarningCode
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration.Companion.seconds

class PlansTest {
    /** Guards against a plan for an invalid intent, and against an error without the right remedy. */
    @TestFactory
    fun `invalid intents get a typed error with a remedy`(): List<DynamicTest> =
        invalidIntents.map { case ->
            dynamicTest(case.name) {
                val error = planned(case.configuration, case.intent).swap().getOrNull()
                assertEquals(case.expected, error)
                assertTrue(case.expected.remedy.contains(case.remedy), case.expected.remedy)
            }
        }

    /** Guards against effects that omit a service, count drained endpoints or ignore the reported bounds. */
    @Test
    fun `the plan of a drain shows the effect on the capacity of each service`() {
        val plan = planOf(state(IntentTarget.HOST, "h1", DRAINED))
        val effect = CapacityEffect(ServiceId("drafting"), 3, 1, 24, 8, 0, 13)
        assertEquals(listOf(listOf(effect), emptyList()), plan.steps.map { it.effects })
        assertEquals(listOf(3.seconds, 30.seconds), plan.steps.map { it.expectedTime })
        assertEquals(33.seconds, plan.expectedTime)
        assertEquals(configuration.revision, plan.madeFrom)
        val warnings =
            listOf(
                PlanWarningCode.CAPACITY_BELOW_LOAD,
                PlanWarningCode.LAST_ENDPOINT,
                PlanWarningCode.LAST_FAILURE_DOMAIN,
            )
        assertEquals(warnings, plan.warnings.map { it.code })
    }

    /** Guards against warnings that appear without a risk, which operators would learn to ignore. */
    @Test
    fun `a drain within the remaining capacity has no warning`() {
        val plan = planOf(state(IntentTarget.ENDPOINT, "d1", DRAINED))
        assertEquals(emptyList<PlanWarningCode>(), plan.warnings.map { it.code })
    }

    /** Guards against missing warnings for endpoints that get no requests or have sent no load report. */
    @Test
    fun `the plan of an admission warns of a drained domain and of a missing report`() {
        val drained = accepted(state(IntentTarget.FAILURE_DOMAIN, "siliguri", DRAINED))
        val intent = Intent.Admit(endpoint("d9", "h9", "siliguri", "drafting", 9))
        val codes = plan(drained, intent).warnings.map { it.code }
        assertEquals(listOf(PlanWarningCode.DOMAIN_DRAINED), codes)
        assertEquals(listOf(PlanWarningCode.LOAD_UNKNOWN), planOf(intent).warnings.map { it.code })
    }

    /** Guards against an unnoticed change of the at-most-once rule of a service. */
    @Test
    fun `a service that becomes idempotent causes a warning`() {
        val booking = configuration.services[1].copy(idempotent = true)
        assertEquals(
            listOf(PlanWarningCode.CONTRACT_CHANGED),
            planOf(Intent.SetService(booking)).warnings.map { it.code },
        )
    }

    /** Guards against intents that change more than they describe, or that do not increase the revision. */
    @Test
    fun `each intent changes only its target and increases the revision by one`() {
        val drained = accepted(state(IntentTarget.HOST, "h1", DRAINED))
        assertEquals(Revision(8), drained.revision)
        assertEquals("asha", drained.acceptedBy)
        val ids = setOf(EndpointId("d1"), EndpointId("d2"))
        val endpoints = configuration.endpoints.map { if (it.id in ids) it.copy(state = DRAINED) else it }
        assertEquals(configuration.withChange(drained).copy(endpoints = endpoints), drained)
        val domain = accepted(state(IntentTarget.FAILURE_DOMAIN, "durgapur", DRAINED))
        assertEquals(listOf(IN_SERVICE, IN_SERVICE, DRAINED), domain.failureDomains.map { it.state })
        val limited = accepted(limits("acme", requests = 9))
        assertEquals(listOf(9, 5), limited.organisations.map { it.requestsInFlight })
        assertEquals(configuration.organisations.map { it.keys }, limited.organisations.map { it.keys })
        val added = accepted(limits("new", keys = listOf(digestOf("new-key"))))
        assertEquals(listOf("acme", "other", "new"), added.organisations.map { it.id.text })
    }

    /** Guards against refusal of the removal of an endpoint without requests. */
    @Test
    fun `a drained endpoint without requests can be removed`() {
        val idle = LoadSnapshot(loadSnapshot.loads - EndpointId("d4"))
        val plan = planIntent(configuration, idle, Intent.Remove(EndpointId("d4")), PlanId("p1"), NOW).getOrNull()
        val after = applyPlan(configuration, checkNotNull(plan), asha, NOW).getOrNull()
        assertEquals(configuration.endpoints.filter { it.id.text != "d4" }, after?.endpoints)
    }

    /** Guards against a plan that overwrites later changes, and against a refusal without the difference. */
    @Test
    fun `a plan from an older revision is refused with the difference`() {
        val plan = planOf(state(IntentTarget.ENDPOINT, "d1", DRAINED))
        val other = accepted(state(IntentTarget.FAILURE_DOMAIN, "siliguri", DRAINED))
        val later = other.copy(organisations = other.organisations.drop(1))
        val error = applyPlan(later, plan, asha, NOW).swap().getOrNull() as ApplyError.ConfigurationChanged
        val keys =
            listOf(
                KeyChange(KeyKind.FAILURE_DOMAIN, "siliguri", KeyChangeKind.CHANGED),
                KeyChange(KeyKind.ORGANISATION, "acme", KeyChangeKind.REMOVED),
            )
        assertEquals(keys, error.difference.keys)
        assertEquals(Revision(7) to Revision(8), error.difference.madeFrom to error.difference.current)
        assertEquals("drain failure domain siliguri (plan p1)", error.difference.change)
    }

    /** Guards against confirmation by an operator without permission, or whose permission was revoked. */
    @Test
    fun `an operator without permission cannot apply a plan`() {
        val plan = planOf(state(IntentTarget.ENDPOINT, "d1", DRAINED))
        assertEquals(ApplyError.NotAllowed("reader"), applyPlan(configuration, plan, reader, NOW).swap().getOrNull())
        val forged = reader.copy(mayConfirm = true)
        assertEquals(ApplyError.NotAllowed("reader"), applyPlan(configuration, plan, forged, NOW).swap().getOrNull())
        val revoked = configuration.copy(operators = listOf(reader))
        assertEquals(ApplyError.NotAllowed("asha"), applyPlan(revoked, plan, asha, NOW).swap().getOrNull())
    }

    /** Guards against confusion of two plans for the same intent after a lost answer. */
    @Test
    fun `only the plan that resulted in a revision is recognised`() {
        val first = planOf(state(IntentTarget.ENDPOINT, "d1", DRAINED))
        val second = first.copy(id = PlanId("p2"), change = plan(configuration, first.intent, "p2").change)
        val after = checkNotNull(applyPlan(configuration, first, asha, NOW).getOrNull())
        assertEquals(listOf(true, false), listOf(first, second).map { isResultOf(after, it) })
        assertEquals(false, isResultOf(configuration, first))
    }

    private fun planned(
        base: Configuration,
        intent: Intent,
    ): Either<PlanError, Plan> = planIntent(base, loadSnapshot, intent, PlanId("p1"), NOW)

    private fun plan(
        base: Configuration,
        intent: Intent,
        id: String = "p1",
    ): Plan = planIntent(base, loadSnapshot, intent, PlanId(id), NOW).fold({ throw AssertionError(it.message) }, { it })

    private fun planOf(intent: Intent): Plan = plan(configuration, intent)

    private fun accepted(intent: Intent): Configuration =
        checkNotNull(applyPlan(configuration, planOf(intent), asha, NOW).getOrNull())

    private fun Configuration.withChange(after: Configuration): Configuration =
        copy(revision = after.revision, change = after.change)
}
