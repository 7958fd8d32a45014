package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

type softwareCommand struct {
	Coordinator string        `arg:"" help:"HTTP or metrics address of any coordinator." placeholder:"ADDRESS"`
	Timeout     time.Duration `default:"5s" help:"How long to wait."`
	JSON        bool          `help:"Print JSON."`
}

// Run prints the software versions of back ends that a coordinator reports.
func (c *softwareCommand) Run() error {
	var versions []coordapi.SoftwareInService
	if err := fetch(c.Coordinator, "/v1/software", c.Timeout, &versions); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(versions)
	}
	return writeSoftware(os.Stdout, versions)
}

// writeSoftware prints the software versions as a table.
func writeSoftware(w io.Writer, versions []coordapi.SoftwareInService) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "POOL\tSOFTWARE\tBACK ENDS\tSTATE")
	for _, v := range versions {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", v.Pool, v.Software, v.Backends, v.State)
	}
	return table.Flush()
}
