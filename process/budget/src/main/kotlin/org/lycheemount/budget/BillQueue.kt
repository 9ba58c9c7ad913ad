package org.lycheemount.budget

import org.lycheemount.common.RequestId

/** A bill that is not in the table yet. */
internal class UnwrittenBill(
    val bill: Bill,
    val grant: Grant,
    val account: BudgetAccount,
    val reservation: Reservation,
) {
    /** Set once a peer has acknowledged its copy. */
    @Volatile
    var replicated: Boolean = false
}

/** Bills of this router that are not in the table yet, oldest first. Safe to call from any thread. */
internal class BillQueue {
    private val bills = LinkedHashMap<RequestId, UnwrittenBill>()

    @Synchronized
    fun add(bill: UnwrittenBill) {
        bills[bill.bill.requestId] = bill
    }

    @Synchronized
    fun oldest(limit: Int): List<UnwrittenBill> = bills.values.take(limit)

    @Synchronized
    fun notReplicated(limit: Int): List<UnwrittenBill> =
        bills.values
            .asSequence()
            .filter { !it.replicated }
            .take(limit)
            .toList()

    @Synchronized
    fun all(): List<UnwrittenBill> = bills.values.toList()

    /** Removes bills that are in the table. */
    @Synchronized
    fun remove(written: List<UnwrittenBill>) = written.forEach { bills.remove(it.bill.requestId) }

    /** Forgets which bills have a copy, after the peer that held the copies was lost. */
    @Synchronized
    fun clearReplicated() = bills.values.forEach { it.replicated = false }

    @Synchronized
    fun size(): Int = bills.size
}
