package org.cicadaturn.daemons

import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.daemons.command.ControlConnection
import org.cicadaturn.daemons.command.OperatorKey
import org.cicadaturn.daemons.command.OutputFormat
import org.cicadaturn.daemons.control.adminJson
import org.cicadaturn.daemons.control.callAdmin
import org.cicadaturn.schema.generated.AcceptedChange
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.ControlStatus
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Plan
import org.cicadaturn.schema.generated.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val POLL_INTERVAL: Duration = 100.milliseconds
private val CALL_TIMEOUT: Duration = 10.seconds

/** Client that plans and confirms changes through the admin listener at [admin], as an operator does. */
internal class DemoOperator(
    admin: NetworkAddress,
    key: String,
) {
    private val connection = ControlConnection(admin, OperatorKey(key), CALL_TIMEOUT, OutputFormat.JSON)

    /** Changes [domain] to [state] and returns the new revision; on failure prints the reason and returns null. */
    suspend fun changeState(
        domain: FailureDomainId,
        state: AdmissionState,
    ): Revision? {
        val intent: Intent = Intent.ChangeState(IntentTarget.FAILURE_DOMAIN, domain.text, state)
        val planned =
            call(HttpMethod.Post, "/admin/plans", adminJson.encodeToString(Intent.serializer(), intent)) ?: return null
        val plan = adminJson.decodeFromString(Plan.serializer(), planned)
        val confirmed = call(HttpMethod.Post, "/admin/plans/${plan.id}/confirm") ?: return null
        return adminJson.decodeFromString(AcceptedChange.serializer(), confirmed).revision
    }

    /**
     * Waits until the entry process has no requests in flight at [domain].
     *
     * Returns the waiting time, or null if [limit] has passed.
     */
    suspend fun awaitIdle(
        domain: FailureDomainId,
        limit: Duration,
    ): Duration? {
        val start = TimeSource.Monotonic.markNow()
        return withTimeoutOrNull(limit) {
            while (!isIdle(domain)) delay(POLL_INTERVAL)
            start.elapsedNow()
        }
    }

    private suspend fun isIdle(domain: FailureDomainId): Boolean {
        val text = call(HttpMethod.Get, "/admin/status") ?: return false
        val status = adminJson.decodeFromString(ControlStatus.serializer(), text)
        return status.endpoints.filter { it.endpoint.failureDomain == domain }.all { (it.view?.inFlight ?: 0) == 0 }
    }

    /** Returns the body of the answer; on failure prints the reason and returns null. */
    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: String? = null,
    ): String? =
        callAdmin(connection, method, path, body).fold(
            {
                System.err.println("demo: call to $path failed: $it")
                null
            },
            { it },
        )
}
