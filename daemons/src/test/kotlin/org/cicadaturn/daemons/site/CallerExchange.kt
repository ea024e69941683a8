package org.cicadaturn.daemons.site

import java.io.EOFException
import java.io.IOException
import java.net.SocketTimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What an attempt means for the next one. */
internal data class ExchangeResult(
    val end: AttemptEnd,
    val isRefused: Boolean,
    val isReusable: Boolean,
    val retryAfter: Duration,
    val lastEvent: Int,
)

/** Sends requests and reads their answers as the callers of the site do. */
internal class CallerExchange(
    private val journal: SiteJournal,
) {
    /** Answer as far as it has been read. */
    private class Reading(
        val text: String,
        val firstEvent: Int,
        val lastDue: Int,
        val giveUpAt: Duration,
    ) {
        var head: TextHead? = null
        var lastEvent = firstEvent - 1
        var isWrong = false
        val status: Int get() =
            head
                ?.start
                ?.split(' ')
                ?.getOrNull(1)
                ?.toIntOrNull() ?: 0

        fun accept(line: String) {
            when {
                line.startsWith("id: ") ->
                    if (line.substring(4) ==
                        "${lastEvent + 1}"
                    ) {
                        lastEvent += 1
                    } else {
                        isWrong = true
                    }
                line.startsWith("data: ") -> if (line != "data: $text/$lastEvent") isWrong = true
            }
        }
    }

    /** Sends one attempt on [link], for which the caller waits for [left], and reads its answer. */
    fun run(
        link: CallerLink,
        demanded: Demanded,
        id: String,
        left: Duration,
        lastEvent: Int,
    ): ExchangeResult {
        val text = "t${demanded.number}"
        val isKept = link.requests++ > 0
        val request = requestOf(demanded, id, left, lastEvent, text)
        val isSent = runCatching { link.socket.getOutputStream().write(request) }.isSuccess
        val sentAt = journal.now()
        val reading = Reading(text, lastEvent + 1, demanded.events, sentAt + left)
        val end = if (isSent) read(link, demanded.demand, reading) else AttemptEnd.NOT_SENT
        journal.record(
            AttemptSeen(
                id = id,
                route = demanded.demand.route,
                gateway = link.gateway.node,
                isKept = isKept,
                sentAt = sentAt,
                endedAt = journal.now(),
                limit = minOf(left, demanded.demand.timeout),
                status = reading.status,
                firstEvent = reading.firstEvent,
                lastEvent = reading.lastEvent,
                end = end,
            ),
        )
        reading.head
            ?.get("Keep-Alive")
            ?.substringAfter("timeout=")
            ?.toIntOrNull()
            ?.let { link.idleTime = it.seconds }
        return ExchangeResult(
            end = end,
            isRefused = reading.status in REFUSALS,
            isReusable = end == AttemptEnd.WHOLE && reading.head?.closesConnection == false,
            retryAfter =
                reading.head
                    ?.get("Retry-After")
                    ?.toDoubleOrNull()
                    ?.seconds ?: Duration.ZERO,
            lastEvent = reading.lastEvent,
        )
    }

    private fun requestOf(
        demanded: Demanded,
        id: String,
        left: Duration,
        lastEvent: Int,
        text: String,
    ): ByteArray {
        val headers =
            buildMap {
                put("Host", SITE_HOST)
                put("Cicadaturn-Request-Id", id)
                put("Cicadaturn-Deadline-Ms", "${left.inWholeMilliseconds}")
                put("Authorization", "Bearer ${keyOf(demanded.number % TENANTS)}")
                if (lastEvent > 0) put("Last-Event-Id", "$lastEvent")
                if (demanded.demand.isStream) {
                    put("Cicadaturn-Model", "m")
                    put("Cicadaturn-Token-Counts", "${demanded.number % 900 + 300},${demanded.events * 4}")
                    put("Cicadaturn-Prompt-Prefix", "5c1e07a2:40,${demanded.number.toString(16).padStart(8, '0')}:700")
                    put("Cicadaturn-Length-Hint", "${demanded.events * 4}")
                }
            }
        val body =
            if (demanded.demand.isStream) {
                "events=${demanded.events};text=$text;".padEnd(
                    PROMPT_BYTES,
                    'p',
                )
            } else {
                ""
            }
        return messageOf("${demanded.demand.method} ${demanded.demand.prefix}x HTTP/1.1", headers, body)
    }

    private fun read(
        link: CallerLink,
        demand: Demand,
        reading: Reading,
    ): AttemptEnd =
        try {
            readWithin(link, demand, reading)
            if (reading.isWrong) AttemptEnd.WRONG else AttemptEnd.WHOLE
        } catch (e: SocketTimeoutException) {
            AttemptEnd.LEFT
        } catch (e: EOFException) {
            AttemptEnd.CLOSED
        } catch (e: IOException) {
            AttemptEnd.RESET
        }

    private fun readWithin(
        link: CallerLink,
        demand: Demand,
        reading: Reading,
    ) {
        val input = link.input
        link.limitSilence(demand, reading)
        val head = input.readHead() ?: throw EOFException()
        reading.head = head
        if (head["Transfer-Encoding"] == "chunked") {
            journal.changeStreams(link.gateway.node, +1)
            try {
                readChunks(link, demand, reading)
            } finally {
                journal.changeStreams(link.gateway.node, -1)
            }
        } else {
            input
                .readWhole(head["Content-Length"]?.toInt() ?: 0)
                .decodeToString()
                .lines()
                .forEach(reading::accept)
        }
        val isStream = head["Content-Type"] == "text/event-stream"
        if (reading.status != OK) return
        if (head["Cicadaturn-Response-Signature"] == null) reading.isWrong = true
        if (isStream != demand.isStream || (isStream && reading.lastEvent != reading.lastDue)) reading.isWrong = true
    }

    private fun readChunks(
        link: CallerLink,
        demand: Demand,
        reading: Reading,
    ) {
        val rest = StringBuilder()
        while (true) {
            link.limitSilence(demand, reading)
            val size = (link.input.readTextLine() ?: throw EOFException()).toInt(radix = 16)
            rest.append(link.input.readWhole(size).decodeToString())
            link.input.readTextLine()
            if (size == 0) return
            while ('\n' in rest) {
                reading.accept(rest.substring(0, rest.indexOf("\n")))
                rest.delete(0, rest.indexOf("\n") + 1)
            }
        }
    }

    private fun CallerLink.limitSilence(
        demand: Demand,
        reading: Reading,
    ) {
        val left = reading.giveUpAt - journal.now()
        val limit = if (demand.isStream) minOf(left, STREAM_SILENCE) else left
        socket.soTimeout = limit.inWholeMilliseconds.toInt().coerceAtLeast(1)
    }

    private companion object {
        val REFUSALS = setOf(408, 421, 429, 503)

        /** Silence after which a caller gives a stream up: four times the latency target of 501 ms. */
        val STREAM_SILENCE = 2_004.milliseconds
        const val PROMPT_BYTES = 2_500
    }
}

/** Host name of all routes. */
internal const val SITE_HOST = "vywy46.example"

/** Number of organisations. */
internal const val TENANTS = 10

/** Returns the key of the organisation [number]. */
internal fun keyOf(number: Int): String = "key-$number"
