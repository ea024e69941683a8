package org.cicadaturn.tasks.endpoint

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.distinctUntilChangedBy
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.StreamId
import org.cicadaturn.tasks.configuration.ConfigurationExchange
import org.cicadaturn.tasks.wire.FrameLink
import org.cicadaturn.tasks.wire.WireError
import kotlin.time.Duration

/** Number of ended streams that may wait for their removal; a full queue suspends the job that ends. */
private const val ENDED_QUEUE = 256

/**
 * Owns the streams of one entry process.
 *
 * The loop over incoming frames never waits for space in the send queue. The session of the entry process may do so,
 * and both would deadlock if they waited for each other.
 */
internal class EntryLinkTask(
    private val link: FrameLink,
    private val runner: RequestRunner,
    private val exchange: ConfigurationExchange,
    private val load: StateFlow<LoadReport>,
    private val stopping: StateFlow<Boolean>,
    private val reportInterval: Duration,
) {
    private class RunningStream(
        val job: Job,
        val credit: Channel<Int>,
    )

    private val streams = HashMap<StreamId, RunningStream>()
    private val ended = Channel<StreamId>(ENDED_QUEUE)
    private var lastStream = 0L

    /** Serves the entry process until the link ends, and then cancels the work of its streams. */
    suspend fun run() {
        coroutineScope {
            launch { exchange.run() }
            launch { sendLoadReports() }
            launch {
                stopping.first { it }
                link.send(Frame.GoAway("the endpoint process is stopping"))
            }
            serve(this)
            ended.cancel()
            coroutineContext.cancelChildren()
        }
    }

    private suspend fun serve(scope: CoroutineScope) {
        while (true) {
            val isOpen =
                select<Boolean> {
                    ended.onReceive { id ->
                        streams.remove(id)
                        true
                    }
                    link.incoming.onReceiveCatching { result ->
                        val frame = result.getOrNull()
                        if (frame != null) receive(frame, scope)
                        frame != null
                    }
                }
            if (!isOpen) return
        }
    }

    private fun receive(
        frame: Frame,
        scope: CoroutineScope,
    ) {
        when (frame) {
            is Frame.Open -> open(frame, scope)
            is Frame.Cancel -> streams.remove(frame.stream)?.job?.cancel()
            is Frame.Credit -> streams[frame.stream]?.credit?.trySend(frame.chunks)
            else -> if (!exchange.accept(frame)) closeLink("${frame::class.simpleName} from an entry")
        }
    }

    private fun open(
        frame: Frame.Open,
        scope: CoroutineScope,
    ) {
        if (frame.stream.number <= lastStream) {
            closeLink("stream ${frame.stream} was used before")
            return
        }
        lastStream = frame.stream.number
        // Credit frames are few and small; the frame limit bounds an entry process that sends more than allowed.
        val credit = Channel<Int>(Channel.UNLIMITED)
        val sender = LinkAnswerSender(link, frame.credit, credit)
        val job =
            scope.launch {
                try {
                    runner.run(frame, sender)
                } finally {
                    withContext(NonCancellable) { ended.send(frame.stream) }
                }
            }
        streams[frame.stream] = RunningStream(job, credit)
    }

    private fun closeLink(detail: String) {
        link.close(WireError.UnexpectedFrame(detail))
    }

    /** Sends a report at once if the state, the bound or the acceptance changes, and the counts once per interval. */
    private suspend fun sendLoadReports() {
        coroutineScope {
            launch {
                load
                    .distinctUntilChangedBy { Triple(it.engine, it.bound, it.accepting) }
                    .collect { link.send(Frame.Load(it)) }
            }
            var lastSent: LoadReport? = null
            while (true) {
                delay(reportInterval)
                val report = load.value
                if (report != lastSent) link.send(Frame.Load(report))
                lastSent = report
            }
        }
    }
}

private class LinkAnswerSender(
    private val link: FrameLink,
    private var allowed: Int,
    private val credit: Channel<Int>,
) : AnswerSender {
    override suspend fun send(frame: Frame): Boolean = link.send(frame)

    override suspend fun awaitCredit() {
        while (allowed <= 0) allowed += credit.receive()
        allowed--
    }
}
