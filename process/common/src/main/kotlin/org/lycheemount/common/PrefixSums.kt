package org.lycheemount.common

import kotlin.random.Random

/**
 * Weighted elements in an order, and the sum of the weights of the first of them. Each operation takes a time that is logarithmic in the
 * number of elements, since the tree is balanced by random priorities. Not thread-safe.
 *
 * @param order total order of the elements, which must not change for an element that has been added.
 */
internal class PrefixSums<T>(
    private val order: Comparator<T>,
) {
    private var root: Node<T>? = null
    private val random = Random(SEED)

    /** Number of elements. */
    var size = 0
        private set

    /** Adds [element], which has not been added. */
    fun add(
        element: T,
        weight: Long,
    ) {
        val (before, after) = split(root) { order.compare(it, element) < 0 }
        root = join(join(before, Node(element, weight, random.nextInt())), after)
        size++
    }

    /** Removes [element], which has been added. */
    fun remove(element: T) {
        val (before, rest) = split(root) { order.compare(it, element) < 0 }
        val (removed, after) = split(rest) { order.compare(it, element) == 0 }
        checkNotNull(removed) { "the element has not been added" }
        root = join(before, after)
        size--
    }

    /** Sum of the weights of the elements for which [isBefore] holds, which must be the first ones. */
    fun sumOfFirst(isBefore: (T) -> Boolean): Long {
        var sum = 0L
        var node = root
        while (node != null) {
            if (isBefore(node.element)) {
                sum += node.left.sum + node.weight
                node = node.right
            } else {
                node = node.left
            }
        }
        return sum
    }

    /** Splits [tree] behind the elements for which [isBefore] holds. */
    private fun split(
        tree: Node<T>?,
        isBefore: (T) -> Boolean,
    ): Pair<Node<T>?, Node<T>?> {
        if (tree == null) return null to null
        if (isBefore(tree.element)) {
            val (before, after) = split(tree.right, isBefore)
            tree.right = before
            tree.updateSum()
            return tree to after
        }
        val (before, after) = split(tree.left, isBefore)
        tree.left = after
        tree.updateSum()
        return before to tree
    }

    /** Joins two trees, where all elements of [before] come before those of [after]. */
    private fun join(
        before: Node<T>?,
        after: Node<T>?,
    ): Node<T>? {
        if (before == null) return after
        if (after == null) return before
        if (before.priority > after.priority) {
            before.right = join(before.right, after)
            return before.apply { updateSum() }
        }
        after.left = join(before, after.left)
        return after.apply { updateSum() }
    }

    private class Node<T>(
        val element: T,
        val weight: Long,
        val priority: Int,
    ) {
        var left: Node<T>? = null
        var right: Node<T>? = null

        /** Sum of the weights of this node and all below it. */
        var subtreeSum = weight
            private set

        fun updateSum() {
            subtreeSum = left.sum + weight + right.sum
        }
    }

    private companion object {
        private const val SEED = 1
        private val Node<*>?.sum: Long get() = this?.subtreeSum ?: 0
    }
}
