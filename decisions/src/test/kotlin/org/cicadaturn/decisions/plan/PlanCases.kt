package org.cicadaturn.decisions.plan

import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.AdmissionState.DRAINED
import org.cicadaturn.schema.generated.AdmissionState.IN_SERVICE
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.FailureDomain
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.HostId
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.IntentTarget.ENDPOINT
import org.cicadaturn.schema.generated.IntentTarget.FAILURE_DOMAIN
import org.cicadaturn.schema.generated.IntentTarget.HOST
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Operator
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val NOW = Instant.fromEpochSeconds(1_800_000_000)

internal val asha = Operator("asha", digestOf("asha-key"), mayConfirm = true)
internal val reader = Operator("reader", digestOf("reader-key"), mayConfirm = false)

/** Drafting endpoints: two in Kolkata, one in Siliguri, a drained one in Durgapur. One booking endpoint in Kolkata. */
internal val configuration =
    Configuration(
        revision = Revision(7),
        acceptedAt = NOW,
        acceptedBy = "asha",
        services =
            listOf(
                Service(ServiceId("drafting"), ServiceKind.MODEL, listOf("draft-1"), idempotent = true, 30.seconds),
                Service(ServiceId("booking"), ServiceKind.PLAIN, emptyList(), idempotent = false, 5.seconds),
            ),
        failureDomains =
            listOf(
                "kolkata",
                "siliguri",
                "durgapur",
            ).map { FailureDomain(FailureDomainId(it), IN_SERVICE) },
        endpoints =
            listOf(
                endpoint("d1", "h1", "kolkata", "drafting", 1),
                endpoint("d2", "h1", "kolkata", "drafting", 2),
                endpoint("d3", "h2", "siliguri", "drafting", 3),
                endpoint("d4", "h3", "durgapur", "drafting", 4, DRAINED),
                endpoint("b1", "h4", "kolkata", "booking", 5),
            ),
        organisations = listOf(organisation("acme", "acme-key"), organisation("other", "other-key")),
        operators = listOf(asha, reader),
    )

internal val loadSnapshot =
    LoadSnapshot(
        mapOf(
            load("d1", running = 4, bound = 8),
            load("d2", running = 4, bound = 8),
            load("d3", running = 4, bound = 8),
            load("d4", running = 1, bound = 8),
            load("b1", running = 0, bound = 16),
        ),
    )

internal fun endpoint(
    id: String,
    host: String,
    domain: String,
    service: String,
    port: Int,
    state: AdmissionState = IN_SERVICE,
): Endpoint =
    Endpoint(
        EndpointId(id),
        HostId(host),
        FailureDomainId(domain),
        ServiceId(service),
        NetworkAddress("10.0.0.1", port),
        state,
    )

internal fun state(
    target: IntentTarget,
    name: String,
    state: AdmissionState,
): Intent = Intent.ChangeState(target, name, state)

internal fun limits(
    organisation: String,
    requests: Int = 5,
    tokens: Long = 1000,
    keys: List<Digest>? = null,
): Intent = Intent.SetLimits(OrganisationId(organisation), requests, tokens, keys)

/** Intent that must be refused with [expected], whose remedy contains [remedy]. */
internal data class InvalidIntent(
    val name: String,
    val intent: Intent,
    val expected: PlanError,
    val remedy: String,
    val configuration: Configuration = org.cicadaturn.decisions.plan.configuration,
)

private val kolkata = FailureDomainId("kolkata")
private val domains = listOf("kolkata", "siliguri", "durgapur")
private val hosts = listOf("h1", "h2", "h3", "h4")
private val endpoints = listOf("d1", "d2", "d3", "d4", "b1")
private val services = listOf("drafting", "booking")
private val othersDrained =
    configuration.failureDomains.map { if (it.id == kolkata) it else it.copy(state = DRAINED) }
private val onlyKolkata = configuration.copy(failureDomains = othersDrained)
private val sameAddress = endpoint("d9", "h9", "siliguri", "drafting", 3)
private val drafting = configuration.services[0]

