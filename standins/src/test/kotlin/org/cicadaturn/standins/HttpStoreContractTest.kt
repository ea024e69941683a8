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

/** Ends a case that hangs; a case that passes takes milliseconds. */
private val CASE_TIMEOUT = 60.seconds

/** Long enough that a connect timeout on a busy machine does not make an unanswered call appear as not sent. */
private val CONNECT_TIMEOUT = 20.seconds

class HttpStoreContractTest {
    /** Guards against an HTTP client or stand-in that differs from the fake; each case name states its failure. */
    @TestFactory
    fun `HTTP client and platform stand-in satisfy the store contract`(): List<DynamicTest> =
        (callCases + watchCases + faultCases + waitingCases).filter { !it.virtualTimeOnly }.map { case ->
            dynamicTest("${case.name} (guards against ${case.guardsAgainst})") { check(case) }
        }

    private fun check(case: ContractCase) =
        runBlocking(Dispatchers.Default) {
            val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            val clients = ArrayList<HttpObjectStore>()
            val platform = startPlatformStandin(scope, limits = contractLimits, seed = 7404)
            try {
                val fixture =
                    StoreFixture(platform) { domain, timeout ->
                        httpObjectStore(platform.address, timeout, domain, CONNECT_TIMEOUT).also { clients += it }
                    }
                withTimeout(CASE_TIMEOUT) { case.check(fixture) }
            } finally {
                clients.forEach { it.close() }
                platform.close()
                scope.cancel()
            }
        }
}
