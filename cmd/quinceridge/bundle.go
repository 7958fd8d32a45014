package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/state"
)

type bundleCommand struct {
	Check    bundleCheckCommand    `cmd:"" help:"Check a bundle file and print its digest."`
	Propose  bundleProposeCommand  `cmd:"" help:"Offer a bundle, with your signature."`
	Approve  bundleApproveCommand  `cmd:"" help:"Sign a bundle that waits."`
	Withdraw bundleWithdrawCommand `cmd:"" help:"Take back a bundle that is not staged yet."`
	Status   bundleStatusCommand   `cmd:"" help:"Show the bundle in force, the waiting one, and every place."`
	Diff     bundleDiffCommand     `cmd:"" help:"Show what a bundle file would change."`
	History  bundleHistoryCommand  `cmd:"" help:"List the accepted bundles."`
}

// signer holds the flags of the commands that sign a bundle.
type signer struct {
	Operator  string `required:"" help:"Your operator name, as in the bundle." placeholder:"NAME"`
	Key       string `required:"" type:"existingfile" help:"File with your private key." placeholder:"FILE"`
	RequestID string `help:"Name of this request. Use the name of a lost one to learn its answer." placeholder:"ID"`
}

// sign signs a bundle's digest with the operator's private key.
func (o *signer) sign(digest string) (state.Signature, error) {
	key, err := os.ReadFile(o.Key)
	if err != nil {
		return state.Signature{}, errors.Wrap(err, "read key")
	}
	_, signature, err := bundle.Sign(strings.TrimSpace(string(key)), digest)
	return state.Signature{Operator: o.Operator, Signature: signature}, err
}

// requestID returns the request's ID and generates one if the operator gave none.
func (o *signer) requestID() string {
	if o.RequestID == "" {
		o.RequestID = newRequestID()
	}
	return o.RequestID
}

func newRequestID() string {
	var buffer [8]byte
	_, _ = rand.Read(buffer[:])
	return hex.EncodeToString(buffer[:])
}

type bundleCheckCommand struct {
	File string `arg:"" help:"Bundle file (docs/BUNDLE.md)."`
}

// Run validates the bundle file and prints its digest.
func (c *bundleCheckCommand) Run() error {
	_, digest, err := loadBundle(c.File)
	if err != nil {
		return err
	}
	fmt.Println("the bundle is valid; digest", digest)
	return nil
}

// loadBundle reads a bundle file and returns its canonical encoding and its digest.
func loadBundle(file string) (canonical []byte, digest string, err error) {
	b, err := bundle.Load(file)
	if err != nil {
		return nil, "", err
	}
	canonical, err = b.Canonical()
	if err != nil {
		return nil, "", err
	}
	return canonical, bundle.Digest(canonical), nil
}

type bundleProposeCommand struct {
	target `embed:""`
	signer `embed:""`
	File   string `arg:"" help:"Bundle file (docs/BUNDLE.md)."`
	Wait   bool   `help:"Wait until the bundle is in force in every place."`
}

// Run signs and proposes the bundle, and with --wait follows its rollout.
func (c *bundleProposeCommand) Run() error {
	canonical, digest, err := loadBundle(c.File)
	if err != nil {
		return err
	}
	signature, err := c.sign(digest)
	if err != nil {
		return err
	}
	result, err := c.submit(state.Command{RequestID: c.requestID(), Propose: &state.Propose{Canonical: canonical, Signature: signature}})
	if err != nil {
		return err
	}
	printResult(result)
	if !c.Wait || !result.Staged {
		return nil
	}
	return c.awaitRollout(digest)
}

func printResult(r state.Result) {
	switch {
	case r.Staged:
		fmt.Printf("version %d (%s) is staged; routers are applying it\n", r.Version, shortDigest(r.Digest))
	case r.Message != "":
		fmt.Printf("version %d (%s): %s\n", r.Version, shortDigest(r.Digest), r.Message)
	default:
		fmt.Printf("version %d (%s): %s\n", r.Version, shortDigest(r.Digest), r.Code)
	}
}

// rolloutPollInterval is the time between two status requests during a rollout.
const rolloutPollInterval = 100 * time.Millisecond

