package org.cicadaturn.decisions.plan

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import org.cicadaturn.decisions.configuration.configurationIndex
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration

private const val MAX_PORT = 65_535

private val digestPattern = Regex("[0-9a-f]{64}")

/** Returns [configuration] with [intent] applied and the revision unchanged, or why that is not possible. */
internal fun changedConfiguration(
    configuration: Configuration,
    intent: Intent,
): Either<PlanError, Configuration> =
    when (intent) {
        is Intent.ChangeState -> changeState(configuration, intent)
        is Intent.Admit -> admit(configuration, intent)
        is Intent.Remove -> remove(configuration, intent)
        is Intent.SetLimits -> setLimits(configuration, intent)
        is Intent.SetService -> setService(configuration, intent)
    }.flatMapRight { changed ->
        val unserved = (inServiceCounts(configuration).keys - inServiceCounts(changed).keys).firstOrNull()
        if (unserved == null) changed.right() else PlanError.LastEndpoint(unserved).left()
    }

private inline fun <E, A> Either<E, A>.flatMapRight(next: (A) -> Either<E, A>): Either<E, A> =
    fold({ it.left() }, { next(it) })

private fun inServiceCounts(configuration: Configuration): Map<ServiceId, Int> {
    val index = configurationIndex(configuration)
    return configuration.endpoints
        .filter { index.isInService(it) }
        .groupingBy { it.service }
        .eachCount()
}

private fun changeState(
    configuration: Configuration,
    intent: Intent.ChangeState,
): Either<PlanError, Configuration> =
    either {
        when (intent.target) {
            IntentTarget.FAILURE_DOMAIN -> changeDomain(configuration, intent)
            IntentTarget.HOST -> changeEndpoints(configuration, intent, configuration.endpoints.map { it.host.text })
            IntentTarget.ENDPOINT -> changeEndpoints(configuration, intent, configuration.endpoints.map { it.id.text })
        }
    }

private fun Raise<PlanError>.changeDomain(
    configuration: Configuration,
    intent: Intent.ChangeState,
): Configuration {
    val domains = configuration.failureDomains
    val id = FailureDomainId(intent.name)
    val domain = domains.firstOrNull { it.id == id }
    ensureNotNull(domain) { unknownDomain(configuration, id) }
    ensure(domain.state != intent.state) { alreadyInState(intent) }
    val others = domains.any { it.id != id && it.state == AdmissionState.IN_SERVICE }
    ensure(intent.state == AdmissionState.IN_SERVICE || others) { PlanError.LastFailureDomain(id) }
    return configuration.copy(
        failureDomains = domains.map { if (it.id == id) it.copy(state = intent.state) else it },
    )
}

private fun Raise<PlanError>.changeEndpoints(
    configuration: Configuration,
    intent: Intent.ChangeState,
    names: List<String>,
): Configuration {
    val endpoints = configuration.endpoints
    val named = endpoints.zip(names) { e, name -> e.takeIf { name == intent.name } }.filterNotNull()
    ensure(named.isNotEmpty()) { PlanError.UnknownTarget(intent.target, intent.name, names.distinct()) }
    ensure(named.any { it.state != intent.state }) { alreadyInState(intent) }
    val ids = named.map { it.id }.toSet()
    return configuration.copy(
        endpoints = endpoints.map { if (it.id in ids) it.copy(state = intent.state) else it },
    )
}

private fun alreadyInState(intent: Intent.ChangeState): PlanError =
    PlanError.AlreadyInEffect("${intent.target.displayName()} ${intent.name} is already ${intent.state.displayName()}")

private fun unknownDomain(
    configuration: Configuration,
    id: FailureDomainId,
): PlanError =
    PlanError.UnknownTarget(IntentTarget.FAILURE_DOMAIN, id.text, configuration.failureDomains.map { it.id.text })

private fun admit(
    configuration: Configuration,
    intent: Intent.Admit,
): Either<PlanError, Configuration> =
    either {
        val endpoint = intent.endpoint
        ensureText("endpoint", endpoint.id.text)
        ensureText("host", endpoint.host.text)
        ensureText("IP number", endpoint.address.ip)
        ensure(endpoint.address.port in 1..MAX_PORT) {
            PlanError.InvalidValue("port", endpoint.address.port.toString(), "a port from 1 to $MAX_PORT")
        }
        ensure(configuration.endpoints.none { it.id == endpoint.id }) { PlanError.DuplicateEndpoint(endpoint.id) }
        val sameAddress = configuration.endpoints.firstOrNull { it.address == endpoint.address }
        ensure(sameAddress == null) { PlanError.DuplicateAddress(endpoint.address, checkNotNull(sameAddress).id) }
        ensure(configuration.failureDomains.any { it.id == endpoint.failureDomain }) {
            unknownDomain(configuration, endpoint.failureDomain)
        }
        val services = configuration.services.map { it.id }
        ensure(endpoint.service in services) { PlanError.UnknownService(endpoint.service, services.map { it.text }) }
        configuration.copy(endpoints = configuration.endpoints + endpoint)
    }

