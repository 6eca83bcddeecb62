package org.quetzalloom.core.rig

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The kinds of fault that a test can inject. */
enum class Fault {
    KILL_VM,
    FREEZE_VM,
    LOG_DOWN,
    LOSE_APPEND_ANSWERS,
    CUT_FROM_LOG,
    CUT_FROM_PEERS,
    BREAK_CONNECTIONS,
    SILENCE_CONNECTIONS,
    RESTART_SERVER,
    ;

    companion object {
        /** The faults of VMs, of the log and of the network between them, without those of backend servers. */
        val ofPlatform: PersistentList<Fault> =
            persistentListOf(KILL_VM, FREEZE_VM, LOG_DOWN, LOSE_APPEND_ANSWERS, CUT_FROM_LOG, CUT_FROM_PEERS)
    }
}

/** Injects [fault] now, at a random VM or backend server and for a random time, both drawn from the rig's seed. */
fun Rig.inject(fault: Fault) {
    val duration = random.nextLong(50, 2_500)
    val vm = Fleet.vms.random(random)
    val server = servers.values.sortedBy { it.server.id }.random(random)
    trace.add("${schedule.now} fault $fault on $vm or ${server.server.id} for $duration ms")
    when (fault) {
        Fault.KILL_VM -> {
            kill(vm)
            schedule.after(duration) { if (vm !in up) start(vm) }
        }
        Fault.FREEZE_VM -> {
            freeze(vm)
            schedule.after(duration) { unfreeze(vm) }
        }
        Fault.LOG_DOWN -> {
            log.down = true
            schedule.after(duration) { log.down = false }
        }
        Fault.LOSE_APPEND_ANSWERS -> log.lostAnswers += random.nextInt(1, 4)
        Fault.CUT_FROM_LOG -> {
            cutFromLog.add(vm)
            schedule.after(duration) { cutFromLog.remove(vm) }
        }
        Fault.CUT_FROM_PEERS -> {
            cutFromPeers.add(vm)
            schedule.after(duration) { cutFromPeers.remove(vm) }
        }
        Fault.BREAK_CONNECTIONS -> server.breakConnections()
        Fault.SILENCE_CONNECTIONS -> server.silence()
        Fault.RESTART_SERVER -> server.restart()
    }
}

/** Injects [count] faults, drawn from [faults], at random times within the next [milliseconds]. */
fun Rig.injectWithin(milliseconds: Long, count: Int, faults: List<Fault>) = repeat(count) {
    schedule.after(random.nextLong(milliseconds)) { inject(faults.random(random)) }
}
