package cachemiss

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints the causes for which shared parts were processed again.
func (r *Result) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "cause\tparts\ttokens\tshare of shared tokens")
	row := func(name string, c Count) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.4f\n", name, c.Parts, c.Tokens, float64(c.Tokens)/float64(max(r.Shared, 1)))
	}
	for cause := FirstRead + 1; cause < causes; cause++ {
		row(cause.String(), r.Causes[cause])
	}
	row("processed again", r.Again)
	other := r.Causes[NewVersion]
	row("of these for the same version", Count{r.Again.Parts - other.Parts, r.Again.Tokens - other.Tokens})
	row(FirstRead.String(), r.Causes[FirstRead])
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d shared tokens of %d answered prompts; engines reported the cached tokens of %d, the others are estimated\n", r.Shared, r.Attempts, r.Reported)
	return err
}
