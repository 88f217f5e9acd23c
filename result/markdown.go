package result

import (
	"fmt"
	"sort"
	"strings"
)

// Markdown returns the table of all codes as docs/result-codes.md shows it.
func Markdown() string {
	codes := append([]*Code(nil), All()...)
	sort.Slice(codes, func(i, j int) bool { return codes[i].Number < codes[j].Number })
	var b strings.Builder
	b.WriteString(markdownHead)
	for _, c := range codes {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %d | %s |\n", c.Number, c.Name, c.Ran, c.Retry, c.Status, c.Text)
	}
	return b.String()
}

const markdownHead = `# Result codes

Every refusal carries the header ` + "`Teasel-Code`" + ` and a JSON body with ` + "`code`, `name`, `ran`, `retry`, `message`" + ` and, where
useful, ` + "`details`" + `. This file is checked against the table in ` + "`result/code.go`" + ` by ` + "`go test ./result`" + `; after a change run
` + "`UPDATE_DOCS=1 go test ./result`" + `.

Blocks: 1xxx calls, 2xxx configuration, 3xxx moves, 4xxx access and limits of a listener, 5xxx platform, 6xxx settings,
9xxx internal. "Ran" says whether an upstream executed the call; "-" marks codes that answer no call.

| code | name | ran | retry | HTTP status | meaning |
|---|---|---|---|---|---|
`
