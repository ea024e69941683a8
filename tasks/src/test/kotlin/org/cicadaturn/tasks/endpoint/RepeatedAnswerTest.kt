package org.cicadaturn.tasks.endpoint

import io.ktor.client.HttpClient
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.cicadaturn.decisions.admission.AdmissionDecision
import org.cicadaturn.decisions.admission.AdmissionRequest
import org.cicadaturn.decisions.admission.Ending
import org.cicadaturn.decisions.admission.GateState
import org.cicadaturn.decisions.admission.Ticket
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.RequestId
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StreamId
import org.cicadaturn.tasks.RepeatTime
import org.cicadaturn.tasks.RepeatingServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Tests calls to a back end that sends a second copy of an answer, whole or cut at any byte. */
class RepeatedAnswerTest {
    private data class Received(
        val result: BackendResult,
        val status: Int,
        val number: String?,
        val body: String,
    )

    private fun answer(
        status: String,
        n: Int,
        body: String,
    ) = "HTTP/1.1 $status\r\nX-Answer: $n\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private val failure = answer("500 Internal Server Error", 0, "failed")
    private val success = answer("201 Created", 1, "booked")

    /** Guards against a failure that reaches its caller as the success of another call, or a success as a failure. */
    @TestFactory
    fun `a call gets its own answer after a second copy of an earlier one`(): List<DynamicTest> =
        RepeatTime.entries.flatMap { time ->
            listOf(
                "success after failure" to listOf(failure, success),
                "failure after success" to listOf(success, failure),
            ).map { (name, answers) ->
                DynamicTest.dynamicTest("$name, $time") {
                    val others = runBlocking(Dispatchers.IO) { othersThanOwn(time, answers) }
                    assertEquals(emptyMap<Int, Received>(), others, "answers by the bytes of the copy")
                }
            }
        }

    /** Returns what the second call received instead of its own answer, by the length of the copy of the first answer. */
    private suspend fun othersThanOwn(
        time: RepeatTime,
        answers: List<String>,
    ): Map<Int, Received> {
        val own = receivedOf(answers[1])
        val lengths = 1..answers[0].length
        return backendClient().use { client ->
            lengths.associateWith { secondAnswer(client, time, it, answers) }.filterValues { it != own }
        }
    }

    private fun receivedOf(answer: String): Received {
        val number = answer.substringAfter("X-Answer: ").substringBefore("\r\n")
        val status = answer.split(' ')[1].toInt()
        return Received(BackendResult.Complete, status, number, answer.substringAfter("\r\n\r\n"))
    }

    private suspend fun secondAnswer(
        client: HttpClient,
        time: RepeatTime,
        copyBytes: Int,
        answers: List<String>,
    ): Received =
        RepeatingServer(time, copyBytes) { answers[it] }.use { server ->
            assertEquals(receivedOf(answers[0]), call(client, server.port))
            if (time == RepeatTime.WHILE_IDLE) server.repeatNow()
            call(client, server.port)
        }

    private suspend fun call(
        client: HttpClient,
        port: Int,
    ): Received {
        val sink = RecordingSink()
        val result = httpBackend(client, NetworkAddress("127.0.0.1", port)).run(open, sink)
        return Received(result, sink.status, sink.number, sink.body.toString())
    }

    private class RecordingSink : AnswerSink {
        var status = 0
        var number: String? = null
        val body = StringBuilder()

        override suspend fun head(
            status: Int,
            headers: List<Header>,
        ) {
            this.status = status
            number = headers.firstOrNull { it.name.equals("X-Answer", ignoreCase = true) }?.value
        }

        override suspend fun chunk(data: ByteArray) {
            body.append(data.decodeToString())
        }
    }

    private val open =
        Frame.Open(
            stream = StreamId(1),
            attempt = AttemptId("a"),
            request = RequestId("r"),
            service = ServiceId("orders"),
            organisation = OrganisationId("o"),
            method = "POST",
            path = "/orders",
            body = "order".encodeToByteArray(),
            timeLeft = 10.seconds,
            credit = 1,
        )

    /** Gate that passes on the reports of the engine. */
    private class ReportedGate : Gate {
        val reports = Channel<Boolean>(Channel.UNLIMITED)
        override val state: StateFlow<GateState> get() = error("not used")

        override suspend fun admit(request: AdmissionRequest): AdmissionDecision = error("not used")

        override suspend fun finish(
            ticket: Ticket,
            ending: Ending,
        ) = Unit

        override suspend fun applyEngineReport(
            run: Long,
            cold: Boolean,
        ) {
            reports.send(cold)
        }

        override suspend fun markCold() = Unit

        override suspend fun close(code: RefusalCode?) = Unit
    }

    private fun load(cold: Boolean) =
        """{"running":0,"waiting":0,"cold":$cold,"run":1}""".let {
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${it.length}\r\n\r\n$it"
        }

    private suspend fun probeOnce(
        client: HttpClient,
        port: Int,
        gate: ReportedGate,
    ): Boolean =
        coroutineScope {
            val probe =
                launch { probeEngine(1.hours, gate, httpLoadReader(client, NetworkAddress("127.0.0.1", port))) {} }
            gate.reports.receive().also { probe.cancel() }
        }

    /** Guards against an engine in cold start that counts as warm, as an earlier report came a second time. */
    @TestFactory
    fun `a report is not an earlier one`(): List<DynamicTest> =
        RepeatTime.entries.map { time ->
            DynamicTest.dynamicTest("$time") {
                val answers = listOf(load(cold = false), load(cold = true))
                val server = RepeatingServer(time, answers[0].length) { answers[it] }
                val reports =
                    runBlocking(Dispatchers.IO) {
                        backendClient().use { client ->
                            server.use {
                                val gate = ReportedGate()
                                val first = probeOnce(client, it.port, gate)
                                if (time == RepeatTime.WHILE_IDLE) it.repeatNow()
                                listOf(first, probeOnce(client, it.port, gate))
                            }
                        }
                    }
                assertEquals(listOf(false, true), reports)
            }
        }

    /** Guards against a load report that reaches a caller, or the ledger of confirmations, as the answer to a call. */
    @TestFactory
    fun `a load report is no answer to a call`(): List<DynamicTest> =
        RepeatTime.entries.map { time ->
            DynamicTest.dynamicTest("$time") {
                val answers = listOf(load(cold = false), success)
                val server = RepeatingServer(time, answers[0].length) { answers[it] }
                val received =
                    runBlocking(Dispatchers.IO) {
                        backendClient().use { client ->
                            server.use {
                                probeOnce(client, it.port, ReportedGate())
                                if (time == RepeatTime.WHILE_IDLE) it.repeatNow()
                                call(client, it.port)
                            }
                        }
                    }
                assertEquals(receivedOf(success), received)
            }
        }
}
