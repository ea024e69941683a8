package org.cicadaturn.standins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.cicadaturn.tasks.store.HttpObjectStore
import org.cicadaturn.tasks.store.httpObjectStore
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration.Companion.seconds

/** Ends only a case that hangs; a case that passes takes milliseconds. */
private val CASE_LIMIT = 60.seconds

/** Long enough that a busy machine does not turn an unanswered call into one that was not made. */
private val CONNECT_TIMEOUT = 20.seconds

class HttpStoreContractTest {
    /** Guards against a client or a stand-in over sockets that differs from the fake; each case names its failure. */
    @TestFactory
    fun `client and stand-in keep the contract over HTTP`(): List<DynamicTest> =
        (callCases + watchCases + faultCases + waitingCases).filter { !it.virtualTimeOnly }.map { case ->
            dynamicTest("${case.name} (guards against ${case.guards})") { check(case) }
        }

    private fun check(case: ContractCase) =
        runBlocking(Dispatchers.Default) {
            val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            val clients = ArrayList<HttpObjectStore>()
            val platform = startPlatformStandin(scope, limits = contractLimits, seed = 7404)
            try {
                val subject =
                    StoreSubject(platform) { domain, timeout ->
                        httpObjectStore(platform.address, timeout, domain, CONNECT_TIMEOUT).also { clients += it }
                    }
                withTimeout(CASE_LIMIT) { case.check(subject) }
            } finally {
                clients.forEach { it.close() }
                platform.close()
                scope.cancel()
            }
        }
}
