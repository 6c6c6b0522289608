package io.burdockpin.operator.output;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.operator.OperatorReply;

/**
 * What an action has to say. Immutable.
 *
 * @param lines the text form
 * @param json the JSON form: a map or a list of maps
 * @param warnings what goes to standard error
 */
public record Report(List<String> lines, Object json, List<String> warnings) {

	public Report {
		lines = List.copyOf(lines);
		warnings = List.copyOf(warnings);
	}

	/**
	 * Reports a change.
	 * @param what what was changed
	 * @param reply the reply
	 * @return the report
	 */
	public static Report ofChange(String what, OperatorReply.Changed reply) {
		List<String> unconfirmed = reply.unconfirmed().stream().map(DataCentre::value).toList();
		Map<String, Object> json = new TreeMap<>();
		json.put("index", reply.index());
		json.put("version", reply.version());
		json.put("unconfirmed", unconfirmed);
		return new Report(List.of("%s: done, version %d".formatted(what, reply.version())), json,
				unconfirmedWarning(unconfirmed));
	}

	/**
	 * Reports the withdrawal of a key.
	 * @param reply the reply
	 * @return the report
	 */
	public static Report ofWithdrawal(OperatorReply.Withdrawn reply) {
		List<String> unconfirmed = reply.unconfirmed().stream().map(DataCentre::value).toList();
		List<String> warnings = new ArrayList<>(unconfirmedWarning(unconfirmed));
		if (!reply.committed()) {
			warnings.add("the withdrawal is in force at the entry host but not yet in the log; it is proposed again, "
					+ "after a restart only if the entry host has a data folder; send it again to see it committed");
		}
		return new Report(List.of("key: withdrawn" + (reply.committed() ? "" : ", not committed yet")),
				Map.of("committed", reply.committed(), "unconfirmed", unconfirmed), warnings);
	}

	/**
	 * Reports records.
	 * @param table the records
	 * @param answer the answer they come from
	 * @return the report
	 */
	public static Report ofTable(Table table, OperatorReply.Answered answer) {
		return new Report(table.lines(), table.objects(), staleWarning(answer));
	}

	/**
	 * Reports sentences.
	 * @param lines the sentences
	 * @return the report
	 */
	public static Report ofLines(List<String> lines) {
		return new Report(lines, lines, List.of());
	}

	/**
	 * Returns a warning if an answer may be stale.
	 * @param answer the answer
	 * @return at most one warning
	 */
	public static List<String> staleWarning(OperatorReply.Answered answer) {
		return answer.current() ? List.of()
				: List.of("no majority confirmed this answer; it may be stale (index %d)".formatted(answer.index()));
	}

	private static List<String> unconfirmedWarning(List<String> unconfirmed) {
		return unconfirmed.isEmpty() ? List.of()
				: List.of("not confirmed yet in data centre " + String.join(", ", unconfirmed));
	}

}
