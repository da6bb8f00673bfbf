package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strings"
)

// Prefixes of column names in the CSV reports of the load tool.
const (
	waitedPrefix   = "waited_ms_"
	endToEndPrefix = "end_to_end_ms_"
	codePrefix     = "code_"
)

// printWaiting prints CSV reports of the load tool as one Markdown table. Each
// report is given as NAME=FILE.
func printWaiting(out io.Writer, reports []string) error {
	fmt.Fprintln(out, "| mix | kind | team | requests | waited, ms: p50, p90, p99, max | end to end, ms: p50, p90, p99, max | answers by code |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	for _, report := range reports {
		name, file, ok := strings.Cut(report, "=")
		if !ok {
			return fmt.Errorf("want NAME=FILE, got %q", report)
		}
		if err := printReport(out, name, file); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	fmt.Fprintln(out)
	return nil
}

func printReport(out io.Writer, name, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return nil
	}
	header := rows[0]
	for _, row := range rows[1:] {
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s | %s |\n", name, row[0], row[1], row[2],
			joinColumns(header, row, waitedPrefix), joinColumns(header, row, endToEndPrefix), formatCodes(header, row))
	}
	return nil
}

// joinColumns joins the values of the columns whose names have the prefix. It
// returns a dash if all are empty.
func joinColumns(header, row []string, prefix string) string {
	var parts []string
	for i, name := range header {
		if strings.HasPrefix(name, prefix) && row[i] != "" {
			// Cuts the three decimals to one, as in the text report.
			parts = append(parts, row[i][:len(row[i])-2])
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// formatCodes lists the codes that occurred, each with its number of answers.
func formatCodes(header, row []string) string {
	var parts []string
	for i, name := range header {
		if code, ok := strings.CutPrefix(name, codePrefix); ok && row[i] != "0" {
			parts = append(parts, code+": "+row[i])
		}
	}
	return strings.Join(parts, ", ")
}