// awaitRollout waits until the bundle is in force on every router that holds a lease. It fails
// when the timeout passes first.
func (t *target) awaitRollout(digest string) error {
	started := time.Now()
	for time.Since(started) < t.Timeout {
		status, err := t.status(controlapi.StatusRequest{})
		if err == nil && status.Accepted.Digest == digest {
			behind := 0
			for _, place := range status.Routers {
				if place.Leased && place.InForce.Digest != digest {
					behind++
				}
			}
			if behind == 0 {
				fmt.Printf("in force on every router with a lease after %.1f s\n", time.Since(started).Seconds())
				return nil
			}
		}
		time.Sleep(rolloutPollInterval)
	}
	return errors.New("timed out before the bundle was in force on every router; see bundle status")
}

type bundleApproveCommand struct {
	target `embed:""`
	signer `embed:""`
	Digest string `arg:"" help:"Digest of the waiting bundle, as shown by bundle status."`
}

// Run adds a signature to the pending bundle.
func (c *bundleApproveCommand) Run() error {
	signature, err := c.sign(c.Digest)
	if err != nil {
		return err
	}
	result, err := c.submit(state.Command{RequestID: c.requestID(), Approve: &state.Approve{Digest: c.Digest, Signature: signature}})
	if err != nil {
		return err
	}
	printResult(result)
	return nil
}

type bundleWithdrawCommand struct {
	target    `embed:""`
	Digest    string `arg:"" help:"Digest of the waiting bundle."`
	RequestID string `help:"Name of this request." placeholder:"ID"`
}

// Run withdraws the pending bundle.
func (c *bundleWithdrawCommand) Run() error {
	if c.RequestID == "" {
		c.RequestID = newRequestID()
	}
	result, err := c.submit(state.Command{RequestID: c.RequestID, Withdraw: &state.Withdraw{Digest: c.Digest}})
	if err != nil {
		return err
	}
	printResult(result)
	return nil
}

type bundleStatusCommand struct {
	target `embed:""`
	JSON   bool `help:"Print JSON."`
}

// Run prints the accepted bundle, the pending one and the version on each router.
func (c *bundleStatusCommand) Run() error {
	status, err := c.status(controlapi.StatusRequest{})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	printStamp("in force", status.Accepted)
	if status.Pending != nil {
		printStamp("waiting", *status.Pending)
		fmt.Printf("  signed by: %s; staged: %v\n", strings.Join(status.SignedBy, ", "), status.Staged)
	}
	if !status.HoldsLease {
		fmt.Println("no leader responded; the state of the routers is unknown")
	}
	for _, place := range status.Routers {
		fmt.Printf("  %-24s %-20s leased=%-5v version=%d heard=%.1fs\n", place.Router.Name, place.Router.Zone, place.Leased, place.InForce.Version, place.HeartbeatAge)
	}
	return nil
}

type bundleDiffCommand struct {
	target `embed:""`
	File   string `arg:"" help:"Bundle file."`
}

// Run prints the merge patch from the accepted bundle to the file.
func (c *bundleDiffCommand) Run() error {
	canonical, _, err := loadBundle(c.File)
	if err != nil {
		return err
	}
	status, err := c.status(controlapi.StatusRequest{Head: true})
	if err != nil {
		return err
	}
	head := []byte(status.Head)
	if len(head) == 0 {
		head = []byte("{}")
	}
	delta, err := bundle.Delta(head, canonical)
	if err != nil {
		return err
	}
	fmt.Printf("JSON merge patch from version %d:\n%s\n", status.Accepted.Version, delta)
	return nil
}

type bundleHistoryCommand struct {
	target `embed:""`
	JSON   bool `help:"Print JSON."`
}

// Run prints the accepted bundles.
func (c *bundleHistoryCommand) Run() error {
	status, err := c.status(controlapi.StatusRequest{})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status.History)
	}
	for _, v := range status.History {
		at := time.UnixMilli(v.At).UTC().Format(time.RFC3339)
		fmt.Printf("%d  %s  %s  signed by %s\n", v.Version, at, shortDigest(v.Digest), strings.Join(v.Operators, ", "))
	}
	return nil
}