private fun remove(
    configuration: Configuration,
    intent: Intent.Remove,
): Either<PlanError, Configuration> =
    either {
        val endpoint = configuration.endpoints.firstOrNull { it.id == intent.endpoint }
        ensureNotNull(endpoint) {
            val known = configuration.endpoints.map { it.id.text }
            PlanError.UnknownTarget(IntentTarget.ENDPOINT, intent.endpoint.text, known)
        }
        val inService = configurationIndex(configuration).isInService(endpoint)
        ensure(!inService) { PlanError.InService(endpoint.id) }
        configuration.copy(endpoints = configuration.endpoints - endpoint)
    }

private fun setLimits(
    configuration: Configuration,
    intent: Intent.SetLimits,
): Either<PlanError, Configuration> =
    either {
        val id = intent.organisation
        ensureText("organisation", id.text)
        ensure(intent.requestsInFlight > 0) {
            PlanError.LimitNotPositive(id, "requests in flight", intent.requestsInFlight.toLong())
        }
        ensure(intent.tokensPerMinute > 0) {
            PlanError.LimitNotPositive(id, "tokens per minute", intent.tokensPerMinute)
        }
        val before = configuration.organisations.firstOrNull { it.id == id }
        val keys = intent.keys ?: before?.keys.orEmpty()
        ensure(keys.isNotEmpty()) {
            PlanError.InvalidValue("list of keys of organisation $id", "", "the digest of at least one key")
        }
        ensureKeys(configuration, id, keys)
        val after = Organisation(id, keys, intent.requestsInFlight, intent.tokensPerMinute)
        ensure(after != before) { PlanError.AlreadyInEffect("organisation $id already has these limits") }
        val organisations = configuration.organisations
        configuration.copy(
            organisations =
                if (before == null) organisations + after else organisations.map { if (it.id == id) after else it },
        )
    }

private fun Raise<PlanError>.ensureKeys(
    configuration: Configuration,
    owner: OrganisationId,
    keys: List<Digest>,
) {
    val malformed = keys.firstOrNull { !digestPattern.matches(it.text) }
    ensure(malformed == null) {
        PlanError.InvalidValue("digest of a key", malformed.toString(), "a SHA-256 digest in 64 lower-case digits")
    }
    ensure(keys.toSet().size == keys.size) { PlanError.DuplicateKey(owner) }
    val other = configuration.organisations.firstOrNull { o -> o.id != owner && o.keys.any { it in keys } }
    ensure(other == null) { PlanError.DuplicateKey(checkNotNull(other).id) }
}

private fun setService(
    configuration: Configuration,
    intent: Intent.SetService,
): Either<PlanError, Configuration> =
    either {
        val service = intent.service
        ensureText("service", service.id.text)
        ensure(service.deadline > Duration.ZERO) {
            PlanError.InvalidValue("deadline of service ${service.id}", "${service.deadline}", "a time above 0")
        }
        ensure(service.models.toSet().size == service.models.size) {
            PlanError.DuplicateModel(service.models.joinToString(), service.id)
        }
        val other =
            configuration.services.firstOrNull { s -> s.id != service.id && s.models.any { it in service.models } }
        ensure(other == null) {
            val shared = checkNotNull(other).models.first { it in service.models }
            PlanError.DuplicateModel(shared, other.id)
        }
        val before = configuration.services.firstOrNull { it.id == service.id }
        ensure(before != service) { PlanError.AlreadyInEffect("service ${service.id} already is as given") }
        val services = configuration.services
        configuration.copy(
            services =
                if (before == null) services + service else services.map { if (it.id == service.id) service else it },
        )
    }

private fun Raise<PlanError>.ensureText(
    field: String,
    text: String,
) {
    ensure(text.isNotBlank() && text == text.trim()) {
        PlanError.InvalidValue(field, text, "a name that is not blank, without spaces around it")
    }
}
