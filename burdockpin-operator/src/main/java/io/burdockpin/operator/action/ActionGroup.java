package io.burdockpin.operator.action;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The first word on the command line: a kind of object and what can be done with it. */
public enum ActionGroup {

	/** Pools of hosts. */
	POOL("pools of hosts and their budgets", PoolAction.values()),

	/** Hosts. */
	HOST("hosts: add, move, drain, return, forget", HostAction.values()),

	/** Teams. */
	TEAM("teams, their shares and upper limits", TeamAction.values()),

	/** Team keys. */
	KEY("team keys", KeyAction.values()),

	/** Queues. */
	QUEUE("queues of requests", QueueAction.values()),

	/** Campaigns. */
	CAMPAIGN("maintenance campaigns", CampaignAction.values()),

	/** Jobs. */
	JOB("jobs", JobAction.values()),

	/** Data centres of the batch scheduler. */
	DATA_CENTRE("data centres of the batch scheduler: show, close, open", DataCentreAction.values()),

	/** Control members. */
	MEMBER("members of the control group", MemberAction.values()),

	/** Explanations. */
	EXPLAIN("why a job, host or error code is as it is", ExplainAction.values()),

	/** Measures of the fleet. */
	REPORT("buffer cost, roll-out time, job moves and nearness to share", ReportAction.REPORT),

	/** The fleet at a glance. */
	STATUS("the fleet at a glance", StatusAction.STATUS);

	private final String help;

	private final List<Action> actions;

	ActionGroup(String help, Action... actions) {
		this.help = help;
		this.actions = List.of(actions);
	}

	/**
	 * Returns the word on the command line.
	 * @return the name in lower case with hyphens
	 */
	public String word() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns what the group is about.
	 * @return a few words
	 */
	public String help() {
		return this.help;
	}

	/**
	 * Returns the actions.
	 * @return all of them
	 */
	public List<Action> actions() {
		return this.actions;
	}

	/**
	 * Tells whether the group is an action of its own.
	 * @return {@code true} if no second word follows
	 */
	public boolean isSingle() {
		return this.actions.size() == 1;
	}

	/**
	 * Finds an action.
	 * @param word the first word
	 * @param verb the second word
	 * @return the action
	 */
	public static Optional<Action> find(String word, String verb) {
		return Arrays.stream(values())
			.filter((group) -> group.word().equals(word))
			.flatMap((group) -> group.actions.stream())
			.filter((action) -> action.verb().equals(verb))
			.findFirst();
	}

}
