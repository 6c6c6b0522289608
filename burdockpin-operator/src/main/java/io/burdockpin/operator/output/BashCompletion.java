package io.burdockpin.operator.output;

import java.util.Arrays;
import java.util.List;

import io.burdockpin.operator.action.Action;
import io.burdockpin.operator.action.ActionGroup;

/** Writes the completion script for bash. */
public final class BashCompletion {

	private BashCompletion() {
	}

	/**
	 * Writes the script.
	 * @param options the options that all actions have
	 * @return the script, to be sourced
	 */
	public static String script(List<String> options) {
		StringBuilder script = new StringBuilder();
		script.append("_burdockctl() {\n");
		script.append("\tlocal word=\"${COMP_WORDS[COMP_CWORD]}\"\n");
		script.append("\tif [ \"$COMP_CWORD\" -eq 1 ]; then\n");
		script.append(reply(words() + " completion --help --version"));
		script.append("\telif [[ \"$word\" == -* ]]; then\n");
		script.append(reply(String.join(" ", options)));
		script.append("\telif [ \"$COMP_CWORD\" -eq 2 ]; then\n");
		script.append("\t\tcase \"${COMP_WORDS[1]}\" in\n");
		for (ActionGroup group : ActionGroup.values()) {
			if (!group.isSingle()) {
				script.append("\t\t%s)\n\t%s\t\t\t;;\n".formatted(group.word(), reply(verbs(group))));
			}
		}
		script.append("\t\tesac\n\tfi\n}\ncomplete -o default -F _burdockctl burdockctl\n");
		return script.toString();
	}

	private static String words() {
		return String.join(" ", Arrays.stream(ActionGroup.values()).map(ActionGroup::word).toList());
	}

	private static String verbs(ActionGroup group) {
		return String.join(" ", group.actions().stream().map(Action::verb).toList());
	}

	private static String reply(String words) {
		return "\t\tmapfile -t COMPREPLY < <(compgen -W \"%s\" -- \"$word\")\n".formatted(words);
	}

}
