package org.quetzalloom.standins.audit

import kotlinx.serialization.Serializable
import org.quetzalloom.standins.load.LoadSample
import org.quetzalloom.standins.service.ExecutedCall
import org.quetzalloom.wire.log.RecordDocument

/**
 * The result of an audit: counts, and the commands on which callers, services and log disagree.
 *
 * @property answered the number of requests, completions and commands, that were answered completely and correctly.
 * @property billed the number of distinct requests with a bill.
 * @property bills the number of bills in the log, duplicates included.
 * @property answersWithoutBill the minimum number of answered requests without a bill: [answered] less [billed]. A bill
 *   for a request that was not answered hides a missing one.
 * @property ran the number of distinct commands that the services executed.
 * @property ranTwice the keys of commands that were executed more than once.
 * @property falselyNotRun the keys of commands that were executed although an error told the caller otherwise.
 * @property answeredButNotRun the keys of commands that were answered although no service executed them.
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
    /** Whether [answersWithoutBill] is 0 and the lists of commands are empty. */
    val isClean: Boolean
        get() = answersWithoutBill == 0 && ranTwice.isEmpty() && falselyNotRun.isEmpty() && answeredButNotRun.isEmpty()

    companion object {
        /**
         * Compares the [samples] of the callers with the [executedCalls] of the services and the [bills] in the log.
         *
         * The scope of an executed command is its workspace and its key, separated by a slash. Calls without a scope
         * are not commands and are left out. Commands are compared by key alone, so that keys must be unique across
         * workspaces, and the name of a workspace must not contain a slash.
         */
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
