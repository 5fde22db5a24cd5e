package org.knapweedmount.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** A text table with aligned columns. */
final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... headings) {
        row(headings);
    }

    /** Adds a row; the number of columns must match the headings. */
    void row(String... columns) {
        rows.add(List.of(columns));
    }

    @Override
    public String toString() {
        int columns = rows.get(0).size();
        int[] widths = IntStream.range(0, columns).map(this::width).toArray();
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            text.append(line(row, widths)).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.size(); i++) {
            String text = row.get(i);
            line.append(text).append(" ".repeat(widths[i] - text.length())).append(GAP);
        }
        return line.toString().stripTrailing();
    }
}
