package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/controlclient"
	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/state"
)

// target holds the flags that select the control group of a command.
type target struct {
	Control []string      `required:"" env:"QUINCERIDGE_CONTROL" help:"Addresses of control nodes." placeholder:"ADDRESS"`
	Timeout time.Duration `default:"10s" help:"How long to try."`
}

// connect returns a client for the control group and a context with the command's timeout.
func (t *target) connect() (*controlclient.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), t.Timeout)
	return controlclient.New(peer.NewClient(&peer.Counters{}), t.Control), ctx, cancel
}

// status retries until a node that holds the lease replies. When the timeout passes first, it
// returns the result of the last attempt, which may be the reply of a node without the lease.
func (t *target) status(request controlapi.StatusRequest) (controlapi.StatusReply, error) {
	client, ctx, cancel := t.connect()
	defer cancel()
	for {
		reply, err := client.Status(ctx, request)
		if err == nil && reply.HoldsLease {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			if err == nil {
				return reply, nil
			}
			return reply, err
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// submit sends an operator's command to the control group. It returns an error marked with
// errRefused if the result's code is not CodeOK.
func (t *target) submit(command state.Command) (state.Result, error) {
	client, ctx, cancel := t.connect()
	defer cancel()
	result, err := client.SubmitWithRetry(ctx, command)
	if err != nil {
		return result, errors.Wrapf(err, "no result for request %s; repeat it with --request-id to get its outcome", command.RequestID)
	}
	if result.Code != state.CodeOK {
		return result, errors.Mark(errors.Newf("%s: %s", result.Code, result.Message), errRefused)
	}
	return result, nil
}

// printJSON writes a value to standard output as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON output")
}

func shortDigest(digest string) string {
	if len(digest) > 12 {
		return digest[:12]
	}
	return digest
}

func printStamp(label string, s controlapi.BundleID) {
	if s.Version == 0 {
		fmt.Printf("%s: none\n", label)
		return
	}
	fmt.Printf("%s: version %d, digest %s\n", label, s.Version, s.Digest)
}
