package org.cicadaturn.decisions.answer

/** Event of a streamed chat completion. */
public sealed interface ChatEvent {
    /**
     * Part of a completion.
     *
     * @property completion identifier of the completion, which all its parts have
     * @property hasToken true if the part adds text
     * @property isLast true if it says why the completion ended
     */
    public data class Part(
        val completion: String,
        val hasToken: Boolean,
        val isLast: Boolean,
    ) : ChatEvent

    /** Mark that ends the stream. */
    public data object End : ChatEvent
}

/** Verifies that the events of one answer are those of one completion. Has one owner; not safe for concurrent use. */
public interface ChatSequence {
    /** True once the end mark was accepted; the answer is then whole. */
    public val isEnded: Boolean

    /** Returns null if [event] is the next one of the answer, or why it cannot be; takes constant time. */
    public fun accept(event: ChatEvent): String?
}

/**
 * Returns a sequence at the start of an answer.
 *
 * All parts have one identifier, and the end mark follows after a part that says why the completion ended. A part that
 * is missing in between cannot be noticed, as parts have no numbers.
 */
public fun chatSequence(): ChatSequence = PartSequence()

private class PartSequence : ChatSequence {
    private var completion: String? = null
    private var hasLastPart = false

    override var isEnded = false
        private set

    override fun accept(event: ChatEvent): String? =
        when (event) {
            ChatEvent.End -> acceptEnd()
            is ChatEvent.Part -> acceptPart(event)
        }

    private fun acceptEnd(): String? {
        if (isEnded) return "a second end mark"
        if (!hasLastPart) return "the end mark before the last part"
        isEnded = true
        return null
    }

    private fun acceptPart(part: ChatEvent.Part): String? {
        if (isEnded) return "a part behind the end mark"
        val first = completion ?: part.completion
        if (part.completion != first) return "a part of another completion"
        completion = first
        if (part.isLast) hasLastPart = true
        return null
    }
}
