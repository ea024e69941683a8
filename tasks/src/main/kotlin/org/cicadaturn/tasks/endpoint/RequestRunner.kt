package org.cicadaturn.tasks.endpoint

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.admission.AdmissionDecision
import org.cicadaturn.decisions.admission.AdmissionRequest
import org.cicadaturn.decisions.admission.Ending
import org.cicadaturn.decisions.admission.Ticket
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.configuration.ConfigurationManager
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Clock
import kotlin.time.Instant

/** Sends the frames of the answer on one stream. */
internal interface AnswerSender {
    /** Sends [frame]; returns false if the link has ended. */
    suspend fun send(frame: Frame): Boolean

    /** Waits until the credit of the stream allows another chunk, and takes the credit for it. */
    suspend fun awaitCredit()
}

/** Runs one request from its admission to the last frame of its answer. */
internal class RequestRunner(
    private val service: ServiceId,
    private val gate: Gate,
    private val backend: BackendCall,
    private val confirmations: ConfirmationCall,
    private val configurationManager: ConfigurationManager,
    private val clock: Clock,
) {
    private val tickets = AtomicLong()

    /** Answers [open] through [sender]; cancellation also cancels the call to the back end. */
    suspend fun run(
        open: Frame.Open,
        sender: AnswerSender,
    ) {
        val refusal = refusalOf(open)
        if (refusal != null) {
            sender.send(refusal)
            return
        }
        val deadline = clock.now() + open.timeLeft
        val ticket = Ticket(tickets.incrementAndGet())
        val priority =
            configurationManager.inForce.value
                ?.index
                ?.service(service)
                ?.priority ?: 0
        val request = AdmissionRequest(ticket, open.confirmation != null, priority, open.tokens.toLong(), deadline)
        when (val decision = gate.admit(request)) {
            is AdmissionDecision.Refuse ->
                sender.send(Frame.Refused(open.stream, decision.code, decision.message, decision.retryAfter))
            else ->
                runAdmitted(open, sender, ticket, deadline)
        }
    }

    private fun refusalOf(open: Frame.Open): Frame.Refused? {
        if (open.service != service) {
            return Frame.Refused(open.stream, RefusalCode.WRONG_SERVICE, "this endpoint serves $service")
        }
        if (configurationManager.inForce.value == null) {
            // Operators may have drained this endpoint, so it refuses work until it has a configuration.
            return Frame.Refused(open.stream, RefusalCode.LEAVING, "the endpoint has no configuration yet")
        }
        return null
    }

    private suspend fun runAdmitted(
        open: Frame.Open,
        sender: AnswerSender,
        ticket: Ticket,
        deadline: Instant,
    ) {
        var ending = Ending.CANCELLED
        try {
            ending =
                if (open.confirmation == null) {
                    runWithoutConfirmation(open, sender)
                } else {
                    confirmations.run(open, sender, deadline)
                }
        } finally {
            withContext(NonCancellable) { gate.finish(ticket, ending) }
        }
    }

    private suspend fun runWithoutConfirmation(
        open: Frame.Open,
        sender: AnswerSender,
    ): Ending {
        val sink = FrameSink(open, sender)
        sender.send(Frame.Accepted(open.stream))
        val result =
            withTimeoutOrNull(open.timeLeft) { backend.run(open, sink) }
                ?: BackendResult.Unknown("deadline passed")
        if (result is BackendResult.NotRun) gate.markCold()
        sender.send(
            when (result) {
                BackendResult.Complete, BackendResult.Closed -> Frame.End(open.stream, sink.chunks)
                is BackendResult.NotRun -> Frame.Failed(open.stream, Outcome.NOT_RUN, result.detail)
                is BackendResult.Unknown -> Frame.Failed(open.stream, Outcome.UNKNOWN, result.detail)
            },
        )
        val isAnswered = result == BackendResult.Complete || result == BackendResult.Closed
        return if (isAnswered && !sink.isServerError) Ending.FINISHED else Ending.FAILED
    }
}

/** Runs a call that must run at most once and sends its answer through a sender. */
internal fun interface ConfirmationCall {
    suspend fun run(
        open: Frame.Open,
        sender: AnswerSender,
        deadline: Instant,
    ): Ending
}

/** Sends the answer of a back end as the frames of one stream. */
internal class FrameSink(
    private val open: Frame.Open,
    private val sender: AnswerSender,
) : AnswerSink {
    /** Number of chunks sent. */
    var chunks: Int = 0
        private set

    /** True if the status of the answer is a server error. */
    var isServerError: Boolean = false
        private set

    override suspend fun head(
        status: Int,
        headers: List<Header>,
    ) {
        isServerError = status >= FIRST_SERVER_ERROR
        sender.send(Frame.Head(open.stream, open.attempt, status, headers))
    }

    override suspend fun chunk(data: ByteArray) {
        sender.awaitCredit()
        sender.send(Frame.Chunk(open.stream, chunks, data))
        chunks++
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
