package io.burdockpin.core.maintenance;

import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.Records;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand.LendHost;
import io.burdockpin.core.state.ConfigurationCommand.ReturnHost;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.PoolRecord;
import org.junit.jupiter.api.Test;

/** Guards against spare hosts that are never lent or never returned. */
class SparePlannerTests {

	private static final PoolName SPARE = new PoolName("spare");

	private static final HostName HOST = Records.hostName(1);

	private static final HostRecord IN_HOME_POOL = new HostRecord(Records.host(1, HostState.IN_SERVICE).spec(), SPARE,
			HostState.IN_SERVICE, 1);

	private static final HostRecord LENT = IN_HOME_POOL.lentTo(Records.POOL, 2);

	private static final long SHORTAGE_MILLIS = MaintenanceSettings.DEFAULT.shortageMillis();

	private static final long IDLE_MILLIS = MaintenanceSettings.DEFAULT.idleMillis();

	private final SparePlanner planner = new SparePlanner(MaintenanceSettings.DEFAULT);

	private final List<JobRecord> waiting = List.of(Records.waiting("j-1", Records.spec("team-1", 1, false, true)));

	@Test
	void aSpareHostIsLentAfterAShortageAndReturnsOnceItIsIdle() {
		Truth.assertThat(plan(IN_HOME_POOL, this.waiting, 0)).isEmpty();
		Truth.assertThat(plan(IN_HOME_POOL, this.waiting, SHORTAGE_MILLIS))
			.containsExactly(new LendHost(HOST, Records.POOL));
		long lentMillis = SHORTAGE_MILLIS + 1;
		Truth.assertThat(plan(LENT, List.of(), lentMillis)).isEmpty();
		Truth.assertThat(plan(LENT, List.of(), lentMillis + IDLE_MILLIS - 1)).isEmpty();
		Truth.assertThat(plan(LENT, List.of(), lentMillis + IDLE_MILLIS)).containsExactly(new ReturnHost(HOST));
	}

	@Test
	void aNewLeaderReturnsAHostThatAnEarlierOneLentAfterTheFullIdleTime() {
		Truth.assertThat(plan(LENT, List.of(), 0)).isEmpty();
		this.planner.reset();
		Truth.assertThat(plan(LENT, List.of(), IDLE_MILLIS)).isEmpty();
		this.planner.reset();
		Truth.assertThat(plan(LENT, List.of(), IDLE_MILLIS + 1_000)).isEmpty();
		Truth.assertThat(plan(LENT, List.of(), 2 * IDLE_MILLIS + 1_000)).containsExactly(new ReturnHost(HOST));
	}

	@Test
	void aLentHostStaysWhileJobsWaitInThePoolThatBorrowedIt() {
		Truth.assertThat(plan(LENT, List.of(), 0)).isEmpty();
		Truth.assertThat(plan(LENT, this.waiting, IDLE_MILLIS)).isEmpty();
		Truth.assertThat(plan(LENT, List.of(), IDLE_MILLIS + 1)).isEmpty();
	}

	private List<Command> plan(HostRecord host, List<JobRecord> jobs, long nowMillis) {
		PoolRecord spare = new PoolRecord(SPARE, new AvailabilityBudget(0, 1000, 1000), true, 1);
		FleetView view = new FleetView(List.of(Records.pool(80, 2), spare), List.of(host), List.of(), jobs, List.of(),
				List.of());
		return this.planner.plan(view, JobIndex.of(jobs), nowMillis);
	}

}
