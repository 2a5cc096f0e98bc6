package org.apricotstack.serving;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.apricotstack.core.id.ProcessId;

/** Creates the random number generator of a process. */
final class ProcessRandom {

    private ProcessRandom() {}

    /** Creates a generator. The library's factory would load the classes of all its generators first. */
    static UniformRandomProvider of(ProcessId process) {
        SplitMix64 seeds = new SplitMix64(process.hashCode());
        return new XoRoShiRo128PlusPlus(seeds.nextLong(), seeds.nextLong());
    }
}
