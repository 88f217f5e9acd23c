package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"teaselring/operator"
	"teaselring/result"
)

// table prints aligned columns.
type table struct{ *tabwriter.Writer }

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(t, strings.Join(texts, "\t"))
}

// print writes a value as JSON or as a table, as --output says.
func (c *cli) print(value any, printTable func(*table)) error {
	if c.output == "json" {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := &table{tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)}
	printTable(t)
	return t.Flush()
}

// printError writes an error to stderr; a refusal in the format of --output.
func (c *cli) printError(err error) {
	var refused *result.Error
	if !errors.As(err, &refused) {
		fmt.Fprintln(c.stderr, "error:", err)
		return
	}
	body, _ := operator.ErrorOf(refused)
	if c.output == "json" {
		_ = json.NewEncoder(c.stderr).Encode(body)
		return
	}
	fmt.Fprintln(c.stderr, "error:", refused)
	names := make([]string, 0, len(body.Details))
	for name := range body.Details {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(c.stderr, "  %s: %s\n", name, body.Details[name])
	}
	if refused.Code.Retry != result.RetryNever {
		fmt.Fprintf(c.stderr, "  retry: %s\n", refused.Code.Retry)
	}
}
