package org.lycheemount.quarantine

/** Prompts that are suspected of one crash, bounded so that a report of them fits into a row of the store. Not thread-safe. */
internal class Suspects {
    private val added = ArrayList<PromptSegments>()
    private var segmentCount = 0

    /** All suspects that were kept, in order. */
    val prompts: List<PromptSegments> get() = added

    /** Adds [prompt] unless there are too many suspects, or it has more segments than are left. The first one is always kept. */
    fun add(prompt: PromptSegments) {
        val count = prompt.shared.size + 1
        if (added.isNotEmpty() && (added.size >= MAX_PROMPTS || segmentCount + count > MAX_SEGMENTS)) return
        added += prompt
        segmentCount += count
    }

    internal companion object {
        const val MAX_PROMPTS = 200

        /** Twenty for each of [MAX_PROMPTS]. */
        const val MAX_SEGMENTS = 4_000
    }
}
