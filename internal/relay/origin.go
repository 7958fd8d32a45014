// Package relay lets a router that cannot reach the back ends of a pool pass requests on to another
// router, which serves them as if its own client had sent them.
//
// A Registry at the leader of the coordinators records which routers accept such requests and which
// pools they cannot reach. A Selector at a router chooses among those that the leader named. A request
// is passed on once only, with the client's own credentials; its Origin tells what the first router
// has done with it. All times are arguments.
package relay

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/resumption"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// HeaderOrigin is the request header that contains the Origin.
	HeaderOrigin = "Quinceridge-Origin"
	// HeaderDeclined is the response header of a router that did not accept a request. The request
	// has not run.
	HeaderDeclined = "Quinceridge-Declined"
	// DeclinedShare is the value of HeaderDeclined of a router that reaches the pool but has no part of
	// its free capacity left, and DeclinedConfiguration that of one whose configuration differs, as
	// HeaderConfiguration tells. Any other value means that it does not reach the pool.
	DeclinedShare         = "share"
	DeclinedConfiguration = "configuration"
	// HeaderConfiguration is the response header with the version of the configuration in force at a router
	// that declines a request because of it.
	HeaderConfiguration = "Quinceridge-Configuration"
	// HeaderPool is the response header that names the pool of the back end that wrote the first event of a
	// stream.
	HeaderPool = "Quinceridge-Pool"
	// HeaderSoftware is the response header that names the software version of the back end that wrote
	// the first event of a stream.
	HeaderSoftware = "Quinceridge-Software"
	// maxOrigin bounds the length of an encoded Origin, which has some names of up to 256 bytes, and
	// maxAttempts its counts.
	maxOrigin   = 4096
	maxAttempts = 64
)

// Origin tells a router how a request that another router passes on has been handled there.
type Origin struct {
	// Router is the name of the router that received the request from its client.
	Router string
	// Age is the time since it did.
	Age time.Duration
	// Ran is the number of attempts that ran or may have run, and Delivered that of the attempts
	// that a back end received.
	Ran, Delivered int
	// Counted is set if the request has been counted for the retry budget.
	Counted bool
	// Configuration is the version of the configuration by which the router has accepted the request; 0
	// if that is not known.
	Configuration uint64
	// Writer is the back end that wrote the events of the stream that the request goes on with; empty if
	// the stream may go on anywhere.
	Writer resumption.Writer
}

// Encode returns the value of HeaderOrigin.
func (o *Origin) Encode() string {
	values := url.Values{"router": {o.Router}, "age_ms": {strconv.FormatInt(o.Age.Milliseconds(), 10)}, "ran": {strconv.Itoa(o.Ran)},
		"delivered": {strconv.Itoa(o.Delivered)}, "counted": {strconv.FormatBool(o.Counted)}}
	if o.Configuration > 0 {
		values.Set("configuration", strconv.FormatUint(o.Configuration, 10))
	}
	if o.Writer.Known() {
		values.Set("pool", o.Writer.Pool)
		values.Set("backend", o.Writer.Backend)
		values.Set("software", string(o.Writer.Software))
	}
	return values.Encode()
}

// ParseOrigin parses a value of HeaderOrigin.
func ParseOrigin(text string) (*Origin, error) {
	if text == "" || len(text) > maxOrigin {
		return nil, errors.Newf("%s has %d bytes, want 1 to %d", HeaderOrigin, len(text), maxOrigin)
	}
	values, err := url.ParseQuery(text)
	if err != nil {
		return nil, errors.Wrap(err, HeaderOrigin)
	}
	number := func(name string, most int64) int64 {
		n, failure := strconv.ParseInt(values.Get(name), 10, 64)
		if failure == nil && (n < 0 || n > most) {
			failure = fmt.Errorf("%d is not within 0 to %d", n, most)
		}
		if failure != nil && err == nil {
			err = errors.Wrapf(failure, "%s: %s", HeaderOrigin, name)
		}
		return n
	}
	o := &Origin{Router: values.Get("router"), Age: time.Duration(number("age_ms", time.Hour.Milliseconds())) * time.Millisecond,
		Ran: int(number("ran", maxAttempts)), Delivered: int(number("delivered", maxAttempts)), Counted: values.Get("counted") == "true",
		Writer: resumption.Writer{Pool: values.Get("pool"), Backend: values.Get("backend"), Software: state.SoftwareVersion(values.Get("software"))}}
	if err != nil {
		return nil, err
	}
	// Routers of older builds do not name it.
	if text := values.Get("configuration"); text != "" {
		if o.Configuration, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, errors.Wrapf(err, "%s: configuration", HeaderOrigin)
		}
	}
	return o, nil
}
