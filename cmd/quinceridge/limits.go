package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/httpwire"
)

// maxResponseBytes bounds the size of a coordinator's response.
const maxResponseBytes = 16 << 20

type limitsCommand struct {
	Coordinator string        `arg:"" help:"HTTP or metrics address of any coordinator." placeholder:"ADDRESS"`
	Timeout     time.Duration `default:"5s" help:"How long to wait."`
	JSON        bool          `help:"Print JSON."`
}

// Run prints the limits that a coordinator reports.
func (c *limitsCommand) Run() error {
	limits, err := c.fetch()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(limits)
	}
	return writeLimits(os.Stdout, limits)
}

func (c *limitsCommand) fetch() (limits coordapi.LimitsInForce, err error) {
	err = fetch(c.Coordinator, "/v1/limits", c.Timeout, &limits)
	return limits, err
}

// fetch decodes the JSON that a coordinator returns for a path.
func fetch(coordinator, path string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+coordinator+path, nil)
	if err != nil {
		return errors.Wrapf(err, "address %q", coordinator)
	}
	client := &http.Client{Transport: httpwire.NewTransport(nil)}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "query coordinator")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read coordinator response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s, %.200s", coordinator, response.Status, body)
	}
	return errors.Wrap(json.Unmarshal(body, into), "decode coordinator response")
}

// writeLimits prints the limits of back ends and of tenants as two tables.
func writeLimits(w io.Writer, limits coordapi.LimitsInForce) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BACK END\tPOOL\tREQUESTS/S\tGRANTED/S\tDENIED/S\tHEARD")
	for _, b := range limits.Backends {
		fmt.Fprintf(table, "%s\t%s\t%g\t%.2f\t%.2f\t%v ago\n", b.ID, b.Pool, b.Rate, b.Granted, b.Denied, b.ObservedAgo.Round(time.Millisecond))
	}
	fmt.Fprintln(table, "\nTENANT\tUNITS/S\tBURST\tASKED/S\tREFUSED/S")
	for _, t := range limits.Tenants {
		fmt.Fprintf(table, "%s\t%g\t%g\t%.1f\t%.1f\n", t.Name, t.Rate, t.Burst, t.Asked, t.Refused)
	}
	return table.Flush()
}
