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
        val plainBody: String,
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

        /** Takes the whole lines out of [received]. */
        fun acceptLines(received: StringBuilder) {
            while ('\n' in received) {
                accept(received.substring(0, received.indexOf("\n")))
                received.delete(0, received.indexOf("\n") + 1)
            }
        }

        private fun accept(line: String) {
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
        val reading =
            Reading(
                text,
                plainBodyOf("${demanded.demand.prefix}x"),
                lastEvent + 1,
                demanded.events,
                sentAt + left,
            )
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
            isReusable = end == AttemptEnd.WHOLE && reading.head?.keepsConnection == true,
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
        val isStream = head["Content-Type"] == "text/event-stream"
        if (isStream) journal.changeStreams(link.gateway.node, +1)
        val body =
            try {
                readBody(head, link, demand, reading)
            } finally {
                if (isStream) journal.changeStreams(link.gateway.node, -1)
            }
        if (reading.status != OK) return
        if (head["Cicadaturn-Response-Signature"] == null) reading.isWrong = true
        val isWhole = if (isStream) reading.lastEvent == reading.lastDue else body == reading.plainBody
        if (isStream != demand.isStream || !isWhole) reading.isWrong = true
    }

    /** Reads the body, gives its whole lines to [reading], and returns what is behind the last of them. */
    private fun readBody(
        head: TextHead,
        link: CallerLink,
        demand: Demand,
        reading: Reading,
    ): String {
        val input = link.input
        val length = head["Content-Length"]?.toInt()
        val rest = StringBuilder()
        if (head["Transfer-Encoding"] == "chunked") {
            while (true) {
                link.limitSilence(demand, reading)
                val size = (input.readTextLine() ?: throw EOFException()).toInt(radix = 16)
                rest.append(input.readWhole(size).decodeToString())
                input.readTextLine() ?: throw EOFException()
                if (size == 0) return rest.toString()
                reading.acceptLines(rest)
            }
        }
        if (length != null) {
            rest.append(input.readWhole(length).decodeToString())
            reading.acceptLines(rest)
            return rest.toString()
        }
        while (true) {
            link.limitSilence(demand, reading)
            val next = input.read()
            if (next < 0) return rest.toString()
            rest.append(next.toChar())
            reading.acceptLines(rest)
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
