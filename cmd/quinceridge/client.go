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

// target says which control group a command talks to.
type target struct {
	Control []string      `required:"" env:"QUINCERIDGE_CONTROL" help:"Addresses of control nodes." placeholder:"ADDRESS"`
	Timeout time.Duration `default:"10s" help:"How long to try."`
}

// connect returns a client and a context that ends with the timeout.
func (t *target) connect() (*controlclient.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), t.Timeout)
	return controlclient.New(peer.NewClient(&peer.Counters{}), t.Control), ctx, cancel
}

// status asks the leader, trying until the timeout.
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

// submit runs an operator's command and explains its result.
func (t *target) submit(command state.Command) (state.Result, error) {
	client, ctx, cancel := t.connect()
	defer cancel()
	result, err := client.SubmitWithRetry(ctx, command)
	if err != nil {
		return result, errors.Wrapf(err, "request %s; send it again with --request-id to learn its outcome", command.RequestID)
	}
	if result.Code != state.CodeOK {
		return result, errors.Mark(errors.Newf("%s: %s", result.Code, result.Message), errRefused)
	}
	return result, nil
}

// printJSON writes a value for other programs.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write")
}

func short(digest string) string {
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
