package org.cicadaturn.daemons.site

/** Returns the behaviour of the engine [rank] of [group], which sends the events that a request asks for as `events=N`. */
internal fun engineBehaviour(
    groupName: String,
    group: EngineGroup,
    rank: Int,
): EndpointBehaviour {
    val engine = Engine(groupName, group, rank)
    return EndpointBehaviour(ENGINE_SERVICE, maxConnections = 418, engine::load, engine::documentAt, engine::handle)
}

private class Engine(
    private val groupName: String,
    private val group: EngineGroup,
    private val rank: Int,
) {
    fun load(): EndpointLoad = group.loads.value[rank].let { EndpointLoad(it.running, it.waiting, EngineGroup.SLOTS) }

    fun documentAt(request: TextRequest): String? {
        if (request.method != "GET") return null
        val load = group.loads.value[rank]
        val position = """"step":${load.step},"epoch":1"""
        return when {
            request.path == "/report" -> report(load)
            request.path != "/picked" -> null
            "lists" in request.query ->
                """{$position,"map":{"version":0,"experts":${List(SETS) { expertsOfRank() }}}}"""
            else -> """{$position,"counts":${List(SETS * EXPERTS) { load.step }}}"""
        }
    }

    private fun report(load: EngineLoad): String =
        """{"stage":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,""" +
            """"waiting":${load.waiting},"running":${load.running},"kv_used":0,"kv_total":186666,""" +
            """"handles":0,"pace":1.0,"size":${group.size},"step":${load.step},"map":0,"prepared":null,""" +
            """"armed":null,"held":null,"group":{"name":"$groupName","epoch":1,"rank":$rank,"state":"open"}}"""

    private fun expertsOfRank(): List<Int> = (0 until EXPERTS).filter { it % group.size == rank }

    suspend fun handle(handling: Handling): Boolean {
        val body = handling.request.body
        val first = 1 + (handling.request.head["Last-Event-Id"]?.toInt() ?: 0)
        val last = body.substringAfter("events=").substringBefore(';').toInt()
        val run = EngineRun(rank, first, last)
        val text = body.substringAfter("text=").substringBefore(';')
        handling.lastEvent = first - 1
        group.submit(run)
        try {
            return stream(run, handling, text)
        } finally {
            group.leave(run)
        }
    }

    private suspend fun stream(
        run: EngineRun,
        handling: Handling,
        text: String,
    ): Boolean {
        val out = handling.out
        var isBegun = false
        val lastBeforeReset = handling.shape.resetAt?.let { run.next + (it * (run.last - run.next)).toInt() }
        while (handling.lastEvent < run.last) {
            when (val signal = run.signals.receive()) {
                RunSignal.Refused -> {
                    handling.end = RunEnd.REFUSED
                    return refuse(out, UNAVAILABLE, handling.headers)
                }
                RunSignal.BrokenOff -> {
                    // Without a length and chunks, only a reset tells a stream that is broken off from a whole one.
                    if (!handling.shape.isChunked) return handling.reset()
                    handling.end = RunEnd.BROKEN_OFF
                    return false
                }
                is RunSignal.Event -> {
                    if (!isBegun) out.write(streamHead(handling))
                    isBegun = true
                    out.write(piece("id: ${signal.number}\ndata: $text/${signal.number}\n\n", handling.shape))
                    handling.lastEvent = signal.number
                    if (signal.number == lastBeforeReset) return handling.reset()
                }
            }
        }
        if (!isBegun) out.write(streamHead(handling))
        if (handling.shape.isChunked) out.write("0\r\n\r\n".encodeToByteArray())
        return handling.finish()
    }

    private fun streamHead(handling: Handling): ByteArray {
        val shape = handling.shape
        val coding = if (shape.isChunked) mapOf("Transfer-Encoding" to "chunked") else emptyMap()
        val type = mapOf("Content-Type" to "text/event-stream")
        return headOf("${shape.version} 200 OK", handling.headers + shape.headers() + type + coding)
    }

    private fun piece(
        text: String,
        shape: AnswerShape,
    ): ByteArray = (if (shape.isChunked) "${text.length.toString(16)}\r\n$text\r\n" else text).encodeToByteArray()
}

/** Sets of layers with experts of their own, and experts in a set. */
internal const val SETS = 4
internal const val EXPERTS = 72
