package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table writes aligned columns. close must be called at the end.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer, columns ...any) table {
	t := table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t table) close() error { return t.w.Flush() }

// openFile opens a file named on the command line.
func openFile(name string) (*os.File, error) {
	f, err := os.Open(name)
	return f, errors.Wrap(err, "open")
}
