package org.quetzalloom.core.collection

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.quetzalloom.core.rig.seeds
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Compares the operations on immutable collections that the code uses with those on the collections of Kotlin. The
 * list `removeAll` returned held nulls where the first 32, 64, 96 … elements of a longer list were to remain.
 */
class PersistentCollectionsTest {
    @Test
    fun `the first elements of a list remain whole when all others are removed`() {
        for (size in 0..LARGEST_SIZE) {
            val list = (0 until size).toPersistentList()
            for (kept in 0..size) {
                assertEquals((0 until kept).toList(), list.without { it >= kept }.toList(), "$kept of $size")
            }
        }
    }

    @Test
    fun `operations on lists agree with those on plain lists`() = forEachSeed { seed, random ->
        var plain = emptyList<Int>()
        var list = persistentListOf<Int>()
        repeat(STEPS) { step ->
            val (name, onPlain, onList) = listOperations(random, plain).random(random)
            plain = onPlain(plain)
            list = onList(list)
            assertEquals(plain, list.toList(), "$name, step $step, seed $seed")
            assertEquals(plain.size, list.size, "$name, step $step, seed $seed")
        }
    }

    @Test
    fun `operations on sets agree with those on plain sets`() = forEachSeed { seed, random ->
        var plain = emptySet<Int>()
        var set = persistentSetOf<Int>()
        repeat(STEPS) { step ->
            val (name, onPlain, onSet) = setOperations(random).random(random)
            plain = onPlain(plain)
            set = onSet(set)
            assertEquals(plain.toList(), set.toList(), "$name, step $step, seed $seed")
        }
    }

    @Test
    fun `operations on maps agree with those on plain maps`() = forEachSeed { seed, random ->
        var plain = emptyMap<Int, Int>()
        var map = persistentMapOf<Int, Int>()
        var hashMap = persistentHashMapOf<Int, Int>()
        repeat(STEPS) { step ->
            val (name, onPlain, onMap) = mapOperations(random).random(random)
            plain = onPlain(plain)
            map = onMap(map)
            hashMap = onMap(hashMap).toPersistentHashMap()
            assertEquals(plain.toList(), map.toList(), "$name, step $step, seed $seed")
            assertEquals(plain, hashMap.toMap(), "$name, step $step, seed $seed")
        }
    }

    private class Operation<P, I>(val name: String, val onPlain: (P) -> P, val onImmutable: (I) -> I) {
        operator fun component1() = name
        operator fun component2() = onPlain
        operator fun component3() = onImmutable
    }

    private fun listOperations(random: Random, current: List<Int>): List<Operation<List<Int>, PersistentList<Int>>> {
        val many = numbers(random)
        val one = current.randomOrNull(random) ?: 0
        val kept = if (current.isEmpty()) 0 else boundary(random).coerceAtMost(current.size)
        val divisor = random.nextInt(2, 8)
        val prefix = current.take(kept).toSet()
        return listOf(
            Operation("add", { it + one }, { it.add(one) }),
            Operation("addAll", { it + many }, { it.addAll(many) }),
            Operation("plus", { it + many }, { it + many.toPersistentList() }),
            Operation("remove", { it - one }, { it.remove(one) }),
            Operation("removeAt(0)", { it.drop(1) }, { if (it.isEmpty()) it else it.removeAt(0) }),
            Operation("drop", { it.drop(kept) }, { it.drop(kept).toPersistentList() }),
            Operation("take", { it.take(kept) }, { it.take(kept).toPersistentList() }),
            Operation("without", { it.filterNot { e -> e !in prefix } }, { it.without { e -> e !in prefix } }),
            Operation("without", { it.filterNot { e -> e % divisor == 0 } }, { it.without { e -> e % divisor == 0 } }),
        )
    }

    private fun setOperations(random: Random): List<Operation<Set<Int>, PersistentSet<Int>>> {
        val many = numbers(random)
        val one = many.random(random)
        return listOf(
            Operation("add", { it + one }, { it.add(one) }),
            Operation("remove", { it - one }, { it.remove(one) }),
            Operation("addAll", { it + many }, { it.addAll(many) }),
            Operation("plus", { it + many }, { it + many }),
            Operation("minus", { it - many.toSet() }, { (it - many.toSet()).toPersistentSet() }),
            Operation("filter", { it.filter(::isEven).toSet() }, { it.filter(::isEven).toPersistentSet() }),
        )
    }

    private fun mapOperations(random: Random): List<Operation<Map<Int, Int>, PersistentMap<Int, Int>>> {
        val many = numbers(random)
        val one = many.random(random)
        return listOf(
            Operation("put", { it + (one to 1) }, { it.put(one, 1) }),
            Operation("remove", { it - one }, { it.remove(one) }),
            Operation(
                "fold with put",
                { many.fold(it) { map, key -> map + (key to 2) } },
                { many.fold(it) { map, key -> map.put(key, 2) } },
            ),
            Operation(
                "fold with remove",
                { many.fold(it) { map, key -> map - key } },
                { many.fold(it) { map, key -> map.remove(key) } },
            ),
            Operation(
                "mutate with computeIfPresent",
                { map -> map.mapValues { (key, value) -> if (key in many) value + 1 else value } },
                { map ->
                    map.mutate { all ->
                        many.distinct().forEach { key -> all.computeIfPresent(key) { _, value -> value + 1 } }
                    }
                },
            ),
            Operation(
                "filterValues",
                { it.filterValues(::isEven) },
                { it.filterValues(::isEven).toPersistentMap() },
            ),
        )
    }

    private fun isEven(number: Int): Boolean = number % 2 == 0

    private fun numbers(random: Random): List<Int> =
        List(boundary(random).coerceAtLeast(1)) { random.nextInt(LARGEST_SIZE) }

    /** Returns a number that is often at or beside a multiple of the size of the lists' inner arrays. */
    private fun boundary(random: Random): Int =
        (random.nextInt(4) * ARRAY_SIZE + random.nextInt(-1, 2)).coerceAtLeast(0)

    private fun forEachSeed(check: (Long, Random) -> Unit) = seeds(SEEDS).forEach { check(it, Random(it)) }

    private companion object {
        const val LARGEST_SIZE = 200
        const val ARRAY_SIZE = 32
        const val STEPS = 60
        const val SEEDS = 40
    }
}
