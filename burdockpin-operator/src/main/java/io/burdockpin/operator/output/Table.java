package io.burdockpin.operator.output;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Rows under named columns. Immutable.
 *
 * @param columns names of the columns, which are also the field names in JSON
 * @param rows the cells of each row: strings, numbers, flags or lists
 */
public record Table(List<String> columns, List<List<Object>> rows) {

	private static final String GAP = "  ";

	public Table {
		columns = List.copyOf(columns);
		rows = rows.stream().map(List::copyOf).toList();
	}

	/**
	 * Prints the table with aligned columns.
	 * @return one line for the names and one for each row
	 */
	public List<String> lines() {
		List<Integer> widths = new ArrayList<>();
		for (int column = 0; column < this.columns.size(); column++) {
			widths.add(width(column));
		}
		List<String> lines = new ArrayList<>();
		lines.add(line(this.columns, widths));
		this.rows.forEach((row) -> lines.add(line(row, widths)));
		return lines;
	}

	/**
	 * Returns the rows for JSON.
	 * @return one map for each row
	 */
	public List<Map<String, Object>> objects() {
		return this.rows.stream().map(this::object).toList();
	}

	private Map<String, Object> object(List<Object> row) {
		Map<String, Object> object = new LinkedHashMap<>();
		for (int column = 0; column < this.columns.size(); column++) {
			object.put(this.columns.get(column), row.get(column));
		}
		return object;
	}

	private int width(int column) {
		int longestCell = this.rows.stream().mapToInt((row) -> text(row.get(column)).length()).max().orElse(0);
		return Math.max(this.columns.get(column).length(), longestCell);
	}

	private static String line(List<?> cells, List<Integer> widths) {
		StringBuilder line = new StringBuilder();
		for (int column = 0; column < cells.size(); column++) {
			String cell = text(cells.get(column));
			line.append(cell).append(" ".repeat(widths.get(column) - cell.length())).append(GAP);
		}
		return line.toString().stripTrailing();
	}

	private static String text(Object cell) {
		if (cell instanceof List<?> list) {
			return String.join(",", list.stream().map(String::valueOf).toList());
		}
		String text = String.valueOf(cell);
		return text.isEmpty() ? "-" : text;
	}

}
