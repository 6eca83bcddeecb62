package org.quetzalloom.tool.operation

import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests the text form of explanations. */
class ExplanationTableTest {
    @Test
    fun `the verdict comes first, and each server has a line`() {
        val body = """{"verdict":{"outcome":"waits","up_to_ms":250,"then":{"outcome":"refused"}},"route":null,
            "servers":[{"server":"s-1","version":"v1","left_out_for":["draining","cold"],"load":3}]}"""
        val lines = ExplanationTable.text(body).lines()
        assertEquals("verdict: outcome=waits up_to_ms=250 then (outcome=refused)", lines[0])
        assertEquals("route: -", lines[1])
        assertEquals("server\tzone\tversion\trank\tleft_out_for", lines[2].substringBefore("\tforecast"))
        assertEquals("s-1\t-\tv1\t-\tdraining,cold\t-\t-\t3\t-\t-\t-\t-", lines[3])
    }
}
