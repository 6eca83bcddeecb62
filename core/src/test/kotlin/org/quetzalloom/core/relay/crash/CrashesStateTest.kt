package org.quetzalloom.core.relay.crash

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.RelayRig
import org.quetzalloom.core.relay.exchange.PromptPart
import org.quetzalloom.core.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What callers put into prompts cannot make the state or the beacons grow without bound. */
class CrashesStateTest {
    private val now = Timestamp(1_000_000)

    private fun request(number: Int, parts: Int) = RelayRig.prompt.copy(
        contentHash = number.toLong(),
        prompt = (0..parts).map { PromptPart("part-$number-$it-" + "x".repeat(1_000), tokens = 1) }.toPersistentList(),
    )

    @Test
    fun `keys are short and few, though parts have long ids and are many`() {
        val keys = request(number = 1, parts = 500).contentKeys
        assertEquals(33, keys.size)
        assertEquals(33, keys.toSet().size)
        assertTrue(keys.all { it.value.length <= 32 })
    }

    @Test
    fun `the oldest answers and the weakest evidence are dropped`() {
        val requests = (1..1_000).map { request(it, parts = 10) }
        val answered = requests.foldIndexed(CrashesState()) { index, crashes, request ->
            crashes.recordAnswer(request, now + index.toLong())
        }
        val lost = requests.fold(answered) { crashes, request ->
            request.contentKeys.fold(crashes) { current, key ->
                current.update(key, position = 1) { it.withLoss(ServerRun(1), now + 2_000) }
            }
        }
        val strong = ContentKey.ofPart("strong")
        val suspected = lost.update(strong, position = 1) {
            it.withLoss(ServerRun(1), now).withLoss(ServerRun(2), now + 1_000)
        }
        val pruned = suspected.prune(now + 3_000)
        assertEquals(256, pruned.evidence.size)
        assertTrue(strong in pruned.evidence)
        assertEquals(4_096, pruned.answered.size)
    }
}
