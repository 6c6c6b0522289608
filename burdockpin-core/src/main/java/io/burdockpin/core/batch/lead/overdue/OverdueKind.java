package io.burdockpin.core.batch.lead.overdue;

import java.util.List;
import java.util.function.Consumer;

import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * Kind of work that goes on by itself on a healthy fleet. Finds the open work of its kind
 * in the leader's state; work that remains open for longer than the bound is overdue.
 */
public enum OverdueKind {

	/**
	 * A run on an incarnation of a runner that is not registered. No leader has a session
	 * with it, so the run is neither ordered nor released.
	 */
	RUN_WITHOUT_RUNNER {

		// The state ends the runs of a runner with its registration, so there is none for
		// any time.
		@Override
		long boundMillis(LeaderSettings settings) {
			return 0;
		}

		@Override
		void findOpen(OpenWork work, Consumer<String> open) {
			for (RunnerKey key : work.state().runs().runners()) {
				if (!work.sessions().containsKey(key)) {
					work.state().runs().on(key).forEach((run) -> open.accept(idOf(run)));
				}
			}
		}

	},

	/**
	 * The oldest end that a runner has listed, because it is not acknowledged. It stands
	 * for the later ends of that runner. Includes a runner that the leader no longer asks
	 * because it waits for the commit of an end.
	 */
	END_NOT_ACKNOWLEDGED {

		// An end of a run that was replaced waits for the lease of its runner to expire.
		@Override
		long boundMillis(LeaderSettings settings) {
			return removalMillis(settings) + RECOVERY_MILLIS;
		}

		@Override
		void findOpen(OpenWork work, Consumer<String> open) {
			for (RunnerSession session : work.sessions().values()) {
				session.oldestListedEnd()
					.ifPresent((number) -> open.accept("end " + number + " of " + session.runner().key()));
			}
		}

	},

	/** A registered runner that has never answered this leader. */
	FIRST_CONTACT_NOT_ANSWERED {

		@Override
		long boundMillis(LeaderSettings settings) {
			return removalMillis(settings) + RECOVERY_MILLIS;
		}

		@Override
		void findOpen(OpenWork work, Consumer<String> open) {
			for (RunnerSession session : work.sessions().values()) {
				if (!session.hasBeenContacted()) {
					open.accept(session.runner().key().toString());
				}
			}
		}

	},

	/**
	 * A step whose tasks wait although the latest plan has left capacity free that they
	 * may use. Includes a job of an earlier version whose queue is not known, since none
	 * of its tasks is planned.
	 */
	STEP_NOT_PLANNED {

		@Override
		long boundMillis(LeaderSettings settings) {
			return UNPLANNED_MILLIS;
		}

		@Override
		void findOpen(OpenWork work, Consumer<String> open) {
			for (BatchJob job : work.state().activeJobs()) {
				job.configuredQueue()
					.ifPresentOrElse(
							(queue) -> job.occurrences()
								.forEach((occurrence) -> findSteps(work, job, queue, occurrence, open)),
							() -> open.accept(job.id() + " of unknown queue " + job.queueName()));
			}
		}

		private void findSteps(OpenWork work, BatchJob job, BatchQueue queue, Occurrence occurrence,
				Consumer<String> open) {
			List<StepTasks> steps = occurrence.steps();
			for (int number = 0; number < steps.size(); number++) {
				StepTasks step = steps.get(number);
				boolean isWaiting = step.waitingCount() > 0 && occurrence.isReady(number);
				TaskId first = new TaskId(job.id(), occurrence.number(), number, 0);
				if (isWaiting && work.capacity().hasRoomFor(first, job.workspace(), queue.pool(), step)) {
					open.accept("%s.%d.%d".formatted(job.id(), occurrence.number(), number));
				}
			}
		}

	},

	/** A run that goes on although its job was cancelled or has ended. */
	CANCEL_WITHOUT_END {

		// The stop is ordered again until the runner answers or its lease has expired.
		@Override
		long boundMillis(LeaderSettings settings) {
			return settings.sessions().earlierLeaseExpiryMillis() + RECOVERY_MILLIS;
		}

		@Override
		void findOpen(OpenWork work, Consumer<String> open) {
			BatchState state = work.state();
			state.runs().forEach((run) -> {
				if (!state.isActive(run.task().job())) {
					open.accept(idOf(run));
				}
			});
		}

	},

	/** A move of a host to another pool that is not completed. */
	MOVE_WITHOUT_END {

		// A new leader waits for the handover delay. A move that has begun ends after
		// four times its expected duration, even if no runner announces itself.
		@Override
		long boundMillis(LeaderSettings settings) {
			return settings.balance().handOverPauseMillis() + 4L * settings.balance().lookAheadMillis()
					+ WAITING_ORDERS_MILLIS + RECOVERY_MILLIS;
		}

		@Override
		void findOpen(OpenWork work, Consumer<String> open) {
			work.state()
				.moves()
				.values()
				.forEach((move) -> open.accept("%s to %s".formatted(move.host(), move.pool())));
		}

	};

	/** Allows for retries and for a leader that is short of processor time. */
	private static final long RECOVERY_MILLIS = 10_000;

	/**
	 * A plan is made at least every 100 ms and uses all capacity that it may, so this
	 * allows for a hundred of them, or for commits that are held up by an election.
	 */
	private static final long UNPLANNED_MILLIS = 10_000;

	/**
	 * Orders for a whole fleet of 770 hosts wait about this long at the rate that the
	 * platform accepts.
	 */
	private static final long WAITING_ORDERS_MILLIS = 15_000;

	/**
	 * Returns the time after which open work is overdue.
	 * @param settings settings of the leader
	 * @return bound in milliseconds
	 */
	abstract long boundMillis(LeaderSettings settings);

	/**
	 * Finds the open work.
	 * @param work what the leader sees of its open work
	 * @param open accepts the identifier of each open item; the same item has the same
	 * identifier each time
	 */
	abstract void findOpen(OpenWork work, Consumer<String> open);

	// A runner that is gone is removed once its lease has expired and its latest
	// announcement is older than the retention time.
	private static long removalMillis(LeaderSettings settings) {
		return Math.max(settings.sessions().earlierLeaseExpiryMillis(), settings.runnerRetentionMillis());
	}

	private static String idOf(Run run) {
		return "%s run %d at %s".formatted(run.task(), run.number(), run.runner());
	}

}
