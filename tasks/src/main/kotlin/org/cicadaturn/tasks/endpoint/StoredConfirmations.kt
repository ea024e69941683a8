package org.cicadaturn.tasks.endpoint

import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.admission.Ending
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ClaimProof
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.StoredAnswer
import org.cicadaturn.tasks.confirmation.Confirmations
import java.io.ByteArrayOutputStream
import java.util.Base64

/** Maximum size of the body of an answer; the ledger keeps only shorter ones, but the first caller gets it in full. */
private const val MAX_ANSWER_BYTES = 1 shl 20

private const val UNPROVEN_END =
    "the answer has neither a length nor chunks, and its content does not show whether it is whole; " +
        "make the back end send Content-Length"

/** Returns a call that sends each request to [backend] at most once, as recorded by [confirmations]. */
internal fun storedConfirmations(
    confirmations: Confirmations,
    backend: BackendCall,
    gate: Gate,
): ConfirmationCall =
    ConfirmationCall { open, sender, deadline ->
        val key = requireNotNull(open.confirmation) { "stream ${open.stream} carries no confirmation key" }
        val result = confirmations.run(key, open.service, deadline) { callBackend(backend, open, gate) }
        sendResult(result, open, sender)
    }

private suspend fun callBackend(
    backend: BackendCall,
    open: Frame.Open,
    gate: Gate,
): CallResult {
    val sink = BufferingSink()
    // The answer is stored before anyone has verified the end of its content.
    val result =
        withTimeoutOrNull(open.timeLeft) { backend.run(open.copy(hasEndMark = false), sink) }
            ?: return CallResult.Unknown("the back end did not answer before the deadline")
    return when (result) {
        is BackendResult.NotRun -> {
            gate.markCold()
            CallResult.NotRun(RefusalCode.UNREACHABLE, result.detail)
        }

        is BackendResult.Unknown -> {
            CallResult.Unknown(result.detail)
        }

        BackendResult.Closed -> {
            // Repetitions would get what is stored for a day, so it has to be proven that it is no part.
            CallResult.Unknown(UNPROVEN_END)
        }

        BackendResult.Complete -> {
            sink.answer()?.let { CallResult.Answered(it) }
                ?: CallResult.Unknown("the answer is longer than $MAX_ANSWER_BYTES bytes")
        }
    }
}

private suspend fun sendResult(
    result: ConfirmationResult,
    open: Frame.Open,
    sender: AnswerSender,
): Ending {
    when (result) {
        is ConfirmationResult.Answered -> sendAnswer(result.answer, open, sender)
        ConfirmationResult.DoneWithoutAnswer ->
            sender.send(Frame.Failed(open.stream, Outcome.DONE, "the call ran; its answer was too long to be kept"))
        is ConfirmationResult.Refused ->
            sender.send(
                Frame.Refused(
                    stream = open.stream,
                    code = result.code,
                    message = result.message,
                    keyFree = result.proof == ClaimProof.PROVEN_FREE,
                ),
            )
        is ConfirmationResult.Unknown ->
            sender.send(Frame.Failed(open.stream, Outcome.UNKNOWN, result.message))
    }
    return if (result is ConfirmationResult.Answered) Ending.FINISHED else Ending.CANCELLED
}

private suspend fun sendAnswer(
    answer: StoredAnswer,
    open: Frame.Open,
    sender: AnswerSender,
) {
    sender.send(Frame.Accepted(open.stream))
    sender.send(Frame.Head(open.stream, open.attempt, answer.status, answer.headers))
    val body = Base64.getDecoder().decode(answer.body)
    val parts = (body.indices step CHUNK_BYTES).map { body.copyOfRange(it, minOf(body.size, it + CHUNK_BYTES)) }
    parts.forEachIndexed { i, part ->
        sender.awaitCredit()
        sender.send(Frame.Chunk(open.stream, i, part))
    }
    sender.send(Frame.End(open.stream, parts.size))
}

/** Buffers an answer, which is stored in the ledger before it is sent to any caller. */
private class BufferingSink : AnswerSink {
    private var status = 0
    private var headers = emptyList<Header>()
    private val body = ByteArrayOutputStream()
    private var isTooLong = false

    override suspend fun head(
        status: Int,
        headers: List<Header>,
    ) {
        this.status = status
        this.headers = headers
    }

    override suspend fun chunk(data: ByteArray) {
        if (body.size() + data.size > MAX_ANSWER_BYTES) isTooLong = true
        if (!isTooLong) body.write(data)
    }

    /** Returns the answer, or null if it is longer than [MAX_ANSWER_BYTES]. */
    fun answer(): StoredAnswer? =
        if (isTooLong) null else StoredAnswer(status, headers, Base64.getEncoder().encodeToString(body.toByteArray()))
}
