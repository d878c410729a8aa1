package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
)

// table collects tab-separated rows for aligned output.
type table struct {
	rows []string
}

func newTable(head ...string) *table {
	return &table{[]string{strings.Join(head, "\t")}}
}

func (t *table) row(cells ...any) {
	var texts []string
	for _, c := range cells {
		texts = append(texts, fmt.Sprint(c))
	}
	t.rows = append(t.rows, strings.Join(texts, "\t"))
}

// print writes the table, or v as JSON.
func (a *app) print(t *table, v any) error {
	switch a.output {
	case "json":
		return printJSON(v)
	case "table":
	default:
		return usage("-o %q is not table or json", a.output)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range t.rows {
		if _, err := fmt.Fprintln(w, r); err != nil {
			return err
		}
	}
	return w.Flush()
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
