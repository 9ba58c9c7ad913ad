package org.lycheemount.budget

import org.lycheemount.common.RequestId

/** A bill that is not yet in the table. */
internal class UnwrittenBill(
    val bill: Bill,
    val grant: Grant,
    val account: BudgetAccount,
    val reservation: Reservation,
) {
    /** True once a peer has acknowledged a replica of the bill. */
    @Volatile
    var replicated: Boolean = false
}

/** Bills of this router that are not yet in the table, oldest first. Thread-safe. */
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

    /** Marks all bills as not replicated after the peer with their replicas was lost. */
    @Synchronized
    fun clearReplicated() = bills.values.forEach { it.replicated = false }

    @Synchronized
    fun size(): Int = bills.size
}