internal val invalidIntents: List<InvalidIntent> =
    listOf(
        InvalidIntent(
            "unknown domain",
            state(FAILURE_DOMAIN, "delhi", DRAINED),
            PlanError.UnknownTarget(FAILURE_DOMAIN, "delhi", domains),
            "kolkata, siliguri, durgapur",
        ),
        InvalidIntent("unknown host", state(HOST, "h9", DRAINED), PlanError.UnknownTarget(HOST, "h9", hosts), "h1, h2"),
        InvalidIntent(
            "unknown endpoint",
            state(ENDPOINT, "d9", IN_SERVICE),
            PlanError.UnknownTarget(ENDPOINT, "d9", endpoints),
            "d1, d2",
        ),
        InvalidIntent(
            "removal of an unknown endpoint",
            Intent.Remove(EndpointId("d9")),
            PlanError.UnknownTarget(ENDPOINT, "d9", endpoints),
            "d1, d2",
        ),
        InvalidIntent(
            "unknown service",
            Intent.Admit(endpoint("d9", "h9", "siliguri", "drawing", 9)),
            PlanError.UnknownService(ServiceId("drawing"), services),
            "create the service",
        ),
        InvalidIntent(
            "endpoint in an unknown domain",
            Intent.Admit(endpoint("d9", "h9", "delhi", "drafting", 9)),
            PlanError.UnknownTarget(FAILURE_DOMAIN, "delhi", domains),
            "kolkata",
        ),
        InvalidIntent(
            "domain in service already",
            state(FAILURE_DOMAIN, "kolkata", IN_SERVICE),
            PlanError.AlreadyInEffect("failure domain kolkata is already in service"),
            "nothing has to be done",
        ),
        InvalidIntent(
            "endpoint drained already",
            state(ENDPOINT, "d4", DRAINED),
            PlanError.AlreadyInEffect("endpoint d4 is already drained"),
            "ctl history",
        ),
        InvalidIntent(
            "host in service already",
            state(HOST, "h1", IN_SERVICE),
            PlanError.AlreadyInEffect("host h1 is already in service"),
            "ctl history",
        ),
        InvalidIntent(
            "limits set already",
            limits("acme"),
            PlanError.AlreadyInEffect("organisation acme already has these limits"),
            "nothing",
        ),
        InvalidIntent(
            "service set already",
            Intent.SetService(drafting),
            PlanError.AlreadyInEffect("service drafting already is as given"),
            "nothing",
        ),
        InvalidIntent(
            "last domain",
            state(FAILURE_DOMAIN, "kolkata", DRAINED),
            PlanError.LastFailureDomain(kolkata),
            "another failure domain",
            onlyKolkata,
        ),
        InvalidIntent(
            "domain with the last endpoint of a service",
            state(FAILURE_DOMAIN, "kolkata", DRAINED),
            PlanError.LastEndpoint(ServiceId("booking")),
            "admit or return",
        ),
        InvalidIntent(
            "host with the last endpoint of a service",
            state(HOST, "h4", DRAINED),
            PlanError.LastEndpoint(ServiceId("booking")),
            "admit or return",
        ),
        InvalidIntent(
            "last endpoint of a service",
            state(ENDPOINT, "b1", DRAINED),
            PlanError.LastEndpoint(ServiceId("booking")),
            "admit or return",
        ),
        InvalidIntent(
            "duplicate endpoint",
            Intent.Admit(endpoint("d1", "h9", "siliguri", "drafting", 9)),
            PlanError.DuplicateEndpoint(EndpointId("d1")),
            "another name",
        ),
        InvalidIntent(
            "duplicate address",
            Intent.Admit(sameAddress),
            PlanError.DuplicateAddress(sameAddress.address, EndpointId("d3")),
            "listens on",
        ),
        InvalidIntent(
            "port 0",
            Intent.Admit(endpoint("d9", "h9", "siliguri", "drafting", 0)),
            PlanError.InvalidValue("port", "0", "a port from 1 to 65535"),
            "1 to 65535",
        ),
        InvalidIntent(
            "blank name",
            Intent.Admit(endpoint(" ", "h9", "siliguri", "drafting", 9)),
            PlanError.InvalidValue("endpoint", " ", "a name that is not blank, without spaces around it"),
            "not blank",
        ),
        InvalidIntent(
            "removal of an endpoint in service",
            Intent.Remove(EndpointId("d3")),
            PlanError.InService(EndpointId("d3")),
            "drain the endpoint",
        ),
        InvalidIntent(
            "removal of an endpoint with work",
            Intent.Remove(EndpointId("d4")),
            PlanError.Busy(EndpointId("d4"), 1),
            "have ended",
        ),
        InvalidIntent(
            "no requests",
            limits("acme", requests = 0),
            PlanError.LimitNotPositive(OrganisationId("acme"), "requests in flight", 0),
            "above 0",
        ),
        InvalidIntent(
            "negative tokens",
            limits("acme", tokens = -1),
            PlanError.LimitNotPositive(OrganisationId("acme"), "tokens per minute", -1),
            "above 0",
        ),
        InvalidIntent(
            "new organisation without a key",
            limits("new"),
            PlanError.InvalidValue("list of keys of organisation new", "", "the digest of at least one key"),
            "at least one key",
        ),
        InvalidIntent(
            "key instead of its digest",
            limits("new", keys = listOf(Digest("secret"))),
            PlanError.InvalidValue("digest of a key", "secret", "a SHA-256 digest in 64 lower-case digits"),
            "SHA-256",
        ),
        InvalidIntent(
            "key of another organisation",
            limits("new", keys = listOf(digestOf("acme-key"))),
            PlanError.DuplicateKey(OrganisationId("acme")),
            "a new key",
        ),
        InvalidIntent(
            "model of another service",
            Intent.SetService(drafting.copy(id = ServiceId("drawing"))),
            PlanError.DuplicateModel("draft-1", ServiceId("drafting")),
            "one service only",
        ),
        InvalidIntent(
            "no deadline",
            Intent.SetService(drafting.copy(deadline = Duration.ZERO)),
            PlanError.InvalidValue("deadline of service drafting", "0s", "a time above 0"),
            "above 0",
        ),
    )

private fun organisation(
    id: String,
    key: String,
): Organisation = Organisation(OrganisationId(id), listOf(digestOf(key)), 5, 1000)

private fun load(
    id: String,
    running: Int,
    bound: Int,
): Pair<EndpointId, LoadReport> {
    val service = if (id.startsWith("d")) "drafting" else "booking"
    val report =
        LoadReport(
            EndpointId(id),
            ServiceId(service),
            sequence = 1,
            engine = EngineState.WARM,
            running = running,
            queued = 0,
            bound = bound,
            accepting = true,
        )
    return report.endpoint to report
}
