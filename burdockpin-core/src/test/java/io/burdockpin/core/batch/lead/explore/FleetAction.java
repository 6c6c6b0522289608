package io.burdockpin.core.batch.lead.explore;

import java.util.function.Consumer;

/** What callers, operators, runners, hosts and the network may do. */
enum FleetAction {

	SUBMIT(10, (model) -> model.submit(model.random(1, 4), model.random(1, 7), false)),

	SUBMIT_GANG(4, (model) -> model.submit(model.random(1, 3), model.random(2, 6), true)),

	SUBMIT_LONG_RUNNING(1, (model) -> model.submitLongRunning(model.random(1, 4))),

	SUBMIT_TIMED(2, (model) -> model.submitTimed(model.random(1, 4), model.random(1, 4), model.random(200, 2_000))),

	CANCEL(3, FleetModel::cancel),

	RESTART_WITH_SAME_ID(5,
			(model) -> model.platform().crash(model.randomHost(), ModelPlatform.Identity.SAME, restartMillis(model))),

	RESTART_WITH_OTHER_ID(3,
			(model) -> model.platform().crash(model.randomHost(), ModelPlatform.Identity.OTHER, restartMillis(model))),

	RESTART_ON_EACH_OTHERS_HOST(3,
			(model) -> model.platform().swap(model.randomHost(), model.randomHost(), restartMillis(model))),

	DRAIN(2, (model) -> model.drain(model.randomHost(), restartMillis(model))),

	CUT_TO(2, (model) -> model.network().cutTo(model.randomHost(), model.random(300, 9_000))),

	CUT_FROM(2, (model) -> model.network().cutFrom(model.randomHost(), model.random(300, 9_000))),

	CUT(3, (model) -> {
		String host = model.randomHost();
		long millis = model.random(300, 9_000);
		model.network().cutTo(host, millis);
		model.network().cutFrom(host, millis);
	}),

	CHANGE_LEADER(3, (model) -> model.scheduler().changeLeader(model.random(1, 1_500))),

	REFUSE_PROPOSAL(1, (model) -> model.scheduler().refuseProposal()),

	RESTORE_SNAPSHOT(2, (model) -> model.scheduler().restoreStandby()),

	SLOW_LOG(2, (model) -> model.scheduler().log().setSlowShare(0.3)),

	LOSE_MESSAGES(1, (model) -> model.network().disturb(0.05, 0.05, 0.03)),

	CALM_NETWORK(2, (model) -> model.network().disturb(0, 0, 0)),

	DROP_ROUTE(1, (model) -> model.dropRoute(model.random(0, 2) == 0)),

	ADD_ROUTES(1, FleetModel::addAllRoutes),

	ANNOUNCE_FOREIGN(2, FleetModel::announceForeign),

	START_WAVE(1, (model) -> model.startWave(model.random(1, 5), model.random(1, 3)));

	private final int weight;

	private final Consumer<FleetModel> effect;

	FleetAction(int weight, Consumer<FleetModel> effect) {
		this.weight = weight;
		this.effect = effect;
	}

	int weight() {
		return this.weight;
	}

	void perform(FleetModel model) {
		this.effect.accept(model);
	}

	private static int restartMillis(FleetModel model) {
		int bound = (model.random(0, 2) == 0) ? 300 : 10_000;
		return model.random(20, bound);
	}

}
