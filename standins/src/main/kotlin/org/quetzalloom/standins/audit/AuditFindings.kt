package org.quetzalloom.standins.audit

import kotlinx.serialization.Serializable
import org.quetzalloom.standins.load.LoadSample
import org.quetzalloom.standins.service.ExecutedCall
import org.quetzalloom.wire.log.RecordDocument

/**
 * What an audit found.
 *
 * @property answered the requests that were answered whole.
 * @property billed the requests with a bill; copies of a bill are one.
 * @property bills the bills in the log, copies included.
 * @property answersWithoutBill the requests answered whole without a bill, at least.
 * @property ran the commands in the books.
 * @property ranTwice the keys of commands that ran more than once.
 * @property falselyNotRun the keys of commands that ran though their caller was told otherwise.
 * @property answeredButNotRun the keys of commands that were answered and are not in the books.
 */
@Serializable
data class AuditFindings(
    val answered: Int,
    val billed: Int,
    val bills: Int,
    val answersWithoutBill: Int,
    val ran: Int,
    val ranTwice: List<String> = emptyList(),
    val falselyNotRun: List<String> = emptyList(),
    val answeredButNotRun: List<String> = emptyList(),
) {
    /** Whether every answer is billed and no command ran twice, was refused falsely, or was lost. */
    val isClean: Boolean
        get() = answersWithoutBill == 0 && ranTwice.isEmpty() && falselyNotRun.isEmpty() && answeredButNotRun.isEmpty()

    companion object {
        /** Compares [samples] of callers with [executedCalls] of services and [bills] of the log. */
        fun of(
            samples: List<LoadSample>,
            executedCalls: List<ExecutedCall>,
            bills: List<RecordDocument.OfBill>,
        ): AuditFindings {
            val executionCounts = executedCalls
                .mapNotNull { it.scope }
                .groupingBy { it.substringAfter('/') }
                .eachCount()
            val whole = samples.filter { it.result == "whole" }
            val billed = bills.map { it.bill.identity }.toSet()
            val commands = samples.filter { it.key != null }
            return AuditFindings(
                answered = whole.size,
                billed = billed.size,
                bills = bills.size,
                answersWithoutBill = (whole.size - billed.size).coerceAtLeast(0),
                ran = executionCounts.size,
                ranTwice = executionCounts.filterValues { it > 1 }.keys.sorted(),
                falselyNotRun = commands.filter { it.notRun && it.key in executionCounts }.mapNotNull { it.key },
                answeredButNotRun = commands.filter { it.result == "whole" && it.key !in executionCounts }
                    .mapNotNull { it.key },
            )
        }
    }
}
