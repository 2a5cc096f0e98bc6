package org.apricotstack.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.TestClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class GroupSchedulerTest {

    private static final GroupId GROUP = new GroupId("g");
    private static final long MEMORY = 100_000;

    private final TestClock clock = new TestClock();
    private final SchedulerOptions options = new SchedulerOptions(
            FleetLimits.DEFAULT, new ResponseRatioQueueOrder(0.5), 0.2, new LeastFirstTokenUpstreamChooser());
    private final GroupScheduler scheduler = new GroupScheduler(GROUP, options, clock);
    private int requests;

    @BeforeEach
    void registerFourEngines() {
        scheduler.update(options, engines(4), Set.of());
    }

    private static List<Upstream> engines(int count) {
        List<Upstream> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new Upstream(
                    new UpstreamId("e" + i), GROUP, new Address("127.0.0.1", 1), MEMORY, 8, true, true, ""));
        }
        return engines;
    }

    private QueuedAttempt item(long prompt, long limitMillis) {
        Work work = new Work(
                new ClientAccountId("a"), new ServiceId("s"), prompt, 10, List.of(), new byte[0], null, true, 1);
        AttemptId attempt = new AttemptId(new RequestId("r" + requests++), 1);
        DispatchCommand command =
                new DispatchCommand(attempt, GROUP, work, Deadline.in(clock, limitMillis), 0, Set.of());
        return new QueuedAttempt(command, FleetLimits.DEFAULT.lengthClass(prompt), 0, clock.nanos());
    }

    private static AttemptId id(QueuedAttempt item) {
        return item.command().attempt();
    }

    @Test
    void assignsAllEnginesOfAPromptAtOnce() {
        QueuedAttempt item = item(200_000, 60_000);
        assertThat(scheduler.offer(item)).isNull();
        List<Assignment> started = scheduler.startReady();
        assertThat(started).hasSize(1);
        assertThat(started.get(0).upstreams()).hasSize(3).doesNotHaveDuplicates();
    }

    /**
     * Several prompts that exceed one engine run beside a flow of medium ones that end in random order. If a prompt
     * held some engines while waiting for others, such prompts would wait for each other forever; if later prompts
     * took each engine that becomes free, one of them would never start.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void startsEveryLongPromptEventually(long seed) {
        Random random = new Random(seed);
        List<AttemptId> running = new ArrayList<>();
        Set<AttemptId> longOnes = new HashSet<>();
        int startedLong = 0;
        for (int step = 0; step < 400; step++) {
            boolean isLong = step < 100 && step % 20 == 0;
            QueuedAttempt item = isLong ? item(250_000, 3_600_000) : item(5_000 + random.nextInt(60_000), 3_600_000);
            scheduler.offer(item);
            if (isLong) {
                longOnes.add(id(item));
            }
            clock.advanceMillis(50);
            for (Assignment started : scheduler.startReady()) {
                AttemptId attempt = id(started.queued());
                running.add(attempt);
                startedLong += longOnes.contains(attempt) ? 1 : 0;
            }
            if (!running.isEmpty()) {
                AttemptId ended = running.remove(random.nextInt(running.size()));
                scheduler.firstToken(ended);
                scheduler.completed(ended, 10);
            }
        }
        assertThat(startedLong).isEqualTo(5);
    }

    /**
     * Dozens of longer prompts wait for free memory and are rated first because of their waiting time. When a round
     * stopped after a number of failed placements over all classes, short prompts waited although engines had memory
     * for them.
     */
    @Test
    void reservesAShareOfMemoryForShortPrompts() {
        for (int i = 0; i < 40; i++) {
            scheduler.offer(item(50_000, 60_000));
        }
        while (!startAll().isEmpty()) {
            clock.advanceMillis(1);
        }
        scheduler.offer(item(1_000, 60_000));
        assertThat(scheduler.startReady()).hasSize(1);
    }

    private List<Assignment> startAll() {
        List<Assignment> started = scheduler.startReady();
        started.forEach(assignment -> scheduler.firstToken(id(assignment.queued())));
        return started;
    }

    @Test
    void startsAShortPromptBeforeLongOnesThatArrivedEarlier() {
        for (int i = 0; i < 8; i++) {
            scheduler.offer(item(70_000, 60_000));
        }
        scheduler.startReady();
        scheduler.offer(item(70_000, 60_000));
        clock.advanceMillis(100);
        QueuedAttempt shortOne = item(1_000, 60_000);
        scheduler.offer(shortOne);
        clock.advanceMillis(100);
        assertThat(scheduler.startReady().get(0).queued()).isEqualTo(shortOne);
    }

    @Test
    void refusesWhatCannotFinishInTimeOnceItHasEnoughSamples() {
        assertThat(scheduler.offer(item(90_000, 10))).isNull();
        scheduler.cancelWaiting(new AttemptId(new RequestId("r0"), 1));
        for (int i = 0; i < 40; i++) {
            QueuedAttempt item = item(10_000, 60_000);
            scheduler.offer(item);
            scheduler.startReady();
            clock.advanceMillis(500);
            scheduler.firstToken(id(item));
            clock.advanceMillis(100);
            scheduler.completed(id(item), 10);
        }
        Refusal refusal = scheduler.offer(item(90_000, 1_000));
        assertThat(refusal.reason()).isEqualTo(RefusalReason.CANNOT_FINISH_IN_TIME);
        assertThat(scheduler.offer(item(90_000, 60_000))).isNull();
    }

    @Test
    void refusesADuplicateAttempt() {
        QueuedAttempt item = item(1_000, 60_000);
        scheduler.offer(item);
        assertThat(scheduler.offer(item).reason()).isEqualTo(RefusalReason.DUPLICATE_ATTEMPT);
        scheduler.startReady();
        assertThat(scheduler.offer(item).reason()).isEqualTo(RefusalReason.DUPLICATE_ATTEMPT);
    }

    @Test
    void ejectsFailingEnginesButNeverMoreThanHalf() {
        for (int i = 0; i < 40; i++) {
            QueuedAttempt item = item(1_000, 60_000);
            scheduler.offer(item);
            scheduler.startReady().forEach(assignment -> scheduler.failed(id(assignment.queued()), true));
        }
        assertThat(scheduler.status()).filteredOn(UpstreamStatus::ejected).hasSize(2);
        assertThat(scheduler.load().liveUpstreams()).isEqualTo(2);
    }

    @Test
    void dropsARemovedEngineOnceItsWorkHasEnded() {
        QueuedAttempt item = item(1_000, 60_000);
        scheduler.offer(item);
        scheduler.startReady();
        scheduler.update(options, List.of(), Set.of());
        assertThat(scheduler.status()).hasSize(1);
        scheduler.completed(id(item), 1);
        scheduler.update(options, List.of(), Set.of());
        assertThat(scheduler.status()).isEmpty();
    }
}
